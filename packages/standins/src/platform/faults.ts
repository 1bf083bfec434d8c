/**
 * Faults that the platform stand-in can simulate.
 *
 * @module
 */

/** Fault of the table and the object store. */
export type StoreFault =
  | "none"
  /** Connections are closed; no call takes effect. */
  | "down"
  /** Calls are accepted but get no response; none takes effect. */
  | "hang"
  /** Writes take effect, then the connection is closed without a response. */
  | "lose-answers";

/** Fault of the VM list. */
export type ListFault = "none" | "down";

/** The simulated faults; initially {@link NO_FAULTS}. */
export interface Faults {
  readonly store: StoreFault;
  readonly list: ListFault;
  /** Delay added to each response of the table and the object store. */
  readonly delayMs: number;
  /** Age of the VM list that is returned. */
  readonly listLagMs: number;
  /** Limit on writes per second; 0 means no limit. */
  readonly writesPerSecond: number;
  /** Limit on reads per second; 0 means no limit. */
  readonly readsPerSecond: number;
}

/** Normal behaviour. */
export const NO_FAULTS: Faults = {
  store: "none",
  list: "none",
  delayMs: 0,
  listLagMs: 0,
  writesPerSecond: 0,
  readsPerSecond: 0,
};

/** Counts of calls to the platform; a transaction counts as one write, regardless of its rows. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  /** Calls refused by a rate limit; they had no effect. */
  throttled: number;
  /** Writes that took effect but whose response was not sent. */
  responsesLost: number;
  listReads: number;
}

/** A token bucket that holds at most the calls of one second. */
export class RateLimiter {
  #tokens = Infinity;
  #refilledAt = 0;

  /** Takes a token if there is one at `now` (in milliseconds); always succeeds if `perSecond` is 0. */
  tryTake(perSecond: number, now: number): boolean {
    if (perSecond === 0) {
      this.#tokens = Infinity;
      return true;
    }
    const refill = (now - this.#refilledAt) / 1_000 * perSecond;
    this.#tokens = Math.min(perSecond, this.#tokens + refill);
    this.#refilledAt = now;
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
