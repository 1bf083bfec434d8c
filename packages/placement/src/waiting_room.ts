/**
 * Requests that wait on this VM for room at a target.
 *
 * Answers more requests than slots. Sent on at once, they would fill the
 * targets' own queues, in which the most urgent ones wait behind all others and
 * from which targets turn requests away; one notices purchases that fail while
 * reads are served. Here the most urgent request goes first, among equals the
 * one that can still be in time.
 *
 * Among those that are equal in that, client accounts take turns (start-time fair
 * queueing): served as they came, an account that sends many times its usual would
 * have nearly all turns, and the others' few requests would wait behind its many.
 * Requests of one account go as they came.
 *
 * @module
 */

import type { AccountId } from "@poplarthread/ids";

/** A request that waits. */
export interface Waiting {
  /** Rank of its route; 0 goes first. */
  readonly priority: number;
  /** When its answer is still in time, in milliseconds of the monotonic clock. */
  readonly aimAt: number;
  /** Whose it is; those of nobody take their turns together. */
  readonly account: AccountId | undefined;
}

interface Place<T> {
  readonly one: T;
  /** The lowest one goes first. */
  readonly turn: number;
}

/** Waiting requests of one service, in the order in which they go. */
export class WaitingRoom<T extends Waiting> {
  readonly #waiting: Place<T>[] = [];
  /** The last turn that each account was given since the room was empty. */
  readonly #lastTurns = new Map<AccountId | undefined, number>();

  get size(): number {
    return this.#waiting.length;
  }

  /** How many requests go before one of `priority` that comes now. */
  ahead(priority: number): number {
    let count = 0;
    for (const { one } of this.#waiting) {
      count += one.priority <= priority ? 1 : 0;
    }
    return count;
  }

  add(one: T): void {
    const last = this.#lastTurns.get(one.account) ?? 0;
    const turn = Math.max(this.#firstTurn(), last) + 1;
    this.#lastTurns.set(one.account, turn);
    this.#waiting.push({ one, turn });
  }

  remove(one: T): void {
    const at = this.#waiting.findIndex((place) => place.one === one);
    if (at >= 0) {
      this.#waiting.splice(at, 1);
    }
    if (this.#waiting.length === 0) {
      this.#lastTurns.clear();
    }
  }

  /** All that wait, in the order in which they should go at `now`. */
  inOrder(now: number): readonly T[] {
    return this.#waiting.toSorted((a, b) =>
      a.one.priority - b.one.priority ||
      Number(a.one.aimAt < now) - Number(b.one.aimAt < now) ||
      a.turn - b.turn
    ).map(({ one }) => one);
  }

  /** The turn of the one that is due next; an account that comes now has no earlier one. */
  #firstTurn(): number {
    let first = Infinity;
    for (const { turn } of this.#waiting) {
      first = Math.min(first, turn);
    }
    return Number.isFinite(first) ? first : 0;
  }
}
