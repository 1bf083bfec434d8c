/**
 * Which services have homes by load, and the targets that can be homes.
 *
 * Only services all of whose targets state when they started have them: a target that
 * comes back under its id could otherwise not be told from one that kept its cache.
 *
 * @module
 */

import type { RegionId, ServiceId, ZoneId } from "@poplarthread/ids";
import { hashText, type HomeTarget } from "@poplarthread/placement";
import type { RegisteredTarget } from "../ports.ts";

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

/** Computes the targets that can be homes, of all services that have homes by load. */
export function homeTargets(
  known: readonly KnownTarget[],
  zones: HomeZones,
): HomeTargets {
  const byService = new Map<ServiceId, HomeTarget[]>();
  const withoutStart = new Set<ServiceId>();
  for (const { target, isLeaving } of known) {
    const { service, zone, startedAt } = target;
    if (startedAt === undefined) {
      withoutStart.add(service);
      continue;
    }
    const homes = byService.get(service) ?? [];
    byService.set(service, homes);
    const region = zones.regions.get(zone);
    if (region !== undefined && !isLeaving && !zones.evacuated.has(zone)) {
      const { slots } = target;
      homes.push({ hash: hashText(target.id), region, slots, startedAt });
    }
  }
  withoutStart.forEach((service) => byService.delete(service));
  return byService;
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
