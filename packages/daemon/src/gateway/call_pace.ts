/**
 * Bounds how often changes are asked for: a source that does not wait for them would be
 * called without a pause.
 *
 * @module
 */

/** Calls that may be made at once: many times those of a second in which rows change. */
const MAX_BURST = 20;
/** Time after which one more may be made. */
const INTERVAL_MS = 100;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class CallPace {
  /** Calls that may be made at `#at`. */
  #calls = MAX_BURST;
  #at = -Infinity;

  /** A call is to be made. Returns how long it has to wait. */
  next(now: number): number {
    const regained = (now - this.#at) / INTERVAL_MS;
    this.#calls = Math.min(MAX_BURST, this.#calls + regained) - 1;
    this.#at = now;
    return Math.max(0, -this.#calls * INTERVAL_MS);
  }
}
