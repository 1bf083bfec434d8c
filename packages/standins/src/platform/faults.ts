/**
 * The platform stand-in's switches.
 *
 * @module
 */

/** How the platform treats calls to the table and the object store. */
export type StoreFault =
  | "none"
  /** Connections are cut; nothing takes effect. */
  | "down"
  /** Calls are taken and never answered; nothing takes effect. */
  | "hang"
  /** Writes take effect, then the connection is cut in place of the answer. */
  | "lose-answers";

/** How the platform treats calls for the VM list. */
export type ListFault = "none" | "down";

/** The switches; all are off at the start. */
export interface Faults {
  readonly store: StoreFault;
  readonly list: ListFault;
  /** Added to every answer of the table and the object store. */
  readonly delayMs: number;
  /** Age of the VM list that is served. */
  readonly listLagMs: number;
  /** Writes a second that the store takes; 0 for no limit. */
  readonly writesPerSecond: number;
  /** Reads a second that the store takes; 0 for no limit. */
  readonly readsPerSecond: number;
}

/** Every switch off. */
export const NO_FAULTS: Faults = {
  store: "none",
  list: "none",
  delayMs: 0,
  listLagMs: 0,
  writesPerSecond: 0,
  readsPerSecond: 0,
};

/** What the platform was asked; a transaction is one write, however many rows it has. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  /** Calls beyond the limit, refused without effect. */
  throttled: number;
  /** Writes that took effect and whose answer was cut. */
  answersLost: number;
  listReads: number;
}

/** Lets through a number of calls a second, with at most one second's worth at once. */
export class RateLimit {
  #tokens = Infinity;
  #at = 0;

  /** Whether one more call fits at `now` (milliseconds); `perSecond` 0 always fits. */
  take(perSecond: number, now: number): boolean {
    if (perSecond === 0) {
      this.#tokens = Infinity;
      return true;
    }
    const gained = (now - this.#at) / 1_000 * perSecond;
    this.#tokens = Math.min(perSecond, this.#tokens + gained);
    this.#at = now;
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
