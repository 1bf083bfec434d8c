/**
 * What this VM knows about which targets are warm for which objects, from its own
 * requests and from what the other VMs tell of theirs.
 *
 * Answers a fleet of which each VM sees only its part of the requests. By its own
 * alone, a VM takes most targets for cold that others have warmed; it then waits
 * for the few that it knows, or warms one more. One notices answers that are late
 * behind full targets while others that keep the same objects stand idle.
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

/**
 * A pair that is in use is told again after this long, in milliseconds: half of the
 * time for which the others believe it.
 */
const TOLD_AGAIN_MS = KEPT_MS / 2;

/** A target that handled an object lately. */
export interface WarmPair {
  readonly object: number;
  readonly target: TargetId;
}

/** A pair as VMs tell each other of it, by the hashes of both names. */
export interface HashedPair {
  readonly object: number;
  readonly target: number;
}

/** What is known of a pair, in milliseconds. */
interface Knowledge {
  /** When some VM last sent a request for the object there, as far as this VM knows. */
  readonly usedAt: number;
  /** When the other VMs last heard of it. */
  readonly toldAt: number;
}

/** Remembers pairs of object and target. */
export class WarmObjects {
  /** In the order of last use, so that the oldest object is the first one. */
  readonly #objects = new Map<number, Map<TargetId, Knowledge>>();

  /** A target answered this VM's request for the object; true if the other VMs should hear of it. */
  used({ object, target }: WarmPair, now: number): boolean {
    const toldAt = this.#objects.get(object)?.get(target)?.toldAt ?? -Infinity;
    const isNews = now - toldAt >= TOLD_AGAIN_MS;
    this.#note({ object, target }, {
      usedAt: now,
      toldAt: isNews ? now : toldAt,
    });
    return isNews;
  }

  /** Another VM tells that a target handled the object. */
  heard(pair: WarmPair, now: number): void {
    this.#note(pair, { usedAt: now, toldAt: now });
  }

  /** Whether the target likely keeps the object. */
  isWarm(object: number, target: TargetId, now: number): boolean {
    const known = this.#objects.get(object)?.get(target);
    return known !== undefined && now - known.usedAt < KEPT_MS;
  }

  /** Targets that likely keep the object. */
  targetsOf(object: number, now: number): readonly TargetId[] {
    return [...(this.#objects.get(object) ?? [])]
      .filter(([, { usedAt }]) => now - usedAt < KEPT_MS)
      .map(([target]) => target);
  }

  /** All pairs that are likely warm, those of the object used last at the end. */
  all(now: number): readonly WarmPair[] {
    return [...this.#objects.keys()].flatMap((object) =>
      this.targetsOf(object, now).map((target) => ({ object, target }))
    );
  }

  /** The target has started anew and keeps nothing. */
  forget(target: TargetId): void {
    for (const known of this.#objects.values()) {
      known.delete(target);
    }
  }

  #note({ object, target }: WarmPair, knowledge: Knowledge): void {
    const known = this.#objects.get(object) ?? new Map<TargetId, Knowledge>();
    this.#objects.delete(object);
    known.set(target, knowledge);
    this.#objects.set(object, known);
    if (this.#objects.size > MOST_OBJECTS) {
      const [oldest] = this.#objects.keys();
      this.#objects.delete(oldest!);
    }
  }
}
