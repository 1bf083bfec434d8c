/**
 * Splits the requests of a route over services by weight.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";

/** One service of a split. */
export interface SplitPart {
  readonly service: ServiceId;
  readonly weight: number;
}

/**
 * Takes parts in turn, smoothly: after any number of requests each part is
 * within one request of its share. Random choice would be off by a tenth for a
 * few dozen requests, which is what a VM sees of a route in some seconds.
 */
export class WeightedSplit {
  readonly #parts: readonly SplitPart[];
  readonly #credit: number[];
  readonly #total: number;

  /** `start`, in 0 to 1, is where this VM begins, so that VMs do not all begin alike. */
  constructor(parts: readonly SplitPart[], start: number) {
    this.#parts = parts.filter(({ weight }) => weight > 0);
    this.#total = this.#parts.reduce((sum, { weight }) => sum + weight, 0);
    this.#credit = this.#parts.map(() => 0);
    const skipped = Math.floor(start * this.#parts.length * 8);
    for (let turn = 0; turn < skipped; turn++) {
      this.next();
    }
  }

  /** The service of the next request; undefined where no part has a weight. */
  next(): ServiceId | undefined {
    let best = 0;
    for (let at = 0; at < this.#parts.length; at++) {
      this.#credit[at]! += this.#parts[at]!.weight;
      if (this.#credit[at]! > this.#credit[best]!) {
        best = at;
      }
    }
    if (this.#parts.length === 0) {
      return undefined;
    }
    this.#credit[best]! -= this.#total;
    return this.#parts[best]!.service;
  }
}
