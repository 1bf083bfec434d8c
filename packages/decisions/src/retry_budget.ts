/**
 * One budget for retries and hedges.
 *
 * Answers a storm of retries. When many attempts fail at once, retrying each of
 * them doubles the load on what is left, which fails more: the service stays
 * down after the first fault has ended, and one notices attempts far above
 * arrivals. With a budget the extra load is a fixed share of the first
 * attempts, whatever fails.
 *
 * @module
 */

/** Retries that may be saved up. Enough for the requests in flight on the slots
 * that a VM holds at one target (6) when it dies, and some hedges. */
const MOST_SAVED = 10;

/** A token bucket filled by first attempts. */
export class RetryBudget {
  #tokens = MOST_SAVED;

  /** A first attempt was sent; `share` is the policy's retryShare. */
  earn(share: number): void {
    this.#tokens = Math.min(MOST_SAVED, this.#tokens + share);
  }

  /** Whether one more attempt is affordable; if so, it is paid. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
