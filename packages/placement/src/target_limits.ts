/**
 * Limits that targets in need name for all VMs together.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";

/** What a target says of its limit. */
export interface NamedLimit {
  /** Requests a second that it takes from all VMs together; undefined where it has no limit any more. */
  readonly perSecond: number | undefined;
}

/** The limits in force, as this VM knows them. */
export class TargetLimits {
  readonly #limits = new Map<TargetId, number>();

  /** How many targets have a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /** Takes in what a target says; true if that is news. */
  named(target: TargetId, { perSecond }: NamedLimit): boolean {
    const isNews = this.#limits.get(target) !== perSecond;
    if (perSecond === undefined) {
      this.#limits.delete(target);
    } else {
      this.#limits.set(target, perSecond);
    }
    return isNews;
  }

  /** The target is gone, or lives anew. */
  forget(target: TargetId): void {
    this.#limits.delete(target);
  }
}
