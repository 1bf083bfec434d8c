/**
 * Requests that wait on this VM for room at a target.
 *
 * Answers more requests than slots. Sent on at once, they would fill the
 * targets' own queues, in which the most urgent ones wait behind all others and
 * from which targets turn requests away; one notices purchases that fail while
 * reads are served. Here the most urgent request goes first, among equals the
 * one that can still be in time, and then the one that came first.
 *
 * @module
 */

/** A request that waits. */
export interface Waiting {
  /** Rank of its route; 0 goes first. */
  readonly priority: number;
  /** When its answer is still in time, in milliseconds of the monotonic clock. */
  readonly aimAt: number;
}

/** Waiting requests of one service, in the order in which they go. */
export class WaitingRoom<T extends Waiting> {
  readonly #waiting: T[] = [];

  get size(): number {
    return this.#waiting.length;
  }

  /** How many requests go before one of `priority` that comes now. */
  ahead(priority: number): number {
    let count = 0;
    for (const one of this.#waiting) {
      count += one.priority <= priority ? 1 : 0;
    }
    return count;
  }

  add(one: T): void {
    this.#waiting.push(one);
  }

  remove(one: T): void {
    const at = this.#waiting.indexOf(one);
    if (at >= 0) {
      this.#waiting.splice(at, 1);
    }
  }

  /** All that wait, in the order in which they should go at `now`. */
  inOrder(now: number): readonly T[] {
    return this.#waiting.toSorted((a, b) =>
      a.priority - b.priority ||
      Number(a.aimAt < now) - Number(b.aimAt < now)
    );
  }
}
