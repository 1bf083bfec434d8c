/**
 * How much of each link each VM may use, raised in capped steps.
 *
 * Answers large shifts of traffic that meet cold caches. A region that takes
 * over much of another's work at once runs it at cold speed on all its slots,
 * and its own callers wait; one notices p99 of the region that was well rise
 * with the shift. So what may flow into a region grows by a capped share of its
 * slots a step, less while its caches are cold. Lowering is never capped.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { LinkAllotment } from "./plan.ts";
import { largestRemainder } from "./plan_slots.ts";
import { type Holding, nextHoldings, type Step } from "./plan_transition.ts";
import type { PlannerInput } from "./planner.ts";
import type { LinkPolicy } from "./policy.ts";

/** Slots by which each region may still be raised, drawn on by shares and
 * links alike. */
export type Credits = Map<RegionId, number>;

/** Adds what the time since the last plan allows. No more than one step's cap
 * is ever saved up, or one slot where the cap is less than that. */
export function earnCredits(input: PlannerInput): Credits {
  const { shift, regions } = input.policy;
  const steps = Math.min(1, input.previousAgeMs / shift.stepMs);
  const credits: Credits = new Map();
  for (const { id } of regions) {
    const saved = input.previous?.credits.find(({ region }) => region === id);
    const cap = shift.maxStepShare * openSlots(input, id);
    const earned = (saved?.slots ?? 0) + steps * cap;
    credits.set(id, Math.min(earned, Math.max(1, cap)));
  }
  return credits;
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
  const total = reachable ? raisedTo(input, link, ctx.credits, previous) : 0;
  const weights = new Map<VmId, number>(users.map(({ vm }) => [vm, 1]));
  const wanted = keepNear(previous, largestRemainder(weights, total));
  return nextHoldings(previous, wanted, {
    total: link.maxInFlight,
    step: ctx.step,
  }).map((row) => ({ ...row, from, to }));
}

/** In flight over a link after this step. */
function raisedTo(
  input: PlannerInput,
  link: LinkPolicy,
  credits: Credits,
  previous: readonly Holding[],
): number {
  const now = previous.reduce((sum, { slots }) => sum + slots, 0);
  if (now >= link.maxInFlight) return link.maxInFlight;
  const { maxStepShare, coldStepShare } = input.policy.shift;
  const isCold = now < link.maxInFlight / 2;
  const share = isCold && maxStepShare > 0 ? coldStepShare / maxStepShare : 1;
  const credit = credits.get(link.to) ?? 0;
  const others = Math.max(1, input.policy.regions.length - 1);
  const step = Math.floor(credit * Math.min(1, share) / others);
  const raise = Math.min(link.maxInFlight - now, step);
  credits.set(link.to, credit - raise);
  return now + raise;
}

/** Keeps what each VM has where the sum stays the same, so that an uneven rest
 * doesn't wander between VMs. */
function keepNear(
  previous: readonly Holding[],
  wanted: Map<VmId, number>,
): Map<VmId, number> {
  const sum = [...wanted.values()].reduce((a, b) => a + b, 0);
  const now = previous.reduce((total, { slots }) => total + slots, 0);
  const near = previous.every(({ vm, slots }) =>
    wanted.has(vm) && Math.abs(wanted.get(vm)! - slots) <= 1
  );
  if (sum !== now || !near || previous.length !== wanted.size) return wanted;
  return new Map(previous.map(({ vm, slots }) => [vm, slots]));
}
