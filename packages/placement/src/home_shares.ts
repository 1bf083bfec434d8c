/**
 * How many objects have a home in each region.
 *
 * Answers regions with many callers and few targets. If every object had a home
 * there, the region's few targets would be asked for more objects than they keep
 * and for more work than they have slots, so that each request would find them
 * cold: one notices a region whose targets are the slowest and the fullest. Here
 * a region is home to as many objects as makes its targets as busy as all
 * others; its callers' other requests go to warm targets of other regions.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";

/** What shares are computed from: slots of a service and VMs, by region. */
export interface HomeShareBasis {
  readonly slots: ReadonlyMap<RegionId, number>;
  /** VMs stand for callers: operators place them where the callers are. */
  readonly vms: ReadonlyMap<RegionId, number>;
}

/** The share of all objects that has a home in each region, 0 to 1. */
export function homeShares(
  { slots, vms }: HomeShareBasis,
): ReadonlyMap<RegionId, number> {
  const allSlots = sum(slots);
  const allVms = sum(vms);
  const shares = new Map<RegionId, number>();
  for (const [region, count] of slots) {
    const callers = (vms.get(region) ?? 0) / Math.max(1, allVms);
    const share = callers === 0 ? 1 : count / allSlots / callers;
    shares.set(region, Math.min(1, share));
  }
  return shares;
}

function sum(counts: ReadonlyMap<RegionId, number>): number {
  let total = 0;
  for (const count of counts.values()) {
    total += count;
  }
  return total;
}
