/**
 * Decides when a region's requests use targets of another region.
 *
 * A region's own slots may not be enough. Between regions a round trip takes
 * 110 ms or 40 ms, often longer than the request itself. Work sent too early is
 * slower than waiting and takes slots that the other region needs; if none is
 * sent, one region saturates while others idle. So slots of other regions are
 * requested only for requests whose expected wait exceeds the round trip, and
 * each link has a limit for this VM. Borrowing costs one more round trip, but a
 * borrowed slot serves many requests before it is returned.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { LinkAllotment } from "./plan.ts";
import type { LinkPolicy, Policy } from "./policy.ts";
import type { ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** Round trip between zones of one region beyond that within a zone: one way
 * takes 1 to 1.5 ms. The exact value matters little: it makes targets in the
 * VM's own zone preferred. */
const CROSS_ZONE_ROUND_TRIP_MS = 3;

/** Minimum interval between two slot requests to other regions: about one round
 * trip. */
export const MIN_REMOTE_REQUEST_INTERVAL_MS = 100;

/** A link from this VM's region to another. */
export interface LinkState {
  readonly to: RegionId;
  readonly roundTripMs: number;
  /** Requests that this VM may have in flight on it. */
  limit: number;
  inUse: number;
}

/** Links from one region, by their destination. */
export function linksFrom(
  policy: Policy,
  from: RegionId,
  old: ReadonlyMap<RegionId, LinkState>,
): Map<RegionId, LinkState> {
  const links = new Map<RegionId, LinkState>();
  for (const link of nearestFirst(policy.links, from)) {
    links.set(link.to, {
      to: link.to,
      roundTripMs: 2 * link.oneWayMs,
      limit: 0,
      inUse: old.get(link.to)?.inUse ?? 0,
    });
  }
  return links;
}

function nearestFirst(
  links: readonly LinkPolicy[],
  from: RegionId,
): LinkPolicy[] {
  return links
    .filter((link) => link.from === from && link.to !== from)
    .sort((a, b) => a.oneWayMs - b.oneWayMs);
}

/** Applies a VM's link allotments of the plan; links without one get 0. */
export function allotLinks(
  links: ReadonlyMap<RegionId, LinkState>,
  allotments: readonly LinkAllotment[],
): void {
  for (const link of links.values()) link.limit = 0;
  for (const allotment of allotments) {
    const link = links.get(allotment.to);
    if (link !== undefined) link.limit = allotment.slots;
  }
}

/** Extra time of a target due to its location, in ms; infinite where the link
 * is full. */
export function distanceMs(
  target: TargetState,
  local: { region: RegionId; zone: string },
  links: ReadonlyMap<RegionId, LinkState>,
): number {
  if (target.region === local.region) {
    return target.zone === local.zone ? 0 : CROSS_ZONE_ROUND_TRIP_MS;
  }
  const link = links.get(target.region);
  if (link === undefined || link.inUse >= link.limit) {
    return Number.POSITIVE_INFINITY;
  }
  return link.roundTripMs;
}

/** Longest round trip, as a multiple of the usual request time, over which
 * slots are borrowed. A slot in another region is occupied for the request and
 * the round trip; beyond this limit it serves two fifths or less of what it
 * serves locally. With requests of 52 ms over 110 ms, borrowing made the p99
 * with one slow target 2.7 times the usual instead of 1.6, and reduced the
 * goodput of both regions. */
const MAX_ROUND_TRIP_RATIO = 1.5;

/** Number of waiting requests that would be served sooner over this link.
 * `hasLocalSlots`: this VM's region has slots, so waiting leads to one. */
export function slotsWantedOver(
  service: ServiceState,
  link: LinkState,
  hasLocalSlots: boolean,
): number {
  const room = link.limit - link.inUse;
  if (room <= 0) return 0;
  const isFar = link.roundTripMs > MAX_ROUND_TRIP_RATIO * service.time.mean;
  if (isFar && hasLocalSlots) return 0;
  const servedInTime = link.roundTripMs / service.waitMs(0);
  const servedSooner = service.waiting - Math.floor(servedInTime);
  return Math.max(0, Math.min(room, servedSooner));
}
