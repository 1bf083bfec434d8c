/**
 * The planner: from the policy, the live VMs and targets and the plan before,
 * the next plan.
 *
 * @module
 */

import type { RegionId, ServiceId, VmId } from "@poplarthread/ids";
import type { TargetEntry, VmEntry } from "./event.ts";
import type { Allotment, Plan } from "./plan.ts";
import type { Policy } from "./policy.ts";

/** Slots kept busy by requests that came to a VM. */
export interface MeasuredDemand {
  readonly vm: VmId;
  readonly service: ServiceId;
  /** Mean number of slots that its requests keep busy or wait for. */
  readonly slots: number;
  readonly ageMs: number;
}

/** Which plan a VM said that it applied. */
export interface Confirmation {
  readonly vm: VmId;
  /** Highest sequence that it confirmed by `plan-applied`. */
  readonly sequence: number;
  /** Time since the last word of it, in milliseconds. */
  readonly ageMs: number;
}

/** What the planner looks at. */
export interface PlannerInput {
  readonly policy: Policy;
  readonly revision: number;
  readonly vms: readonly VmEntry[];
  readonly targets: readonly TargetEntry[];
  readonly demand: readonly MeasuredDemand[];
  readonly confirmations: readonly Confirmation[];
  /** The plan in force. None at the very first. */
  readonly previous?: Plan;
  /** Time since the planner wrote or first read the previous plan, in ms. */
  readonly previousAgeMs: number;
}

/** Time to live of a plan: also how long a silent VM's slots stay its own. */
export const PLAN_TTL_MS = 10_000;

/** Makes the next plan. */
export function nextPlan(input: PlannerInput): Plan {
  const allotments: Allotment[] = [];
  for (const entry of input.targets) {
    const slots = input.policy.services
      .find((service) => service.id === entry.service)?.slotsPerTarget ?? 0;
    const owners = input.vms.filter((vm) => vm.region === entry.region);
    const vms = owners.length > 0 ? owners : input.vms;
    const counts = new Map<VmId, number>();
    for (let i = 0; i < slots && vms.length > 0; i++) {
      const vm = vms[(allotments.length + i) % vms.length]!.vm;
      counts.set(vm, (counts.get(vm) ?? 0) + 1);
    }
    for (const [vm, count] of counts) {
      allotments.push({
        vm,
        service: entry.service,
        region: entry.region,
        target: entry.target,
        slots: count,
        mayHold: count,
        loweredIn: 0,
        loweredAgoMs: 0,
      });
    }
  }
  return {
    sequence: (input.previous?.sequence ?? 0) + 1,
    revision: input.revision,
    ttlMs: PLAN_TTL_MS,
    allotments,
    links: [],
    fallbacks: [],
  };
}

/** One reason why a policy can't be switched to as it is. */
export interface SwitchFinding {
  readonly kind:
    | "region-short"
    | "link-short"
    | "fallback-short";
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly message: string;
  /** A warning doesn't forbid the switch. */
  readonly severity: "error" | "warning";
}

/** Whether the traffic of the moment could be carried under `next`. */
export function checkSwitch(
  _next: Policy,
  _demand: readonly MeasuredDemand[],
): SwitchFinding[] {
  return [];
}
