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
/** Pairs that are remembered; beyond it the oldest go. 20,000 pairs take about 2 MB. */
const MOST_PAIRS = 20_000;

/** Remembers pairs of object and target. */
export class WarmObjects {
  /** In the order of last use, so that the oldest pair is the first one. */
  readonly #usedAt = new Map<string, number>();

  /** A target answered a request for the object. */
  used(object: number, target: TargetId, now: number): void {
    const pair = `${object} ${target}`;
    this.#usedAt.delete(pair);
    this.#usedAt.set(pair, now);
    if (this.#usedAt.size > MOST_PAIRS) {
      const [oldest] = this.#usedAt.keys();
      this.#usedAt.delete(oldest!);
    }
  }

  /** Whether the target likely keeps the object. */
  isWarm(object: number, target: TargetId, now: number): boolean {
    const usedAt = this.#usedAt.get(`${object} ${target}`);
    return usedAt !== undefined && now - usedAt < KEPT_MS;
  }

  /** The target has started anew and keeps nothing. */
  forget(target: TargetId): void {
    for (const pair of this.#usedAt.keys()) {
      if (pair.endsWith(` ${target}`)) {
        this.#usedAt.delete(pair);
      }
    }
  }
}
