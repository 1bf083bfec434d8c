/**
 * When a refused caller is told to come back.
 *
 * Answers callers that come back together. With one fixed time all that were
 * refused in a second return in one second, are refused again, and the peak
 * repeats; one notices refusals in waves of that period, and saturation that
 * outlasts its cause. So each refused caller is given the next place on a line
 * on which only a share of what is served may come back each second, and comes
 * back at a random time around its place.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Earliest return: the header counts whole seconds. */
const EARLIEST_MS = 1_000;
/** Latest return, so that a caller is never sent away for minutes. */
const LATEST_MS = 30_000;
/** Window in which answers are counted. */
const WINDOW_MS = 1_000;
/** Share of what is served that returning callers may make up: half of what an
 * ordinary day at 80 % load leaves. */
const RETURN_SHARE = 0.1;
/** Span around its place in which a caller returns, as a share of the time. */
const JITTER = 0.5;

/** Gives out places to come back. */
export class RetryAfter {
  readonly #rng: RandomGenerator;
  #windowStart = 0;
  #answered = 0;
  #answeredBefore = 0;
  /** Time of the next place. */
  #nextAt = 0;

  constructor(rng: RandomGenerator) {
    this.#rng = rng;
  }

  /** A request was answered. */
  answered(now: number): void {
    this.#roll(now);
    this.#answered++;
  }

  /** A request is refused; returns when to come back, in ms from now. */
  refused(now: number): number {
    this.#roll(now);
    const served = Math.max(1, this.#answeredBefore, this.#answered);
    const apart = WINDOW_MS / (served * RETURN_SHARE);
    const earliest = now + EARLIEST_MS;
    const latest = now + LATEST_MS;
    this.#nextAt = Math.min(latest, Math.max(earliest, this.#nextAt + apart));
    const wait = this.#nextAt - now;
    const span = Math.ceil(JITTER * wait);
    return Math.round(wait) + uniformInt(this.#rng, 0, span);
  }

  #roll(now: number): void {
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#answeredBefore = this.#answered;
    this.#answered = 0;
    this.#windowStart = now;
  }
}
