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

import type { RegionId, TargetId } from "@poplarthread/ids";
import { hashText, pairWeight } from "./hash.ts";
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
  /**
   * Further cost of each position in the agreed order behind the first
   * unwarmed one, in milliseconds. Without it an object is warmed wherever a
   * queue is short at the moment: on ten targets in half a minute, each of which
   * forgets another object for it.
   */
  readonly unwarmedStepMs: number;
  /** Cost of each position in the agreed order where the target is warm, in milliseconds: requests return to the home once it has room. */
  readonly awayMs: number;
  /** Cost of leaving the zone beyond the round trip, in milliseconds: bytes between zones are billed. */
  readonly leaveZoneMs: number;
  /** Cost of leaving the region beyond the round trip, in milliseconds. */
  readonly leaveRegionMs: number;
  /** Cost of a target that fails all requests, in milliseconds. */
  readonly failingMs: number;
}

/** The default weights; see {@link PlacementWeights}. */
export const DEFAULT_WEIGHTS: PlacementWeights = {
  unwarmedMs: 600,
  unwarmedStepMs: 400,
  awayMs: 15,
  leaveZoneMs: 6,
  leaveRegionMs: 10,
  failingMs: 1_500,
};

/** Ties among alike targets are broken in steps of less than a millisecond. */
const TIE_STEPS = 64;

/** Later positions in the agreed order are all alike. */
const MOST_POSITION = 8;

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
  /** Share of the objects that have a home in each region; 1 where it is missing. */
  readonly homeShares: ReadonlyMap<RegionId, number>;
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
  const order = options.object === undefined
    ? undefined
    : agreedOrder(options.object, options);
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    const price = options.price(target);
    const cost = costOf(target, price, options, order);
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
  order: ReadonlyMap<TargetId, number> | undefined,
): number {
  const { weights, from } = options;
  let cost = price.roundTripMs + price.waitMs +
    price.failureShare * weights.failingMs;
  if (target.region !== from.region) {
    cost += weights.leaveRegionMs;
  } else if (target.zone !== from.zone) {
    cost += weights.leaveZoneMs;
  }
  if (order === undefined) {
    // Equal targets must not all be filled in the order of the list.
    return cost + target.hash % TIE_STEPS / TIE_STEPS;
  }
  const position = Math.min(
    order.get(target.id) ?? MOST_POSITION,
    MOST_POSITION,
  );
  if (position === 0) {
    return cost;
  }
  return cost +
    (price.isWarm
      ? position * weights.awayMs
      : weights.unwarmedMs + (position - 1) * weights.unwarmedStepMs);
}

/**
 * The order in which all VMs use targets for an object. The first one is its
 * home, in the region of this VM if the object has a home there; the next ones
 * take what the home has no room for.
 */
function agreedOrder(
  object: number,
  { all, from, homeShares }: ChoiceOptions,
): ReadonlyMap<TargetId, number> {
  const isHomeHere = hasHome(object, from.region, homeShares);
  const weighed = all.map((target) => ({
    id: target.id,
    // Targets of this region come first, or last where it has no home for the object.
    weight: pairWeight(object, target.hash) / 2 ** 32 +
      (target.region === from.region ? (isHomeHere ? 1 : -1) : 0),
  }));
  weighed.sort((a, b) => b.weight - a.weight);
  return new Map(weighed.map(({ id }, position) => [id, position]));
}

function hasHome(
  object: number,
  region: RegionId,
  shares: ReadonlyMap<RegionId, number>,
): boolean {
  const position = pairWeight(object, hashText(region)) / 2 ** 32;
  return position < (shares.get(region) ?? 1);
}
