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

/**
 * Share of the tolerated rate that the owner uses. Two owners at once, as after
 * a VM's loss, then still stay below one and a half times the rate, which is
 * where targets begin to crash.
 */
const OWNER_SHARE = 0.7;

/** When a target stops being cold, and when its owner sent to it. */
export class ColdTargets {
  readonly #until = new Map<TargetId, number>();
  readonly #nextAt = new Map<TargetId, number>();

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
    this.#nextAt.delete(target);
    return false;
  }

  /** Whether the owner may send one more request now. */
  maySend(target: TargetId, now: number): boolean {
    return now >= (this.#nextAt.get(target) ?? 0);
  }

  /** The owner sends one. `perSecond` is the rate that the target tolerates. */
  sent(target: TargetId, now: number, perSecond: number): void {
    this.#nextAt.set(target, now + 1_000 / (perSecond * OWNER_SHARE));
  }

  /** The target is gone. */
  forget(target: TargetId): void {
    this.#until.delete(target);
    this.#nextAt.delete(target);
  }
}
