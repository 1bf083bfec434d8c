/**
 * Share of objects that have their home in each region.
 *
 * A region may have many callers but few targets. If every object had a home there,
 * the region's targets would be asked for more objects than they can cache and for
 * more work than they have slots. Each request would find its object uncached, and
 * the region's targets would be the slowest and busiest of all. So a region is home
 * to only as many objects as make its targets as busy as those of other regions;
 * other requests of its callers go to warm targets of other regions.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";

/** Slots of a service and VMs, by region. */
export interface HomeShareParams {
  readonly slots: ReadonlyMap<RegionId, number>;
  /**
   * The number of VMs stands in for the number of callers: operators place VMs
   * where the callers are.
   */
  readonly vms: ReadonlyMap<RegionId, number>;
}

/** The share of all objects that have a home in each region, 0 to 1. */
export function homeShares(
  { slots, vms }: HomeShareParams,
): ReadonlyMap<RegionId, number> {
  const allSlots = sum(slots);
  const allVms = sum(vms);
  const shares = new Map<RegionId, number>();
  for (const [region, regionSlots] of slots) {
    const callers = (vms.get(region) ?? 0) / Math.max(1, allVms);
    const share = callers === 0 ? 1 : regionSlots / allSlots / callers;
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
