/**
 * Health of a target, derived from its connections and responses.
 *
 * Detects targets that stop responding, refuse connections or fail part of their
 * requests. The platform's list drops such a target only after seconds. Without
 * this check every request sent there until then fails or times out while other
 * targets are idle.
 *
 * @module
 */

/** Health state of a target. */
export type HealthState =
  /** Usable. */
  | "in-use"
  /** Unresponsive: it has requests that it should have responded to long ago. */
  | "unresponsive"
  /** It refused a connection, or none could be established. */
  | "unreachable";

/**
 * A target is unresponsive if its oldest request has waited longer than the
 * expected wait plus this multiple of the longest usual service time, with no other
 * response meanwhile. A fixed timeout would not suit all services: where requests
 * regularly take that long, working targets would be taken out, and their requests
 * would move to other targets that run them uncached. The symptom is late responses
 * and probes while no target is broken.
 */
const UNRESPONSIVE_FACTOR = 1.35;
/** Lower bound of the same time: healthy targets sometimes pause for a second. */
const MIN_UNRESPONSIVE_MS = 1_300;
/** First delay between probes of an unreachable or unresponsive target. */
const FIRST_PROBE_DELAY_MS = 250;
/** Longest delay between probes: targets recover within seconds. */
const MAX_PROBE_DELAY_MS = 1_000;
/**
 * Weight of a new outcome in the failure share, which follows the last ten outcomes
 * or so.
 */
const FAILURE_WEIGHT = 0.15;
/** Half-life of the failure share while there are no new outcomes. */
const FAILURE_HALF_LIFE_MS = 1_500;

/** Expected times of a request at a target. */
export interface ExpectedTimes {
  /** Wait for a slot. */
  readonly waitMs: number;
  /**
   * Time of the longest requests of its service, including their wait at the
   * target.
   */
  readonly longMs: number;
}

/** Tracks the health of one target. Times are milliseconds of the monotonic clock. */
export class TargetHealth {
  #state: HealthState = "in-use";
  #lastResponseAt = 0;
  /** When each pending request was sent, oldest first. */
  readonly #pendingSentAt: number[] = [];
  #nextProbeAt = 0;
  #probeDelayMs = FIRST_PROBE_DELAY_MS;
  #lastFailureShare = 0;
  #failureShareAt = 0;
  #backOffUntil = -Infinity;

  get state(): HealthState {
    return this.#state;
  }

  /** Records that a request was written to the target's connection. */
  sent(now: number): void {
    this.#pendingSentAt.push(now);
  }

  /** Removes a pending request whose end says nothing about the target. */
  removePending(sentAt: number): void {
    const at = this.#pendingSentAt.indexOf(sentAt);
    if (at >= 0) {
      this.#pendingSentAt.splice(at, 1);
    }
  }

  /**
   * Records a response to the request sent at `sentAt`; `failed` if the target
   * refused or failed it.
   */
  responded(sentAt: number, { now, failed }: { now: number; failed: boolean }) {
    this.removePending(sentAt);
    this.#lastResponseAt = now;
    this.#recordOutcome(failed ? 1 : 0, now);
    if (this.#state === "unresponsive") {
      this.#markInUse();
    }
  }

  /** Records that the target refused the request sent at `sentAt` for lack of room. */
  refused(sentAt: number, now: number): void {
    this.removePending(sentAt);
    this.#lastResponseAt = now;
    if (this.#state === "unresponsive") {
      this.#markInUse();
    }
  }

  /** Records that a connection broke with a request in progress. */
  connectionBroke(sentAt: number, now: number): void {
    this.removePending(sentAt);
    this.#recordOutcome(1, now);
  }

  /** Records that no connection could be established. */
  markUnreachable(now: number): void {
    if (this.#state !== "unreachable") {
      this.#state = "unreachable";
      this.#probeDelayMs = FIRST_PROBE_DELAY_MS;
      this.#nextProbeAt = now + FIRST_PROBE_DELAY_MS;
    }
  }

  get hasPendingRequests(): boolean {
    return this.#pendingSentAt.length > 0;
  }

  /**
   * Marks the target unresponsive if a response is overdue; true if it has just
   * become so.
   */
  detectUnresponsive(now: number, { waitMs, longMs }: ExpectedTimes): boolean {
    const oldest = this.#pendingSentAt[0];
    if (this.#state !== "in-use" || oldest === undefined) {
      return false;
    }
    const sinceResponseMs = now - Math.max(oldest, this.#lastResponseAt);
    const unresponsiveMs = Math.max(
      MIN_UNRESPONSIVE_MS,
      UNRESPONSIVE_FACTOR * longMs,
    );
    if (sinceResponseMs < unresponsiveMs + waitMs) {
      return false;
    }
    this.#state = "unresponsive";
    this.#probeDelayMs = FIRST_PROBE_DELAY_MS;
    this.#nextProbeAt = now;
    return true;
  }

  /** Whether the target has responded to nothing since a request was written to it long ago; false if it was not written. */
  wasSilent(
    { writtenAt, now }: {
      readonly writtenAt: number | undefined;
      readonly now: number;
    },
  ): boolean {
    return writtenAt !== undefined && this.#lastResponseAt < writtenAt &&
      now - writtenAt >= MIN_UNRESPONSIVE_MS;
  }

  /** The target accepts no requests from this VM until `until`. */
  backOff(until: number): void {
    this.#backOffUntil = Math.max(this.#backOffUntil, until);
  }

  /** Remaining back-off in milliseconds; 0 if there is none. */
  backOffMs(now: number): number {
    return Math.max(0, this.#backOffUntil - now);
  }

  /** Clears the back-off of the target's previous run. */
  restarted(): void {
    this.#backOffUntil = -Infinity;
  }

  /** Whether a probe is due; if so, schedules the next one. */
  probeDue(now: number): boolean {
    const isDue = this.#state !== "in-use" && now >= this.#nextProbeAt &&
      this.backOffMs(now) === 0;
    if (!isDue) {
      return false;
    }
    this.#nextProbeAt = now + this.#probeDelayMs;
    this.#probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, this.#probeDelayMs * 2);
    return true;
  }

  /** Records a successful probe. */
  probeSucceeded(now: number): void {
    this.#lastResponseAt = now;
    this.#markInUse();
  }

  /** Share of recent requests that the target failed or refused, 0 to 1. */
  failureShare(now: number): number {
    return this.#lastFailureShare *
      2 ** (-(now - this.#failureShareAt) / FAILURE_HALF_LIFE_MS);
  }

  #recordOutcome(outcome: number, now: number): void {
    const share = this.failureShare(now);
    this.#lastFailureShare = share + FAILURE_WEIGHT * (outcome - share);
    this.#failureShareAt = now;
  }

  /** Forgets failures and pending requests that say nothing about the target. */
  forgetFailures(): void {
    this.#pendingSentAt.length = 0;
    this.#lastFailureShare = 0;
    this.#markInUse();
  }

  #markInUse(): void {
    this.#state = "in-use";
  }
}
