/**
 * Tracks which targets are warm for which objects, from this VM's requests and from
 * the other VMs' notifications.
 *
 * Each VM sees only its share of the requests. From these alone it would not know
 * that other VMs have warmed most of the targets. It would then wait for the few
 * that it knows, or warm another one, and responses would be late behind full
 * targets while others with the same objects cached are idle.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";

/**
 * How long a target is assumed to cache an object after the last known request for
 * it. Targets cache about 30 objects and evict the least recently used one first.
 * At usual rates an object in use is requested again within a few seconds.
 */
const WARM_TTL_MS = 12_000;
/**
 * Maximum number of tracked objects; the least recently used are dropped first.
 * With about five targets each, 5,000 objects take about 2 MB.
 */
const MAX_OBJECTS = 5_000;

/**
 * A pair in use is published again after this time: half of the time for which
 * other VMs assume it to be warm.
 */
const REPUBLISH_MS = WARM_TTL_MS / 2;

/** A target that recently handled a request for an object. */
export interface WarmPair {
  readonly object: number;
  readonly target: TargetId;
}

/** A pair as published to other VMs, with the hashes of both names. */
export interface HashedPair {
  readonly object: number;
  readonly target: number;
}

/** What is known of a pair; times are milliseconds of the monotonic clock. */
interface PairState {
  /**
   * When any VM last sent a request for the object to the target, as far as this VM
   * knows.
   */
  readonly usedAt: number;
  /** When the pair was last published, by this VM or by another one. */
  readonly publishedAt: number;
}

/** Pairs of an object and a target that is warm for it. */
export class WarmObjects {
  /** In order of last use, least recently used object first. */
  readonly #objects = new Map<number, Map<TargetId, PairState>>();

  /**
   * Records that a target responded to this VM's request for the object; true if
   * this should be published to the other VMs.
   */
  recordUse({ object, target }: WarmPair, now: number): boolean {
    const publishedAt = this.#objects.get(object)?.get(target)?.publishedAt ??
      -Infinity;
    const shouldPublish = now - publishedAt >= REPUBLISH_MS;
    this.#record({ object, target }, {
      usedAt: now,
      publishedAt: shouldPublish ? now : publishedAt,
    });
    return shouldPublish;
  }

  /** Records another VM's notification that a target handled the object. */
  recordRemoteUse(pair: WarmPair, now: number): void {
    this.#record(pair, { usedAt: now, publishedAt: now });
  }

  /** Whether the target probably has the object cached. */
  isWarm(object: number, target: TargetId, now: number): boolean {
    const known = this.#objects.get(object)?.get(target);
    return known !== undefined && now - known.usedAt < WARM_TTL_MS;
  }

  /** Targets that probably have the object cached. */
  targetsOf(object: number, now: number): readonly TargetId[] {
    return [...(this.#objects.get(object) ?? [])]
      .filter(([, { usedAt }]) => now - usedAt < WARM_TTL_MS)
      .map(([target]) => target);
  }

  /** All pairs that are probably warm, those of the most recently used object last. */
  warmPairs(now: number): readonly WarmPair[] {
    return [...this.#objects.keys()].flatMap((object) =>
      this.targetsOf(object, now).map((target) => ({ object, target }))
    );
  }

  /** Removes all pairs of a target that has restarted or no longer exists. */
  removeTarget(target: TargetId): void {
    for (const known of this.#objects.values()) {
      known.delete(target);
    }
  }

  #record({ object, target }: WarmPair, state: PairState): void {
    const known = this.#objects.get(object) ?? new Map<TargetId, PairState>();
    this.#objects.delete(object);
    known.set(target, state);
    this.#objects.set(object, known);
    if (this.#objects.size > MAX_OBJECTS) {
      const [oldest] = this.#objects.keys();
      this.#objects.delete(oldest!);
    }
  }
}
