/**
 * Follows the known targets and reports which of them can be homes, when that has
 * changed. During a rollout the list of targets changes many times a second.
 *
 * @module
 */

import {
  areSameHomeTargets,
  type HomeTargets,
  homeTargets,
  type HomeZones,
  type KnownTarget,
} from "./home_targets.ts";

/** Minimum time between two computations. */
const MIN_INTERVAL_MS = 200;

/** Options of a {@link HomeTargetWatch}. */
export interface HomeTargetWatchOptions {
  /** The targets that are known now. */
  known(): readonly KnownTarget[];
  zones(): HomeZones;
  changed(targets: HomeTargets, now: number): void;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeTargetWatch {
  readonly #options: HomeTargetWatchOptions;
  #isOutdated = false;
  #dueAt = -Infinity;
  #last: HomeTargets = new Map();

  constructor(options: HomeTargetWatchOptions) {
    this.#options = options;
  }

  /** Targets or evacuations have changed. */
  markOutdated(): void {
    this.#isOutdated = true;
  }

  /** Reports changes that are due. Must be called regularly. */
  update(now: number): void {
    if (!this.#isOutdated || now < this.#dueAt) {
      return;
    }
    this.#isOutdated = false;
    this.#dueAt = now + MIN_INTERVAL_MS;
    const { known, zones, changed } = this.#options;
    const targets = homeTargets(known(), zones(), this.#last);
    if (!areSameHomeTargets(this.#last, targets)) {
      this.#last = targets;
      changed(targets, now);
    }
  }
}
