/**
 * Whether a target can be used, from what its connections and answers show.
 *
 * Answers targets that stop answering, that refuse connections, or that fail
 * part of their requests. Entries in the platform's list leave only after
 * seconds; until then every request sent there is lost or late. One notices
 * answers that end at their timeout while other targets stand idle.
 *
 * @module
 */

/** How a target stands. */
export type Standing =
  /** Takes requests. */
  | "in-use"
  /** Has requests that it should have answered long ago. */
  | "silent"
  /** Refused a connection, or none came about. */
  | "unreachable";

/**
 * A target is silent that lets its oldest request wait longer than the expected wait
 * and this multiple of the longest usual service, without answering anything else
 * meanwhile. A fixed time fits no service but the one that it was chosen for: where
 * runs take as long, targets are taken out while they work, their requests go to
 * others that must run them for the first time as well, and one notices late answers
 * and probes while no target is broken.
 */
const SILENT_TIMES = 1.35;
/** The same at the least, in milliseconds: sound targets pause for a second at times. */
const SILENT_LEAST_MS = 1_300;
/** First pause before an unreachable or silent target is probed, in milliseconds. */
const PROBE_FIRST_MS = 250;
/** Longest pause between probes; targets come back within seconds. */
const PROBE_MOST_MS = 1_000;
/** Weight of a new outcome in the share of failures: ten outcomes decide. */
const FAILURE_WEIGHT = 0.15;
/** With this half-life, in milliseconds, an old share of failures is forgotten without new outcomes. */
const FAILURE_HALF_LIFE_MS = 1_500;

/** What a request at a target is expected to take, in milliseconds. */
export interface ExpectedTimes {
  /** Wait for a slot. */
  readonly waitMs: number;
  /** What the longest requests of its service take, with their wait at the target. */
  readonly longMs: number;
}

/** Follows one target. Times are milliseconds of the monotonic clock. */
export class TargetBelief {
  #standing: Standing = "in-use";
  #heardAt = 0;
  /** When the requests that are not answered were sent, oldest first. */
  readonly #open: number[] = [];
  #probeAt = 0;
  #probePauseMs = PROBE_FIRST_MS;
  #failures = 0;
  #failuresAt = 0;
  #restsUntil = -Infinity;

  get standing(): Standing {
    return this.#standing;
  }

  /** A request was written to it. */
  sent(now: number): void {
    this.#open.push(now);
  }

  /** A request that was sent at `sentAt` ended without word of the target. */
  dropped(sentAt: number): void {
    const at = this.#open.indexOf(sentAt);
    if (at >= 0) {
      this.#open.splice(at, 1);
    }
  }

  /** It answered a request that was sent at `sentAt`; `failed` where it refused or failed it. */
  answered(sentAt: number, { now, failed }: { now: number; failed: boolean }) {
    this.dropped(sentAt);
    this.#heardAt = now;
    this.#count(failed ? 1 : 0, now);
    if (this.#standing === "silent") {
      this.#use();
    }
  }

  /** A connection broke off with a request on it. */
  broke(sentAt: number, now: number): void {
    this.dropped(sentAt);
    this.#count(1, now);
  }

  /** No connection came about. */
  unreachable(now: number): void {
    if (this.#standing !== "unreachable") {
      this.#standing = "unreachable";
      this.#probePauseMs = PROBE_FIRST_MS;
      this.#probeAt = now + PROBE_FIRST_MS;
    }
  }

  /** A request was sent that has no answer yet. */
  get isAwaited(): boolean {
    return this.#open.length > 0;
  }

  /** Notices silence. */
  check(now: number, { waitMs, longMs }: ExpectedTimes): boolean {
    const oldest = this.#open[0];
    if (this.#standing !== "in-use" || oldest === undefined) {
      return false;
    }
    const quietFor = now - Math.max(oldest, this.#heardAt);
    const silentMs = Math.max(SILENT_LEAST_MS, SILENT_TIMES * longMs);
    if (quietFor < silentMs + waitMs) {
      return false;
    }
    this.#standing = "silent";
    this.#probePauseMs = PROBE_FIRST_MS;
    this.#probeAt = now;
    return true;
  }

  /** It wants nothing from this VM until then. */
  rest(until: number): void {
    this.#restsUntil = Math.max(this.#restsUntil, until);
  }

  /** How long it still wants nothing from this VM, in milliseconds; 0 where it takes requests. */
  restMs(now: number): number {
    return Math.max(0, this.#restsUntil - now);
  }

  /** It lives anew. */
  restarted(): void {
    this.#restsUntil = -Infinity;
  }

  /** Whether a probe is due; if so, the next one is planned. */
  probeDue(now: number): boolean {
    const isDue = this.#standing !== "in-use" && now >= this.#probeAt &&
      this.restMs(now) === 0;
    if (!isDue) {
      return false;
    }
    this.#probeAt = now + this.#probePauseMs;
    this.#probePauseMs = Math.min(PROBE_MOST_MS, this.#probePauseMs * 2);
    return true;
  }

  /** A probe was answered as by a healthy target. */
  probeAnswered(now: number): void {
    this.#heardAt = now;
    this.#use();
  }

  /** Share of recent requests that it failed or refused, 0 to 1. */
  failureShare(now: number): number {
    return this.#failures *
      2 ** (-(now - this.#failuresAt) / FAILURE_HALF_LIFE_MS);
  }

  #count(outcome: number, now: number): void {
    const share = this.failureShare(now);
    this.#failures = share + FAILURE_WEIGHT * (outcome - share);
    this.#failuresAt = now;
  }

  #use(): void {
    this.#standing = "in-use";
  }
}
