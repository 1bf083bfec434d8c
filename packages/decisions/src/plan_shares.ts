/**
 * Computes which region each region's callers are directed to: their own,
 * unless it lacks capacity.
 *
 * This handles a region that is drained, short of targets or lost, and its
 * return. Callers cache look-ups, so a share moves only as fast as the cap
 * allows, into regions with spare capacity and in proportion to it. Moved at
 * once, it would overload the next region, and then the one after.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { CallerShare } from "./plan.ts";
import { type Credits, openSlots } from "./plan_links.ts";
import type { PlannerInput } from "./planner.ts";

/** Demand and capacity of a region, in slots of all services. */
export interface RegionLoad {
  readonly region: RegionId;
  /** Slots that its callers occupy. */
  readonly demand: number;
  /** Slots of its open targets; 0 without a live VM. */
  readonly capacity: number;
}

/** Tolerance for rounding errors in sums of shares. */
const ROUNDING_TOLERANCE = 1e-9;

/** Load that a region's own callers may put on it before some are directed
 * elsewhere. Above it, waits grow by more than the round trip to the next
 * region; below it, borrowing over the links is enough. */
const MAX_LOCAL_LOAD = 0.95;

/** Loads of all regions. The expected peak in the policy is used as the
 * callers' demand, because no VM can measure it by region once callers are
 * directed elsewhere. Measured demand is used only where the policy names none. */
export function regionLoads(input: PlannerInput): RegionLoad[] {
  return input.policy.regions.map(({ id }) => {
    const live = input.vms.some((vm) => vm.live && vm.region === id);
    return {
      region: id,
      demand: demandOf(input, id),
      capacity: live ? openSlots(input, id) : 0,
    };
  });
}

/** Shares of the next plan, at most one capped step from the previous ones. */
export function nextShares(
  input: PlannerInput,
  ctx: { loads: readonly RegionLoad[]; credits: Credits },
): CallerShare[] {
  const wanted = desiredShares(ctx.loads);
  const previous = input.previous?.shares;
  if (previous === undefined || previous.length === 0) return wanted;
  return ctx.loads.flatMap(({ region, demand }) =>
    stepShares(wanted.filter(({ from }) => from === region), {
      previous,
      demand,
      credits: ctx.credits,
    })
  );
}

/** Shares that fit the loads, regardless of the caps per step. */
export function desiredShares(loads: readonly RegionLoad[]): CallerShare[] {
  return loads.flatMap((load) => {
    const moving = shareToMove(load);
    const others = loads
      .filter(({ region }) => region !== load.region)
      .map((other) => ({ region: other.region, room: spareCapacityOf(other) }));
    const sum = others.reduce((total, { room }) => total + room, 0);
    const moved = sum > 0 ? moving : 0;
    return [
      { from: load.region, to: load.region, share: 1 - moved },
      ...others.map(({ region, room }) => ({
        from: load.region,
        to: region,
        share: sum > 0 ? moved * room / sum : 0,
      })),
    ];
  });
}

function shareToMove(load: RegionLoad): number {
  if (load.capacity === 0) return 1;
  const usableSlots = load.capacity * MAX_LOCAL_LOAD;
  if (load.demand <= usableSlots) return 0;
  return 1 - usableSlots / load.demand;
}

/** Spare capacity for callers of other regions. A region at full load still
 * counts with 1 % of its capacity, so that callers of a dead region always have
 * a destination. */
function spareCapacityOf(load: RegionLoad): number {
  if (load.capacity === 0) return 0;
  return Math.max(0.01 * load.capacity, load.capacity - load.demand);
}

function stepShares(
  wanted: readonly CallerShare[],
  ctx: { previous: readonly CallerShare[]; demand: number; credits: Credits },
): CallerShare[] {
  const previousShare = (row: CallerShare): number =>
    ctx.previous.find(({ from, to }) => from === row.from && to === row.to)
      ?.share ?? 0;
  let raised = 0;
  let wantedRaise = 0;
  const rows = wanted.map((row) => {
    const increase = row.share - previousShare(row);
    if (increase <= 0) return { row, share: row.share, increase };
    wantedRaise += increase;
    const allowed = drawCredit(increase, { ...ctx, to: row.to });
    raised += allowed;
    return { row, share: previousShare(row) + allowed, increase };
  });
  const missing = wantedRaise - raised;
  return keepUnmoved(rows, previousShare, missing);
}

/** Takes an increase out of the region's credit; returns the share allowed. */
function drawCredit(
  increase: number,
  ctx: { demand: number; credits: Credits; to: RegionId },
): number {
  if (ctx.demand <= 0) return increase;
  const credit = ctx.credits.get(ctx.to);
  if (credit === undefined) return 0;
  const slots = Math.min(increase * ctx.demand, credit.available, credit.cap);
  credit.available -= slots;
  return slots / ctx.demand;
}

/** Increases that the caps did not allow stay with the regions that would have
 * lost them, so that the shares still add up to 1. */
function keepUnmoved(
  rows: readonly { row: CallerShare; share: number; increase: number }[],
  previousShare: (row: CallerShare) => number,
  missing: number,
): CallerShare[] {
  const falling = rows.reduce(
    (sum, { increase }) => sum + Math.max(0, -increase),
    0,
  );
  if (missing < ROUNDING_TOLERANCE || falling === 0) {
    return rows.map(({ row, share }) => ({ ...row, share }));
  }
  return rows.map(({ row, share, increase }) => {
    if (increase >= 0) return { ...row, share };
    const kept = missing * -increase / falling;
    return { ...row, share: Math.min(previousShare(row), share + kept) };
  });
}

function demandOf(input: PlannerInput, region: RegionId): number {
  const named = input.policy.demand.filter((entry) => entry.region === region);
  if (named.length > 0) {
    return named.reduce((sum, { slots }) => sum + slots, 0);
  }
  const vms = new Set(
    input.vms.filter((vm) => vm.region === region).map(({ vm }) => vm),
  );
  return input.demand
    .filter(({ vm }) => vms.has(vm))
    .reduce((sum, { slots }) => sum + slots, 0);
}
