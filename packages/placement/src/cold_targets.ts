/**
 * Limits the rate at which all VMs together send to cold targets.
 *
 * A target that has just started tolerates a few requests per second and crashes
 * well above that. If each VM applied this rate on its own, their sum would exceed
 * it and targets would crash again seconds after their start. So only a target's
 * owner sends to it while it is cold. If two VMs briefly both consider themselves
 * the owner, their sum still stays below the rate at which targets crash.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import { hasUnusedSlice } from "./time_slices.ts";

/**
 * Share of the tolerated rate that the owner uses. Two owners at once, as after the
 * loss of a VM, then stay below one and a half times the rate, which is where
 * targets begin to crash.
 */
const OWNER_SHARE = 0.7;

/** The share of a cold target's tolerated rate that an owner may use. */
export interface ColdShare {
  /** Requests per second that the target tolerates. */
  readonly perSecond: number;
  /** Share of the owner's rate that this VM uses, 0 to 1. */
  readonly ownerShare: number;
  /** See {@link TimeSlices}. */
  readonly phase: number;
}

/** Tracks when targets stop being cold and when this VM last sent to each of them. */
export class ColdTargets {
  readonly #coldUntil = new Map<TargetId, number>();
  readonly #lastSentAt = new Map<TargetId, number>();
  readonly #startedAt: number;

  /**
   * `startedAt` is when the process started, long ago by default: what the one before
   * it sent just before is not known.
   */
  constructor(startedAt = -Infinity) {
    this.#startedAt = startedAt;
  }

  /** Treats a target as cold until `until`, in milliseconds of the monotonic clock. */
  mark(target: TargetId, until: number): void {
    this.#coldUntil.set(
      target,
      Math.max(until, this.#coldUntil.get(target) ?? 0),
    );
  }

  /** Whether the target is cold. */
  isCold(target: TargetId, now: number): boolean {
    const until = this.#coldUntil.get(target);
    if (until === undefined) {
      return false;
    }
    if (now < until) {
      return true;
    }
    this.#coldUntil.delete(target);
    this.#lastSentAt.delete(target);
    return false;
  }

  /** Whether the owner may send one more request now. */
  maySend(target: TargetId, now: number, share: ColdShare): boolean {
    const sentAt = this.#lastSentAt.get(target) ?? this.#startedAt;
    const perSecond = share.perSecond * OWNER_SHARE * share.ownerShare;
    return share.ownerShare === 1
      ? now - sentAt >= 1_000 / perSecond
      : hasUnusedSlice({ perSecond, phase: share.phase }, { now, sentAt });
  }

  /** Records that the owner sent a request. */
  sent(target: TargetId, now: number): void {
    this.#lastSentAt.set(target, now);
  }

  /** Removes a target that no longer exists. */
  remove(target: TargetId): void {
    this.#coldUntil.delete(target);
    this.#lastSentAt.delete(target);
  }
}
