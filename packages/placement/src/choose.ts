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
   * Expected cost of a target that nobody is known to have warmed, as a multiple of
   * what a warm one saves a request of its kind. More than once that time, since a
   * slot that is busy longer is missing to all others: priced at it alone, a crowded
   * service fills with requests on cold objects until nothing is in time.
   */
  readonly unwarmed: number;
  /**
   * Further cost of each position in the agreed order behind the first unwarmed
   * one, as the same kind of multiple. Without it an object is warmed wherever a
   * queue is short at the moment: on ten targets in half a minute, each of which
   * forgets another object for it.
   */
  readonly unwarmedStep: number;
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
  unwarmed: 1.5,
  unwarmedStep: 0.7,
  awayMs: 15,
  leaveZoneMs: 6,
  leaveRegionMs: 10,
  failingMs: 1_500,
};

/** Ties among alike targets are broken in steps of less than a millisecond. */
const TIE_STEPS = 64;

/** Later positions in the agreed order are all alike. */
export const MOST_POSITION = 8;

/** One choice. */
export interface Choice {
  readonly target: TargetId;
  /** Expected wait and round trip, in milliseconds. */
  readonly expectedMs: number;
  /** What it was compared by, in milliseconds. */
  readonly cost: number;
}

/** A target that may be chosen. */
export interface Candidate {
  readonly target: PlacedTarget;
  /**
   * Position in the agreed order of the request's object among the targets that may
   * be used, 0 for its home; undefined where requests are all alike.
   */
  readonly position: number | undefined;
  readonly price: TargetPrice;
}

/** What all candidates are compared on. */
export interface ChoiceBasis {
  /** Where this VM is. */
  readonly from: Place;
  readonly weights: PlacementWeights;
  /** What a target that keeps the object saves a request of this kind, in milliseconds. */
  readonly savedMs: number;
}

/** The cheapest of `candidates`; undefined where there is none. */
export function choose(
  candidates: readonly Candidate[],
  basis: ChoiceBasis,
): Choice | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = wayCost(candidate, basis) + warmthCost(candidate, basis);
    if (cost < bestCost) {
      bestCost = cost;
      best = candidate;
    }
  }
  return best && {
    target: best.target.id,
    expectedMs: best.price.waitMs + best.price.roundTripMs,
    cost: bestCost,
  };
}

/** The least that an unwarmed target at {@link MOST_POSITION} or behind it costs, in milliseconds. */
export function leastCostBehind(
  basis: Pick<ChoiceBasis, "weights" | "savedMs">,
): number {
  return unwarmedCost(MOST_POSITION, basis);
}

function wayCost(
  { target, price }: Candidate,
  { from, weights }: ChoiceBasis,
): number {
  const cost = price.roundTripMs + price.waitMs +
    price.failureShare * weights.failingMs;
  if (target.region !== from.region) {
    return cost + weights.leaveRegionMs;
  }
  return target.zone === from.zone ? cost : cost + weights.leaveZoneMs;
}

function warmthCost(
  { target, position, price }: Candidate,
  basis: ChoiceBasis,
): number {
  if (position === undefined) {
    // Equal targets must not all be filled in the order of the list.
    return target.hash % TIE_STEPS / TIE_STEPS;
  }
  if (position === 0) {
    return 0;
  }
  const away = Math.min(position, MOST_POSITION);
  return price.isWarm ? away * basis.weights.awayMs : unwarmedCost(away, basis);
}

function unwarmedCost(
  position: number,
  { weights, savedMs }: Pick<ChoiceBasis, "weights" | "savedMs">,
): number {
  return savedMs * (weights.unwarmed + (position - 1) * weights.unwarmedStep);
}
