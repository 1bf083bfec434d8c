/**
 * Reserves part of a retry budget for the most urgent requests.
 *
 * When targets refuse much of what they get, more requests ask for a retry than the
 * budget allows. In order of arrival the less urgent ones would use most of it.
 *
 * @module
 */

import { WindowCount } from "../window_count.ts";

/** Share of the budget that less urgent requests leave to more urgent ones in use. */
const RESERVED_SHARE = 0.25;
/** Window in which an urgent request without a retry shows that the budget is short. */
const DENIED_WINDOW_MS = 1_000;

/** The reserve of one service's budget. Times are milliseconds of the monotonic clock. */
export class RetryReserve {
  readonly #denied = new Map<number, WindowCount>();

  /** Records that a request got no retry because the budget was used up. */
  denied(priority: number, now: number): void {
    let count = this.#denied.get(priority);
    if (count === undefined) {
      count = new WindowCount(DENIED_WINDOW_MS);
      this.#denied.set(priority, count);
    }
    count.add(now);
  }

  /**
   * Share of the budget that a request must leave, with `moreUrgent` more urgent
   * priorities in use; all of it while those don't get enough.
   */
  shareFor(
    priority: number,
    { moreUrgent, now }: { readonly moreUrgent: number; readonly now: number },
  ): number {
    for (const [other, count] of this.#denied) {
      if (other < priority && count.sum(now) > 0) {
        return 1;
      }
    }
    return moreUrgent > 0 ? RESERVED_SHARE : 0;
  }
}
