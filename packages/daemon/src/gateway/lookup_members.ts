/**
 * Chooses the VMs that a look-up returns to a caller.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";

/** With fewer VMs in a caller's region, a look-up returns all VMs: a caller needs another VM to use when one fails. */
const MIN_ADDRESSES_IN_REGION = 2;
/** Look-ups leave out VMs that lack processor time while at least this share of a region's VMs have enough. */
const MIN_SHARE_WITH_TIME = 1 / 3;

/** What VMs say of themselves. */
export interface VmConditions {
  /** Whether a VM reaches no target. */
  isCutOff(vm: VmId): boolean;
  /** Whether a VM lacks processor time for its callers. */
  isOverloaded(vm: VmId): boolean;
}

/**
 * The VMs of `up` for a caller of a region: those of the region if there are enough, else
 * all. VMs that reach no target are left out while enough others of the region are up:
 * they can only forward requests to these. So are VMs that lack processor time, unless
 * most do: the others could not take all their callers.
 */
export function membersForLookup<T extends Member>(
  up: readonly T[],
  region: RegionId,
  { isCutOff, isOverloaded }: VmConditions,
): readonly T[] {
  const inRegion = up.filter((one) => one.region === region);
  const withTargets = inRegion.filter(({ vm }) => !isCutOff(vm));
  const withTime = withTargets.filter(({ vm }) => !isOverloaded(vm));
  const preferred = withTime.length >= withTargets.length * MIN_SHARE_WITH_TIME
    ? withTime
    : withTargets;
  return [preferred, withTargets, inRegion]
    .find(({ length }) => length >= MIN_ADDRESSES_IN_REGION) ?? up;
}
