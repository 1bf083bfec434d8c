/**
 * Checks, before a switch to another policy, whether the current traffic could
 * be served under it.
 *
 * This catches switches that are valid in general but wrong at the current
 * load, such as a maintenance preset that leaves half of the targets, switched
 * to on a busy evening.
 *
 * @module
 */

import type { RegionId, ServiceId } from "@poplarthread/ids";
import type { VmEntry } from "./event.ts";
import type { MeasuredDemand } from "./planner.ts";
import type { Policy, ServicePolicy } from "./policy.ts";

/** A reason why a policy can't be switched to, or a warning about it. */
export interface SwitchFinding {
  readonly kind: "service-short" | "region-short" | "fallback-short";
  readonly service: ServiceId;
  readonly region?: RegionId;
  readonly message: string;
  /** A warning doesn't prevent the switch. */
  readonly severity: "error" | "warning";
}

/** Checks a switch to `next` against the currently measured demand. */
export function checkSwitch(
  next: Policy,
  now: { demand: readonly MeasuredDemand[]; vms: readonly VmEntry[] },
): SwitchFinding[] {
  return next.services.flatMap((service) => {
    const demand = demandByRegion(service, now);
    const total = [...demand.values()].reduce((a, b) => a + b, 0);
    return [
      ...serviceFindings(next, service, total),
      ...regionFindings(next, service, demand),
      ...fallbackFindings(next, service, total),
    ];
  });
}

function serviceFindings(
  next: Policy,
  service: ServicePolicy,
  demand: number,
): SwitchFinding[] {
  const slots = totalSlots(next, service);
  if (demand <= slots) return [];
  return [{
    kind: "service-short",
    service: service.id,
    message: `${service.id} would have ${slots} slots, but ${
      round(demand)
    } are in use or waited for now`,
    severity: "error",
  }];
}

/** A region that lacks slots can borrow over its links, up to their limits. */
function regionFindings(
  next: Policy,
  service: ServicePolicy,
  demand: ReadonlyMap<RegionId, number>,
): SwitchFinding[] {
  return next.regions.flatMap(({ id }): SwitchFinding[] => {
    const missing = (demand.get(id) ?? 0) - regionSlots(service, id);
    if (missing <= 0) return [];
    const links = next.links.filter(({ from }) => from === id)
      .reduce((sum, { maxInFlight }) => sum + maxInFlight, 0);
    return [{
      kind: "region-short",
      service: service.id,
      region: id,
      message: `${service.id} in ${id} would lack ${round(missing)} slots, ` +
        `and its links carry at most ${links}`,
      severity: missing > links ? "error" : "warning",
    }];
  });
}

function fallbackFindings(
  next: Policy,
  service: ServicePolicy,
  demand: number,
): SwitchFinding[] {
  const slots = totalSlots(next, service);
  return next.regions.flatMap(({ id }): SwitchFinding[] => {
    const left = slots - regionSlots(service, id);
    if (demand <= left) return [];
    return [{
      kind: "fallback-short",
      service: service.id,
      region: id,
      message:
        `without ${id}, ${service.id} would have ${left} slots for a demand of ${
          round(demand)
        }`,
      severity: "warning",
    }];
  });
}

function demandByRegion(
  service: ServicePolicy,
  now: { demand: readonly MeasuredDemand[]; vms: readonly VmEntry[] },
): Map<RegionId, number> {
  const regions = new Map(now.vms.map(({ vm, region }) => [vm, region]));
  const demand = new Map<RegionId, number>();
  for (const entry of now.demand) {
    const region = regions.get(entry.vm);
    if (entry.service !== service.id || region === undefined) continue;
    demand.set(region, (demand.get(region) ?? 0) + entry.slots);
  }
  return demand;
}

function totalSlots(policy: Policy, service: ServicePolicy): number {
  return policy.regions.reduce(
    (sum, { id }) => sum + regionSlots(service, id),
    0,
  );
}

function regionSlots(service: ServicePolicy, region: RegionId): number {
  const targets = service.targets[region] ?? 0;
  return Math.floor(targets * service.slotsPerTarget * service.utilisation);
}

function round(slots: number): number {
  return Math.round(slots * 10) / 10;
}
