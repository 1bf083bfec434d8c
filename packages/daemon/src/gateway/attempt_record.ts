/**
 * The attempts of one request: the targets it was sent to, and whether any of them
 * may have run it.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";

/**
 * Maximum number of failed connects for one request. None of them reached a target;
 * after more, the list of targets is not usable for the moment.
 */
const MAX_FAILED_CONNECTS = 4;

/** The attempts of one request; see the module comment. */
export class AttemptRecord {
  /** Targets that the request must not be sent to again. */
  readonly tried = new Set<TargetId>();
  #written: number;
  #failedConnects = 0;
  #mayHaveRun = false;
  /** Whether the target of an attempt before the last one may have run the request. */
  #mayHaveRunBefore = false;

  /** `earlier`: attempts of the VM that forwarded the request. */
  constructor(earlier = 0) {
    this.#written = earlier;
  }

  /** Number of attempts that were written to a target, or may have been. */
  get written(): number {
    return this.#written;
  }

  /** Whether any target may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether connecting has failed too often for another attempt. */
  get hasTooManyFailedConnects(): boolean {
    return this.#failedConnects > MAX_FAILED_CONNECTS;
  }

  /** Records that an attempt is about to be written. */
  writing(): void {
    this.#written += 1;
    this.#mayHaveRun = true;
  }

  /** Records that another VM may have made any number of attempts, up to `limit` in all. */
  mayHaveReached(limit: number): void {
    this.#written = Math.max(this.#written, limit);
  }

  /** Records that the target of the last attempt reported not running the request. */
  didNotRun(): void {
    this.#mayHaveRun = this.#mayHaveRunBefore;
  }

  /** Records that the last attempt failed and its target may have run the request. */
  failed(): void {
    this.#mayHaveRunBefore = true;
  }

  /** Records that connecting failed for the last attempt. */
  didNotConnect(): void {
    this.#failedConnects += 1;
  }
}
