/**
 * Pure conversions of a fleet view into the inputs of steering, planning and the
 * connection pools.
 *
 * @module
 */

import type { Configuration, Preset } from "@poplarthread/config";
import type { TargetEntry, VmEntry } from "@poplarthread/decisions";
import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import type { FleetView } from "./fleet.ts";

/** Entry VMs as input of steering and planning. */
export function toVmEntries(view: FleetView): readonly VmEntry[] {
  return view.vms.map(({ id, region, zone, effectiveState }) => ({
    vm: id,
    region,
    zone,
    live: effectiveState !== "dead" && effectiveState !== "leaving",
  }));
}

/** Targets as input of steering and planning. */
export function toTargetEntries(view: FleetView): readonly TargetEntry[] {
  return view.targets.map(({ id, service, region, zone, leaving, cold }) => ({
    target: id,
    service,
    region,
    zone,
    leaving,
    cold,
  }));
}

/** Targets as input of planning, which treats drained targets as leaving. */
export function targetsToPlan(
  view: FleetView,
  { drains }: Configuration,
): readonly TargetEntry[] {
  const drained = new Set(drains.map(({ kind, id }) => `${kind} ${id}`));
  return toTargetEntries(view).map((entry) => ({
    ...entry,
    leaving: entry.leaving || drained.has(`target ${entry.target}`) ||
      drained.has(`zone ${entry.zone}`),
  }));
}

/** A target's address and the connections that this VM may open to it. */
export interface TargetConnections {
  readonly id: TargetId;
  readonly address: string;
  readonly connections: number;
}

/** Divides the connections that each target accepts equally among the VMs that are not dead. */
export function sharedConnections(
  view: FleetView,
  preset: Preset,
): readonly TargetConnections[] {
  const aliveCount =
    view.vms.filter(({ effectiveState }) => effectiveState !== "dead").length;
  const maxConnections = new Map<ServiceId, number>(
    preset.services.map(({ id, connectionsPerTarget }) => [
      id,
      Math.max(1, Math.floor(connectionsPerTarget / Math.max(1, aliveCount))),
    ]),
  );
  return view.targets.flatMap(({ id, address, service }) => {
    const connections = maxConnections.get(service);
    return connections === undefined ? [] : [{ id, address, connections }];
  });
}

/** Whether each region is lost, which means that heartbeats show all its VMs as dead. */
export function regionStates(
  view: FleetView,
): readonly { readonly region: RegionId; readonly lost: boolean }[] {
  const isLost = new Map<RegionId, boolean>();
  for (const { region, effectiveState } of view.vms) {
    const othersLost = isLost.get(region) ?? true;
    isLost.set(region, othersLost && effectiveState === "dead");
  }
  return [...isLost].map(([region, lost]) => ({ region, lost }));
}
