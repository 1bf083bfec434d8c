/**
 * Which VM sends to a target that bears only a few requests a second.
 *
 * Each VM alone stays below such a rate, their sum does not. So one VM owns each
 * such target, which all VMs compute alike from the list of VMs; the others pass
 * it over.
 *
 * @module
 */

import type { RegionId, TargetId, VmId } from "@poplarthread/ids";
import { pairWeight } from "./hash.ts";

/** A VM that may own targets. */
export interface TargetOwner {
  readonly vm: VmId;
  readonly region: RegionId;
  /** Hash of its name. */
  readonly hash: number;
}

/** The VM that sends to a target; undefined where no VM is known. */
export function ownerOf(
  target: { hash: number; region: RegionId },
  vms: readonly TargetOwner[],
): VmId | undefined {
  const near = vms.filter((vm) => vm.region === target.region);
  let best: TargetOwner | undefined;
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

/** The VMs that own targets, computed for those of which it is asked. */
export class TargetOwners {
  readonly #owners = new Map<TargetId, VmId | undefined>();
  #vms: readonly TargetOwner[] = [];

  /** The VMs that take part. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#vms = vms;
    this.#owners.clear();
  }

  /** The VM that owns a target. */
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
