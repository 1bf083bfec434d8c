/**
 * Limits that targets in need name for all VMs together.
 *
 * Answers a target that asks for less while it gets its usual load. Each VM sees
 * only its own requests, so one that keeps the limit by itself sends a multiple of
 * it together with the others. A target's owner sends half of what the target takes;
 * a further part is divided evenly among all VMs, so that they also notice the end of a
 * limit whose owner has no requests for the target.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import { hasTurn } from "./turns.ts";

/** What a target says of its limit. */
export interface NamedLimit {
  /** Requests a second that it takes from all VMs together; undefined where it has no limit any more. */
  readonly perSecond: number | undefined;
  /** When it said so, in milliseconds of the monotonic clock. */
  readonly at: number;
}

/** The part that a VM has in what a target takes. */
export interface LimitPart {
  /** How much of the owner's part it has, 0 to 1. */
  readonly ownerShare: number;
  /** VMs that share the limit, heard or not. */
  readonly allVms: number;
  /** See {@link Turns}. */
  readonly phase: number;
}

/** What a target said last. */
interface Limit {
  perSecond: number | undefined;
  namedAt: number;
  sentAt: number;
}

/**
 * Part of a limit that the owner uses. With it alone, little of a limited service would
 * be used, since each VM's requests need one of the few targets that it owns. Two owners
 * at once, as after a VM's loss, stay below one and a half times the limit.
 */
const OWNER_SHARE = 0.5;
/** Part that all VMs use alike. With it alone, little of a single limited target would be used, since most VMs have few requests for it. */
const ALIKE_SHARE = 0.4;
/** A target that takes nothing gets this many requests a second, or nobody would learn that it takes some again. */
const LEAST_PER_SECOND = 0.05;

/** The limits in force, as this VM knows them. Times are milliseconds of the monotonic clock. */
export class TargetLimits {
  readonly #limits = new Map<TargetId, Limit>();

  /** How many targets have a limit. */
  get size(): number {
    return [...this.#limits.keys()].filter((target) => this.has(target)).length;
  }

  /** Takes in what a target says, or what it said as another VM tells; true if that is news. */
  named(target: TargetId, { perSecond, at }: NamedLimit): boolean {
    const known = this.#limits.get(target);
    if (known === undefined) {
      if (perSecond !== undefined) {
        this.#limits.set(target, { perSecond, namedAt: at, sentAt: -Infinity });
      }
      return perSecond !== undefined;
    }
    if (at < known.namedAt) {
      return false;
    }
    const isNews = known.perSecond !== perSecond;
    known.namedAt = at;
    known.perSecond = perSecond;
    return isNews;
  }

  /** Whether the target has a limit. */
  has(target: TargetId): boolean {
    return this.#limits.get(target)?.perSecond !== undefined;
  }

  /** Whether this VM may send one more request now. */
  maySend(target: TargetId, now: number, part: LimitPart): boolean {
    const limit = this.#limits.get(target);
    if (limit?.perSecond === undefined) {
      return true;
    }
    const perSecond = perSecondOf(limit.perSecond, part);
    return hasTurn({ perSecond, phase: part.phase }, {
      now,
      sentAt: limit.sentAt,
    });
  }

  /** A request is sent. */
  sent(target: TargetId, now: number): void {
    const limit = this.#limits.get(target);
    if (limit !== undefined) {
      limit.sentAt = now;
    }
  }

  /** The target is gone, or lives anew. */
  forget(target: TargetId): void {
    this.#limits.delete(target);
  }
}

/** Requests a second that this VM may send. */
function perSecondOf(limit: number, { ownerShare, allVms }: LimitPart): number {
  const share = OWNER_SHARE * ownerShare + ALIKE_SHARE / allVms;
  return Math.max(LEAST_PER_SECOND, limit) * share;
}
