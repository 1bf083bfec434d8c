/**
 * Rate limits that overloaded targets report; each holds for all VMs together.
 *
 * A target reports a limit while it receives its usual load. Each VM sees only its
 * own requests, so VMs that each kept the whole limit would together send a
 * multiple of it. The target's owner therefore sends half of the limit. A further
 * share is divided evenly among all VMs, so that they notice the end of a limit
 * even if its owner has no requests for the target.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import { hasUnusedSlice } from "./time_slices.ts";

/** A rate limit as a target reported it. */
export interface ReportedLimit {
  /**
   * Requests per second that the target accepts from all VMs together; undefined if
   * it no longer has a limit.
   */
  readonly perSecond: number | undefined;
  /** When the target reported it, in milliseconds of the monotonic clock. */
  readonly at: number;
}

/** This VM's share of a limit. */
export interface LimitShare {
  /** This VM's share of what the owner may use, 0 to 1. */
  readonly ownerShare: number;
  /** VMs that share the limit, reachable or not. */
  readonly totalVms: number;
  /** See {@link TimeSlices}. */
  readonly phase: number;
}

/** The last report of a target, and when this VM last sent a request to it. */
interface LimitState {
  perSecond: number | undefined;
  reportedAt: number;
  sentAt: number;
}

/**
 * Share of a limit that its owner uses. If it were the only share, a service with
 * limited targets would get little traffic, because each VM could send only to the
 * few targets that it owns. Two owners at once, as after the loss of a VM, stay
 * below one and a half times the limit.
 */
const OWNER_SHARE = 0.5;
/**
 * Share that is divided evenly among all VMs. If it were the only share, a single
 * limited target would get little traffic, because most VMs have few requests for
 * it.
 */
const EVEN_SHARE = 0.4;
/**
 * Minimum rate for a target that accepts no requests; without it no VM would notice
 * when it accepts some again.
 */
const MIN_PER_SECOND = 0.05;

/** Limits known to this VM. Times are milliseconds of the monotonic clock. */
export class TargetLimits {
  readonly #limits = new Map<TargetId, LimitState>();
  readonly #startedAt: number;

  /**
   * `startedAt` is when the process started, long ago by default: what the one before
   * it sent just before is not known.
   */
  constructor(startedAt = -Infinity) {
    this.#startedAt = startedAt;
  }

  /** Number of targets with a limit. */
  get size(): number {
    return [...this.#limits.keys()].filter((target) => this.has(target)).length;
  }

  /**
   * Applies a report received from a target or relayed by another VM; true if the
   * limit has changed.
   */
  update(target: TargetId, { perSecond, at }: ReportedLimit): boolean {
    const known = this.#limits.get(target);
    if (known === undefined) {
      if (perSecond !== undefined) {
        this.#limits.set(target, {
          perSecond,
          reportedAt: at,
          sentAt: this.#startedAt,
        });
      }
      return perSecond !== undefined;
    }
    if (at < known.reportedAt) {
      return false;
    }
    const hasChanged = known.perSecond !== perSecond;
    known.reportedAt = at;
    known.perSecond = perSecond;
    return hasChanged;
  }

  /** Whether the target has a limit. */
  has(target: TargetId): boolean {
    return this.#limits.get(target)?.perSecond !== undefined;
  }

  /** Whether this VM may send one more request now. */
  maySend(target: TargetId, now: number, share: LimitShare): boolean {
    const limit = this.#limits.get(target);
    if (limit?.perSecond === undefined) {
      return true;
    }
    const perSecond = sharePerSecond(limit.perSecond, share);
    return hasUnusedSlice({ perSecond, phase: share.phase }, {
      now,
      sentAt: limit.sentAt,
    });
  }

  /** Records that a request was sent. */
  sent(target: TargetId, now: number): void {
    const limit = this.#limits.get(target);
    if (limit !== undefined) {
      limit.sentAt = now;
    }
  }

  /** Removes the limit of a target that no longer exists or has restarted. */
  remove(target: TargetId): void {
    this.#limits.delete(target);
  }
}

/** Requests per second that this VM may send. */
function sharePerSecond(
  limit: number,
  { ownerShare, totalVms }: LimitShare,
): number {
  const share = OWNER_SHARE * ownerShare + EVEN_SHARE / totalVms;
  return Math.max(MIN_PER_SECOND, limit) * share;
}
