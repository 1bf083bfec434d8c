/**
 * What holds once a region is lost, agreed before it is.
 *
 * Answers the loss of a region while the platform's service is away: no new
 * plan can be written then. Each VM that sees the region lost switches to the
 * part of the plan that was made for this. It takes nothing new: slots of the
 * surviving regions are in use already, and those owned by VMs of the lost one
 * stay unused until a planner has seen them expire, since the region may only
 * be cut off, with its VMs still at work. So no survivor is pushed over what it
 * carries, whether the region is dead or only out of sight.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { Fallback, Plan } from "./plan.ts";
import { type RegionLoad, wantShares } from "./plan_shares.ts";

/** The fallback of a plan for the loss of a region. */
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
    shares: wantShares(loads),
  };
}
