/**
 * Computes the next plan from the policy, the live VMs and targets, and the
 * previous plan.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, VmId } from "@poplarthread/ids";
import type { TargetEntry, VmEntry } from "./event.ts";
import { fallbackFor } from "./fallback.ts";
import type { Allotment, Plan } from "./plan.ts";
import { accrueCredits, nextLinks } from "./plan_links.ts";
import { nextShares, regionLoads } from "./plan_shares.ts";
import { desiredSlots } from "./plan_slots.ts";
import { nextHoldings, type Step } from "./plan_transition.ts";
import type { Policy, ServicePolicy } from "./policy.ts";

/** Slots occupied by requests that arrived at one VM. */
export interface MeasuredDemand {
  readonly vm: VmId;
  readonly service: ServiceId;
  /** Mean number of slots that its requests occupy or wait for. */
  readonly slots: number;
  readonly ageMs: number;
}

/** The latest plan that a VM reported as applied. */
export interface Confirmation {
  readonly vm: VmId;
  /** Highest sequence that it confirmed with `plan-applied`. */
  readonly sequence: number;
  /** Time since its last report. */
  readonly ageMs: number;
}

/** Input of the planner. */
export interface PlannerInput {
  readonly policy: Policy;
  readonly revision: number;
  readonly vms: readonly VmEntry[];
  /** All targets; drained ones are marked as leaving. */
  readonly targets: readonly TargetEntry[];
  readonly demand: readonly MeasuredDemand[];
  readonly confirmations: readonly Confirmation[];
  /** VMs that hold no slots any more: see `silence.ts`. */
  readonly stopped: ReadonlySet<VmId>;
  /** The plan in force; absent for the first plan. */
  readonly previous?: Plan;
  /** Time since the planner wrote or first read the previous plan. */
  readonly previousAgeMs: number;
}

/** Time to live of a plan. A VM that receives no renewal for this long stops
 * using it: long enough for a slow store, short enough that a dead VM's slots
 * become available soon. */
export const PLAN_TTL_MS = 10_000;

/** Demand reports older than this are ignored: five missed reports. */
const DEMAND_TTL_MS = 5_000;

/** Computes the next plan. */
export function nextPlan(input: PlannerInput): Plan {
  const sequence = (input.previous?.sequence ?? 0) + 1;
  const step: Step = {
    sequence,
    confirmed: new Map(
      input.confirmations.map(({ vm, sequence }) => [vm, sequence]),
    ),
    stopped: input.stopped,
  };
  const allotments = input.policy.services.flatMap((service) =>
    input.policy.regions.flatMap(({ id }) =>
      allot(input, { service, region: id, step })
    )
  );
  const credits = accrueCredits(input);
  const loads = regionLoads(input);
  const shares = nextShares(input, { loads, credits });
  const links = nextLinks(input, { step, credits });
  const plan: Plan = {
    sequence,
    revision: input.revision,
    ttlMs: PLAN_TTL_MS,
    allotments,
    links,
    shares,
    credits: [...credits].map(([region, { available }]) => ({
      region,
      slots: available,
    })),
    fallbacks: [],
  };
  const fallbacks = input.policy.regions.map(({ id }) =>
    fallbackFor(plan, { lost: id, loads })
  );
  return { ...plan, fallbacks };
}

interface Scope {
  readonly service: ServicePolicy;
  readonly region: RegionId;
  readonly step: Step;
}

function allot(input: PlannerInput, scope: Scope): Allotment[] {
  const { service, region } = scope;
  const entries = input.targets.filter((entry) =>
    entry.service === service.id && entry.region === region
  );
  const open = entries.filter(({ leaving }) => !leaving);
  const previous = rowsByTarget(input, scope);
  const wanted = desiredSlots({
    service: service.id,
    region,
    targets: open,
    slotsPerTarget: service.slotsPerTarget,
    total: Math.floor(
      open.length * service.slotsPerTarget *
        service.utilisation,
    ),
    vms: ownersIn(input, region),
    demand: demandOf(input, service.id),
    owned: ownedBy(previous),
  });
  const known = new Set([...previous.keys(), ...wanted.keys()]);
  return [...known].flatMap((target) =>
    nextHoldings(previous.get(target) ?? [], wanted.get(target) ?? new Map(), {
      total: service.slotsPerTarget,
      step: scope.step,
    }).map((row) => ({ ...row, service: service.id, region, target }))
  );
}

/** Slots of a region are owned by its live VMs; if it has none, by the live VMs
 * of other regions. */
function ownersIn(input: PlannerInput, region: RegionId): VmEntry[] {
  const live = input.vms.filter((vm) => vm.live);
  const local = live.filter((vm) => vm.region === region);
  return local.length > 0 ? local : live;
}

function rowsByTarget(
  input: PlannerInput,
  scope: Scope,
): Map<TargetId, Allotment[]> {
  const rows = new Map<TargetId, Allotment[]>();
  for (const row of input.previous?.allotments ?? []) {
    if (row.service !== scope.service.id || row.region !== scope.region) {
      continue;
    }
    const list = rows.get(row.target);
    if (list === undefined) rows.set(row.target, [row]);
    else list.push(row);
  }
  return rows;
}

function ownedBy(
  rows: ReadonlyMap<TargetId, readonly Allotment[]>,
): Map<TargetId, Map<VmId, number>> {
  const owned = new Map<TargetId, Map<VmId, number>>();
  for (const [target, list] of rows) {
    owned.set(target, new Map(list.map(({ vm, slots }) => [vm, slots])));
  }
  return owned;
}

function demandOf(
  input: PlannerInput,
  service: ServiceId,
): Map<VmId, number> {
  const demand = new Map<VmId, number>();
  for (const entry of input.demand) {
    if (entry.service !== service || entry.ageMs > DEMAND_TTL_MS) continue;
    demand.set(entry.vm, entry.slots);
  }
  return demand;
}
