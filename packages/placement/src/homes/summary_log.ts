/**
 * What an owner tells the owners of other regions of its load: only what changed,
 * because bytes between regions are dear, and from time to time all.
 *
 * @module
 */

import type { TargetShare } from "./messages.ts";
import { splitLoads } from "./split_messages.ts";

/** Interval of full summaries, which heal lost ones. */
const FULL_SUMMARY_MS = 5_000;
/** Relative change of a load that is worth telling. */
const CHANGE = 0.1;
/** Changes below this many slots are not. */
const MIN_CHANGE_SLOTS = 0.05;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class SummaryLog {
  #told = new Map<number, number>();
  #fullAt = -Infinity;

  /** Loads for the messages that are due now. */
  take(
    shares: readonly TargetShare[],
    now: number,
  ): readonly (readonly TargetShare[])[] {
    const isFull = now - this.#fullAt >= FULL_SUMMARY_MS;
    const loads = [...shares, ...this.#gone(shares)].filter((share) =>
      isFull || this.#isChanged(share)
    ).map(rounded);
    if (isFull) {
      this.#fullAt = now;
      this.#told = new Map();
    } else if (loads.length === 0) {
      return [];
    }
    loads.forEach(({ target, busySlots }) => this.#told.set(target, busySlots));
    return splitLoads(loads);
  }

  /** Targets that have no load any more. */
  #gone(shares: readonly TargetShare[]): readonly TargetShare[] {
    const targets = new Set(shares.map(({ target }) => target));
    return [...this.#told]
      .filter(([target, busySlots]) => !targets.has(target) && busySlots > 0)
      .map(([target]) => ({ target, busySlots: 0 }));
  }

  #isChanged({ target, busySlots }: TargetShare): boolean {
    const told = this.#told.get(target) ?? 0;
    const change = Math.abs(busySlots - told);
    return change >= MIN_CHANGE_SLOTS && change > CHANGE * told;
  }
}

function rounded({ target, busySlots }: TargetShare): TargetShare {
  return { target, busySlots: Math.round(busySlots * 100) / 100 };
}
