/**
 * Target ownership: which VM may send to a target that can take only a few requests
 * per second.
 *
 * If each VM applied such a rate on its own, their sum would exceed it. So each of
 * these targets has one owner, which all VMs compute alike from the list of VMs by
 * rendezvous hashing; the others skip the target.
 *
 * @module
 */

import type { RegionId, TargetId, VmId } from "@poplarthread/ids";
import { pairWeight } from "./hash.ts";

/** A VM that can own targets. */
export interface TargetOwner {
  readonly vm: VmId;
  readonly region: RegionId;
  /** Hash of the VM's name. */
  readonly hash: number;
}

/**
 * The VM that owns a target: one of the target's region if there is any; undefined
 * if no VM is known.
 */
export function ownerOf(
  target: { hash: number; region: RegionId },
  vms: readonly TargetOwner[],
): VmId | undefined {
  const sameRegion = vms.filter((vm) => vm.region === target.region);
  let best: TargetOwner | undefined;
  for (const vm of sameRegion.length > 0 ? sameRegion : vms) {
    if (
      best === undefined ||
      pairWeight(target.hash, vm.hash) > pairWeight(target.hash, best.hash)
    ) {
      best = vm;
    }
  }
  return best?.vm;
}

/** Caches the owners of targets, each computed on first use. */
export class TargetOwners {
  readonly #owners = new Map<TargetId, VmId | undefined>();
  #vms: readonly TargetOwner[] = [];

  /** Sets the reachable VMs. */
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

  /** Removes the cached owner of a target. */
  remove(target: TargetId): void {
    this.#owners.delete(target);
  }
}
