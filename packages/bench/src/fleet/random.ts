/**
 * Seeded random numbers: runs with the same seed draw the same sequence.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const STEPS = 2 ** 30;

/** Random numbers of one run. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** From 0 up to 1 (exclusive). */
  uniform(): number {
    return uniformInt(this.#generator, 0, STEPS - 1) / STEPS;
  }

  /** Time to the next event of a Poisson process with a rate of `perMs` events a millisecond. */
  intervalMs(perMs: number): number {
    return -Math.log(1 - this.uniform()) / perMs;
  }

  /**
   * A factor from an approximately normal distribution with mean 1 and standard deviation
   * `spread`, clamped to 0.3 to 3.
   */
  normalFactor(spread: number): number {
    let sum = -6;
    for (let draw = 0; draw < 12; draw++) {
      sum += this.uniform();
    }
    return Math.min(3, Math.max(0.3, 1 + spread * sum));
  }

  /** One of `items`; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.uniform() * items.length)];
  }

  /** A random `share` of `items`: at least one, unless `items` is empty. */
  sample<T>(items: readonly T[], share: number): readonly T[] {
    const remaining = [...items];
    const wanted = Math.min(
      remaining.length,
      Math.max(1, share * remaining.length),
    );
    const chosen: T[] = [];
    while (chosen.length < Math.round(wanted)) {
      const index = Math.floor(this.uniform() * remaining.length);
      chosen.push(...remaining.splice(index, 1));
    }
    return chosen;
  }
}

/** Picks items with probabilities proportional to their weights. */
export class WeightedChoice<T> {
  readonly #items: readonly T[];
  readonly #sums: readonly number[];

  constructor(weights: Iterable<readonly [T, number]>) {
    const items: T[] = [];
    const sums: number[] = [];
    let sum = 0;
    for (const [item, weight] of weights) {
      sum += weight;
      items.push(item);
      sums.push(sum);
    }
    this.#items = items;
    this.#sums = sums;
  }

  pick(random: Random): T {
    const threshold = random.uniform() * this.#sums.at(-1)!;
    const index = this.#sums.findIndex((sum) => threshold < sum);
    return this.#items[Math.max(0, index)]!;
  }
}
