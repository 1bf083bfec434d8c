/**
 * The gossip partners of a member: a few random members to which it sends its
 * heartbeats.
 *
 * Partners are kept for some time so that connections can be reused, and are
 * replaced one at a time so that eventually every member is a partner of every
 * other. The graph of members and their partners is random at any time, so
 * updates reach all members in a few hops.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { VmId } from "@poplarthread/ids";

/** Interval between replacements of one partner: with 12 partners, each is kept for two minutes. */
const ROTATION_INTERVAL_MS = 10_000;

/**
 * Partners in addition to the logarithm of the number of members. In a random
 * graph where each of n nodes has ln n + c successors, a push along all edges
 * reaches all nodes with probability exp(-exp(-c)): 0.98 with c = 4.
 */
const EXTRA_PARTNERS = 4;

/** The partners of one member, in ping order. */
export class Partners {
  readonly #random: RandomGenerator;
  #partners: VmId[] = [];
  #rotatedAt = -Infinity;
  #position = 0;

  constructor(random: RandomGenerator) {
    this.#random = random;
  }

  list(): readonly VmId[] {
    return this.#partners;
  }

  /** Removes partners that are no longer candidates, fills up the list, and replaces one when due. */
  refresh(candidates: ReadonlySet<VmId>, now: number): void {
    this.#partners = this.#partners.filter((vm) => candidates.has(vm));
    const size = Math.min(
      candidates.size,
      Math.ceil(Math.log(candidates.size + 1)) + EXTRA_PARTNERS,
    );
    const isDue = now >= this.#rotatedAt + ROTATION_INTERVAL_MS;
    if (isDue && this.#partners.length === size && size > 0) {
      this.#partners.splice(this.#randomIndex(size), 1);
    }
    if (isDue) {
      this.#rotatedAt = now;
    }
    const others = [...candidates]
      .filter((vm) => !this.#partners.includes(vm));
    while (this.#partners.length < size) {
      const [vm] = others.splice(this.#randomIndex(others.length), 1);
      this.#partners.push(vm!);
    }
  }

  /** The next partner to ping, round-robin. */
  next(): VmId | undefined {
    this.#position += 1;
    return this.#partners[this.#position % this.#partners.length];
  }

  /** Up to `count` random partners other than `except`. */
  pick(count: number, except: VmId): readonly VmId[] {
    const remaining = this.#partners.filter((vm) => vm !== except);
    const picked: VmId[] = [];
    while (picked.length < count && remaining.length > 0) {
      picked.push(...remaining.splice(this.#randomIndex(remaining.length), 1));
    }
    return picked;
  }

  #randomIndex(length: number): number {
    return uniformInt(this.#random, 0, length - 1);
  }
}
