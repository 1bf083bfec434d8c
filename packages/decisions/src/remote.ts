/**
 * Local or remote: when a region's requests go to targets of another.
 *
 * Answers a region whose own slots do not suffice. Between regions a round trip
 * takes 110 ms or 40 ms, often more than the request itself: sent too early,
 * remote work is slower than waiting and takes slots that the other region
 * needs; sent never, a region saturates while others idle. So slots afar are
 * asked for only for requests whose expected wait exceeds the round trip, and
 * each link has a limit for this VM. Borrowing takes one more round trip, but a
 * borrowed slot serves many requests before it goes back.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { LinkAllotment } from "./plan.ts";
import type { LinkPolicy, Policy } from "./policy.ts";
import type { ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** Round trip between zones of one region beyond that within a zone: one way
 * takes 1 to 1.5 ms. Only its order matters: the own zone is preferred. */
const OTHER_ZONE_MS = 3;

/** Shortest time between two questions to another region, about one round
 * trip between regions. */
export const ASK_AFAR_AGAIN_MS = 100;

/** A link of this VM's region to another. */
export interface LinkState {
  readonly to: RegionId;
  readonly roundTripMs: number;
  /** Requests that this VM may have in flight on it. */
  limit: number;
  inUse: number;
}

/** Links from one region, by their far end. */
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

/** Takes over what the plan allots to a VM; links it doesn't name get 0. */
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

/** Extra time of a target for its place alone, in ms. */
export function distanceMs(
  target: TargetState,
  here: { region: RegionId; zone: string },
  links: ReadonlyMap<RegionId, LinkState>,
): number {
  if (target.region === here.region) {
    return target.zone === here.zone ? 0 : OTHER_ZONE_MS;
  }
  const link = links.get(target.region);
  if (link === undefined || link.inUse >= link.limit) {
    return Number.POSITIVE_INFINITY;
  }
  return link.roundTripMs;
}

/** A slot afar is busy for the request and the round trip. Where that trip takes
 * more than this many usual requests, a borrowed slot serves two fifths or less
 * of what it serves at home: with the docket's requests of 52 ms over 110 ms,
 * borrowing made a slow target's p99 2.7 times the usual instead of 1.6, and
 * took goodput from both regions. */
const MOST_TRIPS = 1.5;

/** Waiting requests that would be served sooner from afar over this link.
 * `hasOwn`: there are slots in this VM's region, so that waiting leads to one. */
export function wantedAfar(
  service: ServiceState,
  link: LinkState,
  hasOwn: boolean,
): number {
  const room = link.limit - link.inUse;
  if (room <= 0) return 0;
  const isFar = link.roundTripMs > MOST_TRIPS * service.time.mean;
  if (isFar && hasOwn) return 0;
  const inTime = link.roundTripMs / service.waitMs(0);
  const late = service.waiting - Math.floor(inTime);
  return Math.max(0, Math.min(room, late));
}
