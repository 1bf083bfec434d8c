/**
 * The planned stop of a VM, as its requests see it.
 *
 * @module
 */

/**
 * Cache lifetime of a look-up response. Some callers keep a response for three times
 * as long, so all of them stop using a leaving VM within 3 s, well before it must
 * exit.
 */
export const LOOKUP_TTL_MS = 1_000;
/** Time after which callers no longer use a look-up response. */
const LOOKUP_EXPIRY_MS = 3 * LOOKUP_TTL_MS;
/** Callers connect until their look-up responses expire, and their connections arrive later. */
const CONNECT_MARGIN_MS = 200;
/** Part of the time until SIGKILL that is reserved for delivering what is ready, and for the exit. */
const DELIVERY_MARGIN_MS = 500;
/** Part of the time until SIGKILL that is reserved for the exit of the process itself. */
const EXIT_MARGIN_MS = 200;
/** What is ready gets this time to be delivered at least, however late the stop was noticed. */
const MIN_DELIVERY_MS = 100;
/** A target at work is waited for during this share of the stop at least, however late the stop was noticed. */
const MIN_WAIT_SHARE = 5 / 6;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class PlannedStop {
  readonly #stopMs: number;
  /** Time for which requests may last after the stop has begun. */
  readonly #requestsMs: number;
  #toldAt = Infinity;
  #startedAt = Infinity;
  #refusesFrom = Infinity;

  /** `stopMs`: time from the order to stop until the process is killed. */
  constructor(stopMs: number) {
    this.#stopMs = stopMs;
    this.#requestsMs = Math.max(0, stopMs - DELIVERY_MARGIN_MS);
  }

  /**
   * Records that the VM was told to stop. A VM that is short of processor time learns of
   * it late: `toldAt` is when the order can have come at the earliest.
   */
  begin(now: number, toldAt = now): void {
    this.#startedAt = now;
    this.#toldAt = toldAt;
    this.#refusesFrom = toldAt + Math.min(LOOKUP_EXPIRY_MS, this.#requestsMs);
  }

  /** Whether the VM leaves: callers are to use other VMs. */
  get hasBegun(): boolean {
    return this.#startedAt < Infinity;
  }

  /** Time for which connections are accepted after the stop has begun. */
  get acceptMs(): number {
    return Math.min(LOOKUP_EXPIRY_MS + CONNECT_MARGIN_MS, this.#requestsMs);
  }

  /** From when on an open request may be cut, as the process may be killed soon; never before the stop has begun. */
  get cutsAt(): number {
    return this.#toldAt + this.#requestsMs;
  }

  /** When requests are given up that hold back ready responses. */
  get releasesAt(): number {
    return Math.max(
      this.cutsAt,
      this.#startedAt + MIN_WAIT_SHARE * this.#stopMs,
    );
  }

  /** When the process ends, whatever is still open: before it can be killed, as far as that is known. */
  get endsAt(): number {
    const { releasesAt } = this;
    const deliveryMs = Math.min(
      DELIVERY_MARGIN_MS - EXIT_MARGIN_MS,
      this.#stopMs,
    );
    const killedAt = this.#toldAt + this.#stopMs;
    if (killedAt <= releasesAt) {
      // A VM that still runs by then must have been told later.
      return releasesAt + deliveryMs;
    }
    return Math.min(
      releasesAt + deliveryMs,
      Math.max(killedAt - EXIT_MARGIN_MS, releasesAt + MIN_DELIVERY_MS),
    );
  }

  /**
   * Whether a request that is to be sent to a target now is refused instead: the stop may
   * cut it, and its caller could have used another VM. `expiresAt`: when it ends at the latest.
   */
  refuses(expiresAt: number, now: number): boolean {
    return now >= this.#refusesFrom && expiresAt > this.cutsAt;
  }
}
