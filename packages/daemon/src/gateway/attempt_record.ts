/**
 * What has become of the attempts of one request: to which targets it went, and
 * whether any of them may have run it.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";

/**
 * Connections that may fail to come about for one request. None of them reached
 * a target; after this many the list of targets is of no use for the moment.
 */
const MOST_UNREACHABLE = 4;

/** See the module's comment. */
export class AttemptRecord {
  /** Targets that it must not go to again. */
  readonly tried = new Set<TargetId>();
  #written = 0;
  #unreachable = 0;
  #mayHaveRun = false;
  /** A target of an attempt before the last one may have run it. */
  #mayHaveRunBefore = false;

  /** Attempts that were written to a target. */
  get written(): number {
    return this.#written;
  }

  /** Whether a target may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether connecting has failed too often for another try. */
  get isOutOfReach(): boolean {
    return this.#unreachable > MOST_UNREACHABLE;
  }

  /** An attempt is about to be written. */
  writes(): void {
    this.#written += 1;
    this.#mayHaveRun = true;
  }

  /** The target of the last attempt says that it did not run the request. */
  didNotRun(): void {
    this.#mayHaveRun = this.#mayHaveRunBefore;
  }

  /** The last attempt failed, and its target may have run the request. */
  failed(): void {
    this.#mayHaveRunBefore = true;
  }

  /** No connection came about for the last attempt. */
  didNotConnect(): void {
    this.#unreachable += 1;
  }
}
