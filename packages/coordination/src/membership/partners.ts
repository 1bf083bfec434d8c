/**
 * The few random members that this one sends its heartbeats to.
 *
 * Partners stay for a while, so that connections to them can be kept; one is
 * replaced now and then, so that over time everyone is a partner of everyone.
 * The graph that joins each member to its partners is random at any time, which
 * is what carries news to all in a few hops.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { VmId } from "@poplarthread/ids";

/** Replaces one partner this often: with 12 partners, each is kept for two minutes. */
const ROTATE_MS = 10_000;

/**
 * Partners beyond the logarithm of the members. In a random graph where each
 * of n has ln n + c successors, a push along all edges reaches all with
 * probability exp(-exp(-c)): 0.98 with 4.
 */
const BEYOND_LOGARITHM = 4;

/** The partners of one member, in the order in which they are pinged. */
export class Partners {
  readonly #random: RandomGenerator;
  #partners: VmId[] = [];
  #rotatedAt = -Infinity;
  #turn = 0;

  constructor(random: RandomGenerator) {
    this.#random = random;
  }

  list(): readonly VmId[] {
    return this.#partners;
  }

  /** Drops partners that are no candidates any more, fills up, and rotates when due. */
  refresh(candidates: ReadonlySet<VmId>, now: number): void {
    this.#partners = this.#partners.filter((vm) => candidates.has(vm));
    const wanted = Math.min(
      candidates.size,
      Math.ceil(Math.log(candidates.size + 1)) + BEYOND_LOGARITHM,
    );
    const isDue = now >= this.#rotatedAt + ROTATE_MS;
    if (isDue && this.#partners.length === wanted && wanted > 0) {
      this.#partners.splice(this.#below(wanted), 1);
    }
    if (isDue) {
      this.#rotatedAt = now;
    }
    const others = [...candidates]
      .filter((vm) => !this.#partners.includes(vm));
    while (this.#partners.length < wanted) {
      const [vm] = others.splice(this.#below(others.length), 1);
      this.#partners.push(vm!);
    }
  }

  /** Whose turn it is to be pinged. */
  next(): VmId | undefined {
    this.#turn += 1;
    return this.#partners[this.#turn % this.#partners.length];
  }

  /** Up to `count` random partners other than `except`. */
  pick(count: number, except: VmId): readonly VmId[] {
    const pool = this.#partners.filter((vm) => vm !== except);
    const picked: VmId[] = [];
    while (picked.length < count && pool.length > 0) {
      picked.push(...pool.splice(this.#below(pool.length), 1));
    }
    return picked;
  }

  #below(size: number): number {
    return uniformInt(this.#random, 0, size - 1);
  }
}
