/**
 * Which services have homes by load, and the targets that can be homes.
 *
 * Only services whose targets state when they started have them: a target that comes
 * back under its id could otherwise not be told from one that kept its cache. A few
 * targets without a start time, such as ones of another version, cannot be homes, but
 * the others can.
 *
 * @module
 */

import type { RegionId, ServiceId, ZoneId } from "@poplarthread/ids";
import { hashText, type HomeTarget } from "@poplarthread/placement";
import type { RegisteredTarget } from "../ports.ts";

/** Share of a service's targets that have to state their start for it to get homes. */
const MIN_SHARE_TO_START = 0.9;
/** Share below which it loses them; lower, so that one target does not switch them. */
const MIN_SHARE_TO_KEEP = 0.8;

/** Targets that can be homes, by service. */
export type HomeTargets = ReadonlyMap<ServiceId, readonly HomeTarget[]>;

/** A known target. */
export interface KnownTarget {
  readonly target: RegisteredTarget;
  /** It is leaving by its entry or by its own answer. */
  readonly isLeaving: boolean;
}

/** Where targets can be homes. */
export interface HomeZones {
  /** Regions by zone; targets of other zones cannot be homes. */
  readonly regions: ReadonlyMap<ZoneId, RegionId>;
  readonly evacuated: ReadonlySet<ZoneId>;
}

/** The known targets of one service. */
interface ServiceTargets {
  count: number;
  /** How many of them state their start. */
  withStart: number;
  readonly homes: HomeTarget[];
}

/**
 * Computes the targets that can be homes, of all services that have homes by load;
 * `previous` is the last result.
 */
export function homeTargets(
  known: readonly KnownTarget[],
  zones: HomeZones,
  previous: HomeTargets = new Map(),
): HomeTargets {
  const byService = new Map<ServiceId, ServiceTargets>();
  for (const one of known) {
    const { service } = one.target;
    const ofService = byService.get(service) ??
      { count: 0, withStart: 0, homes: [] };
    byService.set(service, ofService);
    addTarget(ofService, one, zones);
  }
  const homes = new Map<ServiceId, readonly HomeTarget[]>();
  for (const [service, ofService] of byService) {
    if (hasHomes(ofService, previous.has(service))) {
      homes.set(service, ofService.homes);
    }
  }
  return homes;
}

function addTarget(
  ofService: ServiceTargets,
  { target, isLeaving }: KnownTarget,
  { regions, evacuated }: HomeZones,
): void {
  const { id, zone, slots, startedAt } = target;
  ofService.count += 1;
  if (startedAt === undefined) {
    return;
  }
  ofService.withStart += 1;
  const region = regions.get(zone);
  if (region !== undefined && !isLeaving && !evacuated.has(zone)) {
    ofService.homes.push({ hash: hashText(id), region, slots, startedAt });
  }
}

function hasHomes(
  { count, withStart }: ServiceTargets,
  hadHomes: boolean,
): boolean {
  const share = hadHomes ? MIN_SHARE_TO_KEEP : MIN_SHARE_TO_START;
  return withStart >= share * count;
}

/** Whether two results are the same, whatever the order of their targets. */
export function areSameHomeTargets(a: HomeTargets, b: HomeTargets): boolean {
  return a.size === b.size &&
    [...a].every(([service, targets]) => {
      const others = b.get(service);
      return others !== undefined && areSameTargets(targets, others);
    });
}

function areSameTargets(
  a: readonly HomeTarget[],
  b: readonly HomeTarget[],
): boolean {
  const byHash = new Map(b.map((target) => [target.hash, target]));
  return a.length === b.length && a.every((target) => {
    const other = byHash.get(target.hash);
    return other !== undefined && isSameTarget(target, other);
  });
}

function isSameTarget(a: HomeTarget, b: HomeTarget): boolean {
  return a.region === b.region && a.slots === b.slots &&
    a.startedAt === b.startedAt;
}
