/**
 * Limits what cold targets get from all VMs together.
 *
 * Answers the moment at which targets come back. A target that has just started
 * bears a few requests a second and crashes well above that. Each VM alone
 * stays below the limit, their sum does not, and one notices targets that crash
 * again seconds after their start. So one VM owns each cold target, which all
 * VMs compute alike from the list of VMs; the others pass it over. Where two VMs
 * disagree for a moment, both together still stay below the limit.
 *
 * @module
 */

import type { RegionId, TargetId, VmId } from "@poplarthread/ids";
import { pairWeight } from "./hash.ts";

/** A VM that may own cold targets. */
export interface ColdOwner {
  readonly vm: VmId;
  readonly region: RegionId;
  /** Hash of its name. */
  readonly hash: number;
}

/**
 * Share of the tolerated rate that the owner uses. Two owners at once, as after
 * a VM's loss, then still stay below one and a half times the rate, which is
 * where targets begin to crash.
 */
const OWNER_SHARE = 0.7;

/** The VM that sends to a cold target; undefined where no VM is known. */
export function ownerOf(
  target: { hash: number; region: RegionId },
  vms: readonly ColdOwner[],
): VmId | undefined {
  const near = vms.filter((vm) => vm.region === target.region);
  let best: ColdOwner | undefined;
  for (const vm of near.length > 0 ? near : vms) {
    if (
      best === undefined ||
      pairWeight(target.hash, vm.hash) > pairWeight(target.hash, best.hash)
    ) {
      best = vm;
    }
  }
  return best?.vm;
}

/** The VMs that own cold targets, computed for those of which it is asked. */
export class ColdOwners {
  readonly #owners = new Map<TargetId, VmId | undefined>();
  #vms: readonly ColdOwner[] = [];

  /** The VMs that take part. */
  setVms(vms: readonly ColdOwner[]): void {
    this.#vms = vms;
    this.#owners.clear();
  }

  /** The VM that sends to a target while it is cold. */
  of(
    target: { id: TargetId; hash: number; region: RegionId },
  ): VmId | undefined {
    if (!this.#owners.has(target.id)) {
      this.#owners.set(target.id, ownerOf(target, this.#vms));
    }
    return this.#owners.get(target.id);
  }

  /** The target is gone. */
  forget(target: TargetId): void {
    this.#owners.delete(target);
  }
}

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
