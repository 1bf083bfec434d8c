/**
 * How long requests wait on this VM, from how fast its waiting ones go.
 *
 * Answers a load that lasts. A request that waits behind more urgent ones waits
 * for those that are still to come as well; computed from the slots alone, its
 * wait seems short, and it is held until its time has passed instead of being
 * refused at once. One notices reads that are refused after a second or more.
 *
 * @module
 */

import { WindowCount } from "./window_count.ts";

/** Rates are counted over this time, in milliseconds: some five service times. */
const WINDOW_MS = 1_000;
/** Slowest rate that is believed, in requests a second: below it a wait says nothing. */
const LEAST_RATE = 0.5;

/** Rates of one service on one VM. */
export class DrainRate {
  readonly #sent = new WindowCount(WINDOW_MS);
  readonly #arrived = new Map<number, WindowCount>();

  /** A request of `priority` came. */
  arrived(priority: number, now: number): void {
    let count = this.#arrived.get(priority);
    if (count === undefined) {
      count = new WindowCount(WINDOW_MS);
      this.#arrived.set(priority, count);
    }
    count.add(now);
  }

  /** A request was sent to a target. */
  sent(now: number): void {
    this.#sent.add(now);
  }

  /**
   * Expected wait of a request of `priority` behind `ahead` others, in
   * milliseconds. More urgent requests that come meanwhile go before it.
   */
  waitMs(priority: number, { now, ahead }: { now: number; ahead: number }) {
    let rate = this.#sent.sum(now);
    for (const [other, count] of this.#arrived) {
      if (other < priority) {
        rate -= count.sum(now);
      }
    }
    return (ahead + 1) * WINDOW_MS / Math.max(LEAST_RATE, rate);
  }
}
