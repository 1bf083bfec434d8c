/**
 * Targets for tests of placement.
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

/** Longer than any wait in tests, in milliseconds. */
const PATIENCE_MS = 10_000;

/** A request for an object that comes at `now`. */
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
    answerBy: now + PATIENCE_MS,
    tried: new Set(),
  };
}

/** Where a decision sends its request; throws where it does not. */
export function targetOf(decision: PlacementDecision): TargetId {
  if (decision.kind !== "send") {
    throw new TypeError(`expected a target, got ${decision.kind}`);
  }
  return decision.target;
}

/** A target in a zone `REGION-1`. */
export function targetIn(region: string, name: string): SteeredTarget {
  return {
    id: name as TargetId,
    service: SERVICE,
    zone: `${region}-1` as ZoneId,
    region: region as RegionId,
    slots: 3,
    hash: hashText(name),
    coldPerSecond: 5,
    leaving: false,
  };
}

/** Targets `REGION-0` and so on. */
export function targetsIn(region: string, count: number): SteeredTarget[] {
  return Array.from(
    { length: count },
    (_, at) => targetIn(region, `${region}-${at}`),
  );
}

/** The steering of a VM in `region` that knows `targets`, and one VM in each region. */
export function steeringIn(
  region: string,
  targets: readonly SteeredTarget[],
  vms = ["north", "south"],
): Steering {
  const steering = new Steering({
    vm: `vm-${region}` as VmId,
    place: { region: region as RegionId, zone: `${region}-1` as ZoneId },
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
