/**
 * Computes the Retry-After time of refused callers.
 *
 * With one fixed time, all callers refused in one second would retry in one
 * second and be refused again: refusals would come in waves, and saturation
 * would outlast its cause. So refused callers get consecutive return times,
 * spaced so that returning callers make up only a share of the requests served
 * per second, and each time is jittered.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Minimum delay: the header has a resolution of whole seconds. */
const MIN_DELAY_MS = 1_000;
/** Maximum delay, so that no caller has to wait for minutes. */
const MAX_DELAY_MS = 30_000;
/** Window in which responses are counted. */
const WINDOW_MS = 1_000;
/** Returning callers as a share of the requests served: half of the capacity
 * left at 80 % load. */
const RETURN_SHARE = 0.1;
/** Maximum jitter, as a share of the delay. */
const JITTER_SHARE = 0.5;

/** Assigns return times to refused callers. */
export class RetryAfter {
  readonly #rng: RandomGenerator;
  #windowStart = 0;
  #served = 0;
  #servedBefore = 0;
  /** Return time assigned last. */
  #nextAt = 0;

  constructor(rng: RandomGenerator) {
    this.#rng = rng;
  }

  /** Records that a request was served. */
  recordServed(now: number): void {
    this.#rollWindow(now);
    this.#served++;
  }

  /** Assigns the next return time; returns the delay until then, in ms. */
  nextDelayMs(now: number): number {
    this.#rollWindow(now);
    const served = Math.max(1, this.#servedBefore, this.#served);
    const spacingMs = WINDOW_MS / (served * RETURN_SHARE);
    const earliest = now + MIN_DELAY_MS;
    const latest = now + MAX_DELAY_MS;
    this.#nextAt = Math.min(
      latest,
      Math.max(earliest, this.#nextAt + spacingMs),
    );
    const delayMs = this.#nextAt - now;
    const jitterMs = Math.ceil(JITTER_SHARE * delayMs);
    return Math.round(delayMs) + uniformInt(this.#rng, 0, jitterMs);
  }

  #rollWindow(now: number): void {
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#servedBefore = this.#served;
    this.#served = 0;
    this.#windowStart = now;
  }
}
