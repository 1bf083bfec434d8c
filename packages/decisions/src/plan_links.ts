/**
 * Computes how much of each link each VM may use, raised in capped steps.
 *
 * Large traffic shifts hit cold caches. A region that takes over much of
 * another's work at once serves it at cold speed on all its slots, so its own
 * callers wait and the p99 of a healthy region rises. So the traffic into a
 * region grows by a capped share of its slots per step, and by less while its
 * caches are cold. Lowering is never capped.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { LinkAllotment } from "./plan.ts";
import { largestRemainder } from "./plan_slots.ts";
import { type Holding, nextHoldings, type Step } from "./plan_transition.ts";
import type { PlannerInput } from "./planner.ts";
import type { LinkPolicy } from "./policy.ts";

/** Slots of traffic that may still be moved into a region in this step. */
export interface Credit {
  available: number;
  /** Cap of one step, in slots. */
  readonly cap: number;
}

/** Credits of all regions, shared by caller shares and links. */
export type Credits = Map<RegionId, Credit>;

/** Adds the allowance for the time since the last plan. At most one step's cap
 * accumulates. Where that is less than one slot on a cold link, one slot may
 * accumulate; otherwise links into a small region could never be raised. */
export function accrueCredits(input: PlannerInput): Credits {
  const { shift, regions } = input.policy;
  const steps = Math.min(1, input.previousAgeMs / shift.stepMs);
  const credits: Credits = new Map();
  for (const { id } of regions) {
    const previous = input.previous?.credits.find(({ region }) =>
      region === id
    );
    const cap = shift.maxStepShare * openSlots(input, id);
    const earned = (previous?.slots ?? 0) + steps * cap;
    const maxCredit = cap > 0 ? Math.max(1 / coldRatio(input), cap) : 0;
    credits.set(id, { available: Math.min(earned, maxCredit), cap });
  }
  return credits;
}

/** Factor by which a step is smaller on a cold link. */
function coldRatio(input: PlannerInput): number {
  const { maxStepShare, coldStepShare } = input.policy.shift;
  return Math.min(1, Math.max(0.01, coldStepShare / maxStepShare));
}

/** Slots of a region's open targets, of all services. */
export function openSlots(input: PlannerInput, region: RegionId): number {
  let slots = 0;
  for (const service of input.policy.services) {
    const open = input.targets.filter((target) =>
      target.service === service.id && target.region === region &&
      !target.leaving
    );
    slots += open.length * service.slotsPerTarget;
  }
  return slots;
}

/** Link allotments of the next plan. */
export function nextLinks(
  input: PlannerInput,
  ctx: { step: Step; credits: Credits },
): LinkAllotment[] {
  return input.policy.links.flatMap((link) => allotLink(input, link, ctx));
}

function allotLink(
  input: PlannerInput,
  link: LinkPolicy,
  ctx: { step: Step; credits: Credits },
): LinkAllotment[] {
  const { from, to } = link;
  const previous = (input.previous?.links ?? []).filter((row) =>
    row.from === from && row.to === to
  );
  const users = input.vms.filter((vm) => vm.live && vm.region === from);
  const reachable = input.vms.some((vm) => vm.live && vm.region === to);
  const total = reachable ? raisedTotal(input, link, ctx.credits, previous) : 0;
  const weights = new Map<VmId, number>(users.map(({ vm }) => [vm, 1]));
  const wanted = keepDistribution(previous, largestRemainder(weights, total));
  return nextHoldings(previous, wanted, {
    total: link.maxInFlight,
    step: ctx.step,
  }).map((row) => ({ ...row, from, to }));
}

/** Total in-flight limit of a link after this step. */
function raisedTotal(
  input: PlannerInput,
  link: LinkPolicy,
  credits: Credits,
  previous: readonly Holding[],
): number {
  const current = previous.reduce((sum, { slots }) => sum + slots, 0);
  if (current >= link.maxInFlight) return link.maxInFlight;
  const credit = credits.get(link.to);
  if (credit === undefined) return current;
  const isCold = current < link.maxInFlight / 2;
  const ratio = isCold ? coldRatio(input) : 1;
  const others = Math.max(1, input.policy.regions.length - 1);
  const evenShare = Math.floor(credit.available * ratio / others);
  const minRaise = Math.min(1, Math.floor(credit.available * ratio));
  const raise = Math.min(
    link.maxInFlight - current,
    Math.max(evenShare, minRaise),
  );
  credit.available -= raise;
  return current + raise;
}

/** Keeps the previous distribution where the sum is unchanged, so that an
 * uneven remainder does not move between VMs. */
function keepDistribution(
  previous: readonly Holding[],
  wanted: Map<VmId, number>,
): Map<VmId, number> {
  const sum = [...wanted.values()].reduce((a, b) => a + b, 0);
  const old = previous.reduce((total, { slots }) => total + slots, 0);
  const isNear = previous.every(({ vm, slots }) =>
    wanted.has(vm) && Math.abs(wanted.get(vm)! - slots) <= 1
  );
  if (sum !== old || !isNear || previous.length !== wanted.size) return wanted;
  return new Map(previous.map(({ vm, slots }) => [vm, slots]));
}
