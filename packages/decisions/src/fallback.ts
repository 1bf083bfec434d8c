/**
 * Computes in advance the plan that applies once a region is lost.
 *
 * While the platform's service is unavailable, no new plan can be written. Each
 * VM that sees a region as lost switches to this part of the plan. The fallback
 * assigns no additional slots: those of the surviving regions are already in
 * use, and those owned by VMs of the lost region stay unused until a planner
 * has seen them expire, since that region may only be cut off while its VMs
 * still run. So no surviving target is overloaded, whether the region is dead
 * or only unreachable.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { Fallback, Plan } from "./plan.ts";
import { desiredShares, type RegionLoad } from "./plan_shares.ts";

/** The fallback of a plan for the loss of one region. */
export function fallbackFor(
  plan: Plan,
  ctx: { lost: RegionId; loads: readonly RegionLoad[] },
): Fallback {
  const { lost } = ctx;
  const loads = ctx.loads.map((load) =>
    load.region === lost ? { ...load, capacity: 0 } : load
  );
  return {
    lost,
    allotments: plan.allotments.filter(({ region }) => region !== lost),
    links: plan.links.filter(({ from, to }) => from !== lost && to !== lost),
    shares: desiredShares(loads),
  };
}
