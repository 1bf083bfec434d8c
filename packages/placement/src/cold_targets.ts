/**
 * Limits what cold targets get from all VMs together.
 *
 * Answers the moment at which targets come back. A target that has just started
 * bears a few requests a second and crashes well above that. Each VM alone
 * stays below the limit, their sum does not, and one notices targets that crash
 * again seconds after their start. So only a target's owner sends to it while it
 * is cold. Where two VMs disagree for a moment on who that is, both together still
 * stay below the limit.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import { hasTurn } from "./turns.ts";

/**
 * Share of the tolerated rate that the owner uses. Two owners at once, as after
 * a VM's loss, then still stay below one and a half times the rate, which is
 * where targets begin to crash.
 */
const OWNER_SHARE = 0.7;

/** The part that an owner has in what a cold target bears. */
export interface ColdPart {
  /** The rate that the target tolerates. */
  readonly perSecond: number;
  /** How much of an owner's rate it uses, 0 to 1. */
  readonly share: number;
  /** See {@link Turns}. */
  readonly phase: number;
}

/** When a target stops being cold, and when its owner sent to it. */
export class ColdTargets {
  readonly #until = new Map<TargetId, number>();
  readonly #sentAt = new Map<TargetId, number>();

  /** A target is cold until `until`, in milliseconds of the monotonic clock. */
  mark(target: TargetId, until: number): void {
    this.#until.set(target, Math.max(until, this.#until.get(target) ?? 0));
  }

  /** Whether the target is cold. */
  isCold(target: TargetId, now: number): boolean {
    const until = this.#until.get(target);
    if (until === undefined) {
      return false;
    }
    if (now < until) {
      return true;
    }
    this.#until.delete(target);
    this.#sentAt.delete(target);
    return false;
  }

  /** Whether an owner may send one more request now. */
  maySend(target: TargetId, now: number, part: ColdPart): boolean {
    const sentAt = this.#sentAt.get(target) ?? -Infinity;
    const perSecond = part.perSecond * OWNER_SHARE * part.share;
    return part.share === 1
      ? now - sentAt >= 1_000 / perSecond
      : hasTurn({ perSecond, phase: part.phase }, { now, sentAt });
  }

  /** The owner sends one. */
  sent(target: TargetId, now: number): void {
    this.#sentAt.set(target, now);
  }

  /** The target is gone. */
  forget(target: TargetId): void {
    this.#until.delete(target);
    this.#sentAt.delete(target);
  }
}
