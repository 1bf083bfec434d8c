/**
 * How fast this VM may send to targets whose rate all VMs share: cold ones, and
 * those that have named a limit.
 *
 * A VM that is cut off takes itself for the owner of all targets. Owners that hear
 * less than half of the VMs use as much of a rate as they hear of them, so that those
 * on all sides of a cut together stay below one and a half times the rate.
 *
 * @module
 */

import type { TargetId, VmId } from "@poplarthread/ids";
import { ColdTargets } from "./cold_targets.ts";
import { hashText, pairWeight } from "./hash.ts";
import type { SteeredTarget } from "./target.ts";
import { type NamedLimit, TargetLimits } from "./target_limits.ts";
import { type TargetOwner, TargetOwners } from "./target_owners.ts";

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class TargetRates {
  readonly #vm: VmId;
  readonly #hash: number;
  readonly #owners = new TargetOwners();
  readonly #cold = new ColdTargets();
  readonly #limits = new TargetLimits();
  #heardVms = 1;
  #knownVms = 1;

  constructor(vm: VmId) {
    this.#vm = vm;
    this.#hash = hashText(vm);
  }

  /** Targets that have named a limit. */
  get limited(): number {
    return this.#limits.size;
  }

  /** The VMs that are heard, this one among them. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#heardVms = Math.max(1, vms.length);
    this.#owners.setVms(vms);
  }

  /** VMs that share the rates, heard or not. */
  setFleetSize(vms: number): void {
    this.#knownVms = vms;
  }

  /** VMs that share the rates, as far as they are heard or known. */
  get allVms(): number {
    return Math.max(this.#heardVms, this.#knownVms);
  }

  /** The target is cold until `until`. */
  markCold(target: TargetId, until: number): void {
    this.#cold.mark(target, until);
  }

  /** A target says whether it has a limit; true if that is news. */
  limitNamed(target: TargetId, limit: NamedLimit): boolean {
    return this.#limits.named(target, limit);
  }

  /** Whether this VM may send to a target now. */
  takes(target: SteeredTarget, now: number): boolean {
    return this.#takesWhileCold(target, now) &&
      (!this.#limits.has(target.id) || this.#takesWithinLimit(target, now));
  }

  /** A request is sent to a target. */
  sent(target: TargetId, now: number): void {
    if (this.#cold.isCold(target, now)) {
      this.#cold.sent(target, now);
    }
    this.#limits.sent(target, now);
  }

  /** Another VM may own the target: its place is another one. */
  moved(target: TargetId): void {
    this.#owners.forget(target);
  }

  /** The target lives anew: it has named no limit. */
  restarted(target: TargetId): void {
    this.#limits.forget(target);
  }

  /** The target is gone. */
  forget(target: TargetId): void {
    this.#cold.forget(target);
    this.#limits.forget(target);
    this.#owners.forget(target);
  }

  #takesWhileCold(target: SteeredTarget, now: number): boolean {
    return !this.#cold.isCold(target.id, now) ||
      (this.#owns(target) && this.#sendsToCold(target, now));
  }

  #sendsToCold(target: SteeredTarget, now: number): boolean {
    const { id, coldPerSecond } = target;
    return this.#cold.maySend(id, now, {
      perSecond: coldPerSecond,
      share: this.#ownerShare,
      phase: this.#phaseAt(target),
    });
  }

  #takesWithinLimit(target: SteeredTarget, now: number): boolean {
    return this.#limits.maySend(target.id, now, {
      ownerShare: this.#owns(target) ? this.#ownerShare : 0,
      allVms: this.allVms,
      phase: this.#phaseAt(target),
    });
  }

  #owns(target: SteeredTarget): boolean {
    return this.#owners.of(target) === this.#vm;
  }

  /** Part of what an owner may send that this VM may send where it is the owner. */
  get #ownerShare(): number {
    const share = this.#heardVms / this.allVms;
    return share > 1 / 2 ? 1 : share;
  }

  #phaseAt({ hash }: SteeredTarget): number {
    return pairWeight(hash, this.#hash) / 2 ** 32;
  }
}
