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
 * Smooth weighted round-robin: after any number of requests each part is within one
 * request of its share. Random choice would be off by a tenth after a few dozen
 * requests, which is what a VM receives for a route within some seconds.
 */
export class WeightedSplit {
  readonly #parts: readonly SplitPart[];
  readonly #credit: number[];
  readonly #total: number;

  /**
   * `start`, from 0 to 1, sets the position in the rotation where this VM begins,
   * so that VMs don't all begin with the same service.
   */
  constructor(parts: readonly SplitPart[], start: number) {
    this.#parts = parts.filter(({ weight }) => weight > 0);
    this.#total = this.#parts.reduce((sum, { weight }) => sum + weight, 0);
    this.#credit = this.#parts.map(() => 0);
    const skipped = Math.floor(start * this.#parts.length * 8);
    for (let index = 0; index < skipped; index++) {
      this.next();
    }
  }

  /** The service of the next request; undefined if no part has a positive weight. */
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
