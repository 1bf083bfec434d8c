/**
 * The two deployments at their sizes of today, and the work that is done there.
 *
 * Sizes and delays are the users'. How long requests take and how they are
 * mixed is not known; the figures here are assumptions, named as such in the
 * report: a cached page in tens of milliseconds, a booking in about a hundred.
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
export interface WorkKind {
  readonly class: string;
  readonly repeat: Repeat;
  /** Share of the service's requests. */
  readonly share: number;
  /** Mean time at a target, exponentially distributed, in ms. */
  readonly meanMs: number;
  readonly deadlineMs: number;
}

/** A service under test and what is asked of it. */
export interface ServiceWork {
  readonly service: ServiceId;
  readonly slotsPerTarget: number;
  readonly kinds: readonly WorkKind[];
}

/** A deployment in full. */
export interface Deployment {
  readonly name: string;
  readonly policy: Policy;
  readonly vms: readonly VmEntry[];
  readonly targets: readonly TargetEntry[];
  readonly work: readonly ServiceWork[];
  readonly zoneMs: number;
  readonly regionMs: number;
}

/** One way within a zone; an assumption, a fraction of that between zones. */
const SAME_ZONE_MS = 0.25;
/** One way between a caller and an entry VM. */
export const CALLER_MS = 1;

/** Place of a VM or target. */
export interface Place {
  readonly region: RegionId;
  readonly zone: ZoneId;
}

/** One-way delay between two places, in ms. */
export function delayMs(deployment: Deployment, a: Place, b: Place): number {
  if (a.region !== b.region) return deployment.regionMs;
  return a.zone === b.zone ? SAME_ZONE_MS : deployment.zoneMs;
}

interface Outline {
  readonly name: string;
  readonly regions: readonly string[];
  readonly vms: number;
  readonly zoneMs: number;
  readonly regionMs: number;
  readonly services: readonly {
    readonly id: string;
    readonly targets: number;
    readonly slots: number;
    readonly kinds: readonly WorkKind[];
  }[];
  readonly classes: Policy["classes"];
}

function kind(
  name: string,
  share: number,
  rest: { meanMs: number; deadlineMs: number; once?: boolean },
): WorkKind {
  return {
    class: name,
    repeat: rest.once ? "at-most-once" : "idempotent",
    share,
    meanMs: rest.meanMs,
    deadlineMs: rest.deadlineMs,
  };
}

const HLASOVKA: Outline = {
  name: "hlasovka",
  regions: ["zilina", "kosice", "bratislava"],
  vms: 9,
  zoneMs: 1.5,
  regionMs: 55,
  services: [
    {
      id: "portal",
      targets: 25,
      slots: 3,
      kinds: [
        kind("comments", 0.2, { meanMs: 60, deadlineMs: 10_000, once: true }),
        kind("pages", 0.8, { meanMs: 40, deadlineMs: 5_000 }),
      ],
    },
    {
      id: "docket",
      targets: 12,
      slots: 3,
      kinds: [
        kind("objections", 0.3, { meanMs: 80, deadlineMs: 10_000, once: true }),
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

const KINOLENTA: Outline = {
  name: "kinolenta",
  regions: ["tbilisi", "kutaisi", "batumi"],
  vms: 12,
  zoneMs: 1,
  regionMs: 20,
  services: [
    {
      id: "playlists",
      targets: 35,
      slots: 6,
      kinds: [
        kind("bookings", 0.1, { meanMs: 100, deadlineMs: 10_000, once: true }),
        kind("playlists", 0.6, { meanMs: 50, deadlineMs: 10_000 }),
        kind("pages", 0.3, { meanMs: 40, deadlineMs: 5_000 }),
      ],
    },
    {
      id: "sales",
      targets: 12,
      slots: 3,
      kinds: [
        kind("bookings", 0.4, { meanMs: 100, deadlineMs: 10_000, once: true }),
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

/** The deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  hlasovka: build(HLASOVKA),
  kinolenta: build(KINOLENTA),
};

/** Slots of a service in a region, of targets that the lists name. */
export function slotsIn(
  deployment: Deployment,
  work: ServiceWork,
  region?: RegionId,
): number {
  return work.slotsPerTarget *
    deployment.targets.filter((target) =>
      target.service === work.service &&
      (region === undefined || target.region === region)
    ).length;
}

/** Mean time of a service's requests at a target. */
export function meanMs(work: ServiceWork): number {
  return work.kinds.reduce((sum, { share, meanMs }) => sum + share * meanMs, 0);
}

function build(outline: Outline): Deployment {
  const places = outline.regions.flatMap((region) =>
    [1, 2].map((zone) => ({
      region: id<RegionId>(region),
      zone: id<ZoneId>(`${region}-${zone}`),
    }))
  );
  const targets = outline.services.flatMap((service) =>
    Array.from({ length: service.targets }, (_, i) => ({
      target: id<TargetId>(`${service.id}-${i + 1}`),
      service: id<ServiceId>(service.id),
      ...spread(places, i),
      leaving: false,
    }))
  );
  return {
    name: outline.name,
    policy: policyOf(outline, targets),
    vms: Array.from({ length: outline.vms }, (_, i) => ({
      vm: id<VmId>(`vm-${i + 1}`),
      ...spread(places, i),
      live: true,
    })),
    targets,
    work: outline.services.map((service) => ({
      service: id<ServiceId>(service.id),
      slotsPerTarget: service.slots,
      kinds: service.kinds,
    })),
    zoneMs: outline.zoneMs,
    regionMs: outline.regionMs,
  };
}

/** Region by region in turn, so that every region gets its third. */
function spread(places: readonly Place[], i: number): Place {
  const regions = places.length / 2;
  const zone = Math.floor(i / regions) % 2;
  return places[(i % regions) * 2 + zone]!;
}

function policyOf(outline: Outline, targets: readonly TargetEntry[]): Policy {
  const regions = outline.regions.map((region) => id<RegionId>(region));
  return {
    regions: regions.map((region) => ({
      id: region,
      zones: [1, 2].map((zone) => id<ZoneId>(`${region}-${zone}`)),
    })),
    services: outline.services.map((service) => ({
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
    classes: outline.classes,
    links: regions.flatMap((from) =>
      regions.filter((to) => to !== from).map((to) => ({
        from,
        to,
        oneWayMs: outline.regionMs,
        maxInFlight: 30,
      }))
    ),
    demand: [],
    shift: { stepMs: 1_000, maxStepShare: 0.1, coldStepShare: 0.05 },
    callerShare: 0.5,
    retryShare: 0.1,
  };
}
