/**
 * When a refused caller is told to come back.
 *
 * Answers callers that come back together. With one fixed time all that were
 * refused in a second return in one second, are refused again, and the peak
 * repeats; one notices refusals in waves of that period. Times are spread over
 * a span that grows with the refusals of the last second, so that what returns
 * in a second is a share of what can be served.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Earliest return: the header counts whole seconds. */
const EARLIEST_MS = 1_000;
/** Longest span, so that a caller is never sent away for minutes. */
const LONGEST_SPAN_MS = 30_000;
/** Window in which refusals and answers are counted. */
const WINDOW_MS = 1_000;
/** Share of what is served that returning callers may make up. */
const RETURN_SHARE = 0.2;

/** Counts refusals against answers and picks times of return. */
export class RetryAfter {
  readonly #rng: RandomGenerator;
  #windowStart = 0;
  #refused = 0;
  #answered = 0;
  #spanMs = EARLIEST_MS;

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
    this.#refused++;
    return EARLIEST_MS + uniformInt(this.#rng, 0, this.#spanMs);
  }

  #roll(now: number): void {
    if (now - this.#windowStart < WINDOW_MS) return;
    const returning = Math.max(1, this.#answered * RETURN_SHARE);
    const span = Math.ceil(WINDOW_MS * this.#refused / returning);
    this.#spanMs = Math.min(LONGEST_SPAN_MS, Math.max(EARLIEST_MS, span));
    this.#windowStart = now;
    this.#refused = 0;
    this.#answered = 0;
  }
}
