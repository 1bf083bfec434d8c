/**
 * The two deployments at their current sizes, and their workloads.
 *
 * Sizes and network delays are those of the users. Service times and the mix of
 * requests are not known; the values here are assumptions, and the report says
 * so: a cached page takes tens of milliseconds, a booking about a hundred.
 *
 * @module
 */

import type {
  Policy,
  Repeat,
  TargetEntry,
  VmEntry,
} from "@poplarthread/decisions";
import {
  id,
  type RegionId,
  type ServiceId,
  type TargetId,
  type VmId,
  type ZoneId,
} from "@poplarthread/ids";

/** One kind of request to a service. */
export interface RequestKind {
  readonly class: string;
  readonly repeat: Repeat;
  /** Fraction of the service's requests that are of this kind. */
  readonly share: number;
  /** Mean of the exponentially distributed service time at a target. */
  readonly meanMs: number;
  readonly deadlineMs: number;
}

/** A service under test and the requests sent to it. */
export interface ServiceWorkload {
  readonly service: ServiceId;
  readonly slotsPerTarget: number;
  readonly kinds: readonly RequestKind[];
}

/** A deployment: its policy, VMs, targets, workloads and network delays. */
export interface Deployment {
  readonly name: string;
  readonly policy: Policy;
  readonly vms: readonly VmEntry[];
  readonly targets: readonly TargetEntry[];
  readonly workloads: readonly ServiceWorkload[];
  readonly crossZoneDelayMs: number;
  readonly crossRegionDelayMs: number;
}

/** One-way delay within a zone; an assumption, a fraction of that between
 * zones. */
const SAME_ZONE_DELAY_MS = 0.25;
/** One-way delay between a caller and an entry VM of its region. */
export const CALLER_DELAY_MS = 1;

/** Region and zone of a VM or target. */
export interface Location {
  readonly region: RegionId;
  readonly zone: ZoneId;
}

/** One-way network delay between two locations. */
export function delayMs(
  deployment: Deployment,
  a: Location,
  b: Location,
): number {
  if (a.region !== b.region) return deployment.crossRegionDelayMs;
  return a.zone === b.zone ? SAME_ZONE_DELAY_MS : deployment.crossZoneDelayMs;
}

interface DeploymentSpec {
  readonly name: string;
  readonly regions: readonly string[];
  readonly vms: number;
  readonly crossZoneDelayMs: number;
  readonly crossRegionDelayMs: number;
  readonly services: readonly {
    readonly id: string;
    readonly targets: number;
    readonly slots: number;
    readonly kinds: readonly RequestKind[];
  }[];
  readonly classes: Policy["classes"];
}

function kind(
  name: string,
  share: number,
  opts: { meanMs: number; deadlineMs: number; atMostOnce?: boolean },
): RequestKind {
  return {
    class: name,
    repeat: opts.atMostOnce ? "at-most-once" : "idempotent",
    share,
    meanMs: opts.meanMs,
    deadlineMs: opts.deadlineMs,
  };
}

const HLASOVKA: DeploymentSpec = {
  name: "hlasovka",
  regions: ["zilina", "kosice", "bratislava"],
  vms: 9,
  crossZoneDelayMs: 1.5,
  crossRegionDelayMs: 55,
  services: [
    {
      id: "portal",
      targets: 25,
      slots: 3,
      kinds: [
        kind("comments", 0.2, {
          meanMs: 60,
          deadlineMs: 10_000,
          atMostOnce: true,
        }),
        kind("pages", 0.8, { meanMs: 40, deadlineMs: 5_000 }),
      ],
    },
    {
      id: "docket",
      targets: 12,
      slots: 3,
      kinds: [
        kind("objections", 0.3, {
          meanMs: 80,
          deadlineMs: 10_000,
          atMostOnce: true,
        }),
        kind("pages", 0.7, { meanMs: 40, deadlineMs: 5_000 }),
      ],
    },
  ],
  classes: [
    { id: "objections", rank: 0, maxWaitMs: 3_000, reservedShare: 0.05 },
    { id: "comments", rank: 1, maxWaitMs: 2_000, reservedShare: 0.05 },
    { id: "pages", rank: 2, maxWaitMs: 1_000, reservedShare: 0 },
  ],
};

const KINOLENTA: DeploymentSpec = {
  name: "kinolenta",
  regions: ["tbilisi", "kutaisi", "batumi"],
  vms: 12,
  crossZoneDelayMs: 1,
  crossRegionDelayMs: 20,
  services: [
    {
      id: "playlists",
      targets: 35,
      slots: 6,
      kinds: [
        kind("bookings", 0.1, {
          meanMs: 100,
          deadlineMs: 10_000,
          atMostOnce: true,
        }),
        kind("playlists", 0.6, { meanMs: 50, deadlineMs: 10_000 }),
        kind("pages", 0.3, { meanMs: 40, deadlineMs: 5_000 }),
      ],
    },
    {
      id: "sales",
      targets: 12,
      slots: 3,
      kinds: [
        kind("bookings", 0.4, {
          meanMs: 100,
          deadlineMs: 10_000,
          atMostOnce: true,
        }),
        kind("pages", 0.6, { meanMs: 40, deadlineMs: 5_000 }),
      ],
    },
  ],
  classes: [
    { id: "bookings", rank: 0, maxWaitMs: 3_000, reservedShare: 0.05 },
    { id: "playlists", rank: 1, maxWaitMs: 3_000, reservedShare: 0.05 },
    { id: "pages", rank: 2, maxWaitMs: 1_000, reservedShare: 0 },
  ],
};

/** Deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  hlasovka: build(HLASOVKA),
  kinolenta: build(KINOLENTA),
};

/** Total slots of a service's listed targets, in one region or in all. */
export function slotsIn(
  deployment: Deployment,
  workload: ServiceWorkload,
  region?: RegionId,
): number {
  return workload.slotsPerTarget *
    deployment.targets.filter((target) =>
      target.service === workload.service &&
      (region === undefined || target.region === region)
    ).length;
}

/** Mean service time over all kinds of a service's requests. */
export function meanMs(workload: ServiceWorkload): number {
  return workload.kinds.reduce(
    (sum, { share, meanMs }) => sum + share * meanMs,
    0,
  );
}

function build(spec: DeploymentSpec): Deployment {
  const locations = spec.regions.flatMap((region) =>
    [1, 2].map((zone) => ({
      region: id<RegionId>(region),
      zone: id<ZoneId>(`${region}-${zone}`),
    }))
  );
  const targets = spec.services.flatMap((service) =>
    Array.from({ length: service.targets }, (_, i) => ({
      target: id<TargetId>(`${service.id}-${i + 1}`),
      service: id<ServiceId>(service.id),
      ...locationOf(locations, i),
      leaving: false,
    }))
  );
  return {
    name: spec.name,
    policy: policyOf(spec, targets),
    vms: Array.from({ length: spec.vms }, (_, i) => ({
      vm: id<VmId>(`vm-${i + 1}`),
      ...locationOf(locations, i),
      live: true,
    })),
    targets,
    workloads: spec.services.map((service) => ({
      service: id<ServiceId>(service.id),
      slotsPerTarget: service.slots,
      kinds: service.kinds,
    })),
    crossZoneDelayMs: spec.crossZoneDelayMs,
    crossRegionDelayMs: spec.crossRegionDelayMs,
  };
}

/** Location of the `i`th VM or target: round-robin over the regions, so that
 * each region gets an equal share. */
function locationOf(locations: readonly Location[], i: number): Location {
  const regionCount = locations.length / 2;
  const zone = Math.floor(i / regionCount) % 2;
  return locations[(i % regionCount) * 2 + zone]!;
}

function policyOf(
  spec: DeploymentSpec,
  targets: readonly TargetEntry[],
): Policy {
  const regions = spec.regions.map((region) => id<RegionId>(region));
  return {
    regions: regions.map((region) => ({
      id: region,
      zones: [1, 2].map((zone) => id<ZoneId>(`${region}-${zone}`)),
    })),
    services: spec.services.map((service) => ({
      id: id<ServiceId>(service.id),
      slotsPerTarget: service.slots,
      utilisation: 1,
      targets: Object.fromEntries(regions.map((region) => [
        region,
        targets.filter((target) =>
          target.service === service.id && target.region === region
        ).length,
      ])),
    })),
    classes: spec.classes,
    links: regions.flatMap((from) =>
      regions.filter((to) => to !== from).map((to) => ({
        from,
        to,
        oneWayMs: spec.crossRegionDelayMs,
        maxInFlight: 30,
      }))
    ),
    demand: [],
    shift: { stepMs: 1_000, maxStepShare: 0.1, coldStepShare: 0.05 },
    callerShare: 0.5,
    retryShare: 0.1,
  };
}
