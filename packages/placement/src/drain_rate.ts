/**
 * Estimates how long requests wait on this VM from the rate at which its queue
 * drains.
 *
 * Under sustained overload a request also waits for more urgent ones that arrive
 * later. An estimate from the slots alone would be too short, and the request would
 * be queued until its deadline instead of being refused at once: reads would be
 * refused after a second or more.
 *
 * @module
 */

import { WindowCount } from "./window_count.ts";

/** Window over which rates are counted: about five service times. */
const WINDOW_MS = 1_000;
/** Lower bound of the rate: the wait can't be estimated below it. */
const MIN_RATE_PER_SECOND = 0.5;

/** Arrival and drain rates of one service on one VM. */
export class DrainRate {
  readonly #sent = new WindowCount(WINDOW_MS);
  readonly #arrived = new Map<number, WindowCount>();

  /** Records the arrival of a request of `priority`. */
  arrived(priority: number, now: number): void {
    let count = this.#arrived.get(priority);
    if (count === undefined) {
      count = new WindowCount(WINDOW_MS);
      this.#arrived.set(priority, count);
    }
    count.add(now);
  }

  /** Records that a request was sent to a target. */
  sent(now: number): void {
    this.#sent.add(now);
  }

  /**
   * Expected wait in milliseconds of a request of `priority` with `ahead` others
   * before it. More urgent requests that arrive meanwhile go before it.
   */
  waitMs(priority: number, { now, ahead }: { now: number; ahead: number }) {
    let rate = this.#sent.sum(now);
    for (const [other, count] of this.#arrived) {
      if (other < priority) {
        rate -= count.sum(now);
      }
    }
    return (ahead + 1) * WINDOW_MS / Math.max(MIN_RATE_PER_SECOND, rate);
  }
}
