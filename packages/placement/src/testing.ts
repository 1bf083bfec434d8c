/**
 * Targets, requests and VMs for tests of placement.
 *
 * @module
 */

import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type { PlacementDecision, PlacementRequest } from "./placement.ts";
import { Steering } from "./steering.ts";
import type { SteeredTarget } from "./target.ts";

/** The service of all test targets. */
export const SERVICE = "portal" as ServiceId;

/** Longer than any wait in the tests. */
const DEADLINE_MS = 10_000;

/** A request for an object that arrives at `now`. */
export function requestFor(
  object: string,
  { now, kind = "view" }: { now: number; kind?: string },
): PlacementRequest {
  return {
    service: SERVICE,
    kind,
    priority: 0,
    object: hashText(object),
    regions: [],
    arrivedAt: now,
    deadlineAt: now + DEADLINE_MS,
    tried: new Set(),
  };
}

/** The target of a decision; throws if the request was not sent. */
export function targetOf(decision: PlacementDecision): TargetId {
  if (decision.kind !== "send") {
    throw new TypeError(
      `expected a decision of kind "send", got "${decision.kind}"`,
    );
  }
  return decision.target;
}

/** A target in the zone `REGION-1`. */
export function targetIn(region: string, name: string): SteeredTarget {
  return {
    id: name as TargetId,
    service: SERVICE,
    zone: `${region}-1` as ZoneId,
    region: region as RegionId,
    slots: 3,
    hash: hashText(name),
    coldPerSecond: 5,
    isLeaving: false,
  };
}

/** Targets named `REGION-0`, `REGION-1` and so on. */
export function targetsIn(region: string, count: number): SteeredTarget[] {
  return Array.from(
    { length: count },
    (_, at) => targetIn(region, `${region}-${at}`),
  );
}

/**
 * The steering of a VM in `region` with the given targets, in a fleet of one VM in
 * each region of `vms`.
 */
export function steeringIn(
  region: string,
  targets: readonly SteeredTarget[],
  vms = ["north", "south"],
): Steering {
  const steering = new Steering({
    vm: `vm-${region}` as VmId,
    location: { region: region as RegionId, zone: `${region}-1` as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
  });
  steering.setVms(vms.map((name) => ({
    vm: `vm-${name}` as VmId,
    region: name as RegionId,
    hash: hashText(name),
  })));
  targets.forEach((target) => steering.setTarget(target));
  return steering;
}
