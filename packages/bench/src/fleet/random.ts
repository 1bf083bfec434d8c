/**
 * Random draws of one run: the same seed gives the same run.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const STEPS = 2 ** 30;

/** See the module's comment. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** 0 up to 1. */
  uniform(): number {
    return uniformInt(this.#generator, 0, STEPS - 1) / STEPS;
  }

  /** Time to the next of events that come `perMs` times a millisecond. */
  pauseMs(perMs: number): number {
    return -Math.log(1 - this.uniform()) / perMs;
  }

  /** About normal, with mean 1 and a relative deviation of `spread`, within 0.3 and 3. */
  around(spread: number): number {
    let sum = -6;
    for (let draw = 0; draw < 12; draw++) {
      sum += this.uniform();
    }
    return Math.min(3, Math.max(0.3, 1 + spread * sum));
  }

  /** One of `items`; undefined where there is none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.uniform() * items.length)];
  }

  /** `share` of `items`, at least one where there is one. */
  sample<T>(items: readonly T[], share: number): readonly T[] {
    const left = [...items];
    const most = Math.min(left.length, Math.max(1, share * left.length));
    const chosen: T[] = [];
    while (chosen.length < Math.round(most)) {
      const index = Math.floor(this.uniform() * left.length);
      chosen.push(...left.splice(index, 1));
    }
    return chosen;
  }
}

/** Picks names in the proportion of their weights. */
export class WeightedPick<T> {
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
    const drawn = random.uniform() * this.#sums.at(-1)!;
    const index = this.#sums.findIndex((sum) => drawn < sum);
    return this.#items[Math.max(0, index)]!;
  }
}
