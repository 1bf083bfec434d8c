/**
 * Shared budget for retries and hedges.
 *
 * When many attempts fail at once, retrying each of them doubles the load on
 * the remaining targets, which then fail more: a retry storm keeps the service
 * down after the first fault has ended. With a budget the extra load is a fixed
 * share of the first attempts, whatever fails.
 *
 * @module
 */

/** Most tokens that accumulate: enough for the requests in flight on the slots
 * that a VM holds at one target (6) when it dies, and some hedges. */
const MAX_TOKENS = 10;

/** Token bucket, refilled by first attempts. */
export class RetryBudget {
  #tokens = MAX_TOKENS;

  /** Adds tokens for a first attempt; `share` is the policy's retryShare. */
  earn(share: number): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + share);
  }

  /** Takes one token for another attempt; returns whether there was one. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
