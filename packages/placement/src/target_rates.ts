/**
 * Rates at which this VM may send to cold and rate-limited targets, whose rate all
 * VMs share.
 *
 * A VM that is cut off from the others considers itself the owner of every target.
 * So owners that reach at most half of the VMs use only the share of the rate that
 * corresponds to the share of VMs they reach. All sides of a network partition
 * together then stay below one and a half times the rate.
 *
 * @module
 */

import type { TargetId, VmId } from "@poplarthread/ids";
import { ColdTargets } from "./cold_targets.ts";
import { hashText, pairWeight } from "./hash.ts";
import type { SteeredTarget } from "./target.ts";
import { type ReportedLimit, TargetLimits } from "./target_limits.ts";
import { type TargetOwner, TargetOwners } from "./target_owners.ts";

/**
 * Enforces the rates of cold and rate-limited targets. Times are milliseconds of
 * the monotonic clock.
 */
export class TargetRates {
  readonly #vm: VmId;
  readonly #hash: number;
  readonly #owners = new TargetOwners();
  readonly #cold: ColdTargets;
  readonly #limits: TargetLimits;
  #reachableVms = 1;
  #fleetSize = 1;

  /** `startedAt` is when the process started. */
  constructor(vm: VmId, startedAt: number) {
    this.#cold = new ColdTargets(startedAt);
    this.#limits = new TargetLimits(startedAt);
    this.#vm = vm;
    this.#hash = hashText(vm);
  }

  /** Number of targets with a limit. */
  get limitedTargets(): number {
    return this.#limits.size;
  }

  /** Sets the reachable VMs, including this one. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#reachableVms = Math.max(1, vms.length);
    this.#owners.setVms(vms);
  }

  /** Sets the number of VMs that share the rates, reachable or not; undefined if it is not known. */
  setFleetSize(vms: number | undefined): void {
    this.#fleetSize = vms ?? Infinity;
  }

  /**
   * Number of VMs that share the rates: the known or the reachable ones, whichever
   * are more. Infinity while it is not known, so that this VM has no share.
   */
  get totalVms(): number {
    return Math.max(this.#reachableVms, this.#fleetSize);
  }

  /** Treats the target as cold until `until`. */
  markCold(target: TargetId, until: number): void {
    this.#cold.mark(target, until);
  }

  /** Applies a limit that a target reported; true if it has changed. */
  updateLimit(target: TargetId, limit: ReportedLimit): boolean {
    return this.#limits.update(target, limit);
  }

  /** Whether this VM may send to the target now. */
  allows(target: SteeredTarget, now: number): boolean {
    return this.#allowedWhileCold(target, now) &&
      this.isWithinLimit(target, now);
  }

  /** Whether the limit that the target reported, if any, lets this VM send now. */
  isWithinLimit(target: SteeredTarget, now: number): boolean {
    return !this.#limits.has(target.id) ||
      this.#allowedWithinLimit(target, now);
  }

  /** Records that a request was sent to the target. */
  sent(target: TargetId, now: number): void {
    if (this.#cold.isCold(target, now)) {
      this.#cold.sent(target, now);
    }
    this.#limits.sent(target, now);
  }

  /** Drops the cached owner after the target's region has changed. */
  relocated(target: TargetId): void {
    this.#owners.remove(target);
  }

  /** Drops the limit of the target's previous run. */
  restarted(target: TargetId): void {
    this.#limits.remove(target);
  }

  /** Removes a target that no longer exists. */
  remove(target: TargetId): void {
    this.#cold.remove(target);
    this.#limits.remove(target);
    this.#owners.remove(target);
  }

  #allowedWhileCold(target: SteeredTarget, now: number): boolean {
    return !this.#cold.isCold(target.id, now) ||
      (this.#owns(target) && this.#allowsColdRequest(target, now));
  }

  #allowsColdRequest(target: SteeredTarget, now: number): boolean {
    const { id, coldPerSecond } = target;
    return this.#cold.maySend(id, now, {
      perSecond: coldPerSecond,
      ownerShare: this.#ownerShare,
      phase: this.#phaseFor(target),
    });
  }

  #allowedWithinLimit(target: SteeredTarget, now: number): boolean {
    return this.#limits.maySend(target.id, now, {
      ownerShare: this.#owns(target) ? this.#ownerShare : 0,
      totalVms: this.totalVms,
      phase: this.#phaseFor(target),
    });
  }

  #owns(target: SteeredTarget): boolean {
    return this.#owners.of(target) === this.#vm;
  }

  /** Share of an owner's rate that this VM may use for the targets it owns. */
  get #ownerShare(): number {
    const share = this.#reachableVms / this.totalVms;
    return share > 1 / 2 ? 1 : share;
  }

  #phaseFor({ hash }: SteeredTarget): number {
    return pairWeight(hash, this.#hash) / 2 ** 32;
  }
}
