/**
 * Chooses the target of a request.
 *
 * Answers targets that are about three times faster on objects they handled
 * lately, and of which each VM sees only its own part of the load. Without an
 * agreed home for each object, every VM warms other targets, requests take three
 * times as long, and a service that would be half idle is overloaded: one
 * notices queues everywhere at moderate load. Here every VM ranks the targets
 * alike for an object, so that all of them meet at the same few targets without
 * a message; what that saves is weighed, in milliseconds, against the way there
 * and the queue.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import { pairWeight } from "./hash.ts";
import type { Place, PlacedTarget } from "./target.ts";

/** What speaks for or against one target at this moment. */
export interface TargetPrice {
  /** Round trip, in milliseconds. */
  readonly roundTripMs: number;
  /** Expected wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** This VM sent requests for the object there lately. */
  readonly isWarm: boolean;
  /** Share of recent requests that it failed, 0 to 1. */
  readonly failureShare: number;
}

/** How milliseconds and money are weighed. */
export interface PlacementWeights {
  /**
   * Expected cost of a target that nobody is known to have warmed, in
   * milliseconds. A cold request takes some 300 ms longer once; the target then
   * stays warm for the object, so that later requests share that cost.
   */
  readonly unwarmedMs: number;
  /** Cost of the target that comes last in the agreed order beside the first, in milliseconds. */
  readonly disagreeMs: number;
  /** Cost of leaving the zone beyond the round trip, in milliseconds: bytes between zones are billed. */
  readonly leaveZoneMs: number;
  /** Cost of leaving the region beyond the round trip, in milliseconds. */
  readonly leaveRegionMs: number;
  /** Cost of a target that fails all requests, in milliseconds. */
  readonly failingMs: number;
}

/** The default weights; see {@link PlacementWeights}. */
export const DEFAULT_WEIGHTS: PlacementWeights = {
  unwarmedMs: 90,
  disagreeMs: 20,
  leaveZoneMs: 6,
  leaveRegionMs: 10,
  failingMs: 1_500,
};

/** Ties among alike targets are broken in steps of less than a millisecond. */
const TIE_STEPS = 64;

/** One choice. */
export interface Choice {
  readonly target: TargetId;
  /** Expected wait and round trip, in milliseconds. */
  readonly expectedMs: number;
}

/** What a choice is made from. */
export interface ChoiceOptions {
  /** Where this VM is. */
  readonly from: Place;
  /** All targets that may serve the request, also those without room now: homes must not move when one is full. */
  readonly all: readonly PlacedTarget[];
  /** Hash of the object; undefined where requests are all alike. */
  readonly object: number | undefined;
  readonly weights: PlacementWeights;
  price(target: PlacedTarget): TargetPrice;
}

/** The cheapest of `targets`; undefined where there is none. */
export function choose(
  targets: readonly PlacedTarget[],
  options: ChoiceOptions,
): Choice | undefined {
  const homes = options.object === undefined
    ? undefined
    : homesOf(options.all, options.object);
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    const price = options.price(target);
    const cost = costOf(target, price, options, homes);
    if (cost < bestCost) {
      bestCost = cost;
      best = {
        target: target.id,
        expectedMs: price.waitMs + price.roundTripMs,
      };
    }
  }
  return best;
}

function costOf(
  target: PlacedTarget,
  price: TargetPrice,
  options: ChoiceOptions,
  homes: ReadonlySet<TargetId> | undefined,
): number {
  const { weights, from } = options;
  let cost = price.roundTripMs + price.waitMs +
    price.failureShare * weights.failingMs;
  if (target.region !== from.region) {
    cost += weights.leaveRegionMs;
  } else if (target.zone !== from.zone) {
    cost += weights.leaveZoneMs;
  }
  if (options.object === undefined) {
    // Equal targets must not all be filled in the order of the list.
    return cost + target.hash % TIE_STEPS / TIE_STEPS;
  }
  if (homes?.has(target.id) || price.isWarm) {
    return cost;
  }
  // Where a second target has to be warmed, all VMs should warm the same one.
  const rank = 1 - pairWeight(options.object, target.hash) / 2 ** 32;
  return cost + weights.unwarmedMs + rank * weights.disagreeMs;
}

/** The targets that all VMs take to be warm for an object: one in each region. */
function homesOf(
  targets: readonly PlacedTarget[],
  object: number,
): ReadonlySet<TargetId> {
  const best = new Map<string, { weight: number; id: TargetId }>();
  for (const target of targets) {
    const weight = pairWeight(object, target.hash);
    const known = best.get(target.region);
    if (known === undefined || weight > known.weight) {
      best.set(target.region, { weight, id: target.id });
    }
  }
  const homes = new Set<TargetId>();
  for (const { id } of best.values()) {
    homes.add(id);
  }
  return homes;
}
