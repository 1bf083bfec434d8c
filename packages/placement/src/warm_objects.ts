/**
 * What this VM knows about which targets are warm for which objects.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";

/**
 * For how long a target is taken to keep an object after this VM last sent a
 * request for it there, in milliseconds. Targets keep some 30 objects, the least
 * recently used one goes first, and at the usual rates an object that is asked
 * for at all comes back within a few seconds.
 */
const KEPT_MS = 12_000;
/** Objects that are remembered; beyond it the oldest go. With some five targets each, 5,000 objects take about 2 MB. */
const MOST_OBJECTS = 5_000;

/** When this VM last sent requests for an object to targets, in milliseconds. */
type UsedAt = Map<TargetId, number>;

/** Remembers pairs of object and target. */
export class WarmObjects {
  /** In the order of last use, so that the oldest object is the first one. */
  readonly #objects = new Map<number, UsedAt>();

  /** A target answered a request for the object. */
  used(object: number, target: TargetId, now: number): void {
    const usedAt: UsedAt = this.#objects.get(object) ?? new Map();
    this.#objects.delete(object);
    usedAt.set(target, now);
    this.#objects.set(object, usedAt);
    if (this.#objects.size > MOST_OBJECTS) {
      const [oldest] = this.#objects.keys();
      this.#objects.delete(oldest!);
    }
  }

  /** Whether the target likely keeps the object. */
  isWarm(object: number, target: TargetId, now: number): boolean {
    const usedAt = this.#objects.get(object)?.get(target);
    return usedAt !== undefined && now - usedAt < KEPT_MS;
  }

  /** Targets that likely keep the object. */
  targetsOf(object: number, now: number): readonly TargetId[] {
    return [...(this.#objects.get(object) ?? [])]
      .filter(([, usedAt]) => now - usedAt < KEPT_MS)
      .map(([target]) => target);
  }

  /** The target has started anew and keeps nothing. */
  forget(target: TargetId): void {
    for (const usedAt of this.#objects.values()) {
      usedAt.delete(target);
    }
  }
}
