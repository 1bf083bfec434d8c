/**
 * The fleet in the words of the decisions and the pools: pure views of one view.
 *
 * @module
 */

import type { Configuration, Preset } from "@poplarthread/config";
import type { TargetEntry, VmEntry } from "@poplarthread/decisions";
import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import type { FleetView } from "./fleet.ts";

/** Entry VMs as the decisions know them. */
export function toVmEntries(view: FleetView): readonly VmEntry[] {
  return view.vms.map(({ id, region, zone, belief }) => ({
    vm: id,
    region,
    zone,
    live: belief !== "dead" && belief !== "leaving",
  }));
}

/** Targets as the decisions know them. */
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

/** The planner takes what is drained for leaving. */
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

/** Each live VM takes an equal share of the connections that a target accepts. */
export function sharedConnections(
  view: FleetView,
  preset: Preset,
): readonly TargetConnections[] {
  const alive = view.vms.filter(({ belief }) => belief !== "dead").length;
  const most = new Map<ServiceId, number>(
    preset.services.map(({ id, connectionsPerTarget }) => [
      id,
      Math.max(1, Math.floor(connectionsPerTarget / Math.max(1, alive))),
    ]),
  );
  return view.targets.flatMap(({ id, address, service }) => {
    const connections = most.get(service);
    return connections === undefined ? [] : [{ id, address, connections }];
  });
}

/** Whether each region is lost: all its VMs are dead by their heartbeats. */
export function regionStates(
  view: FleetView,
): readonly { readonly region: RegionId; readonly lost: boolean }[] {
  const isLost = new Map<RegionId, boolean>();
  for (const { region, belief } of view.vms) {
    const others = isLost.get(region) ?? true;
    isLost.set(region, others && belief === "dead");
  }
  return [...isLost].map(([region, lost]) => ({ region, lost }));
}
