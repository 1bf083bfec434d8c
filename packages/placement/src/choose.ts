/**
 * Chooses the target of a request by cost.
 *
 * Targets respond about three times faster for objects that they handled recently
 * and still have cached (the target is then warm for the object), and each VM sees
 * only its own share of the load. If VMs chose without coordination, each would
 * warm different targets, requests would take three times as long, and a service at
 * half load would be overloaded, with long queues everywhere at moderate load. With
 * rendezvous hashing all VMs rank the targets of an object alike without exchanging
 * messages, and so share the same few targets. The time that a warm target saves is
 * compared, in milliseconds, with the round trip and the queue.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { Location, PlacedTarget } from "./target.ts";

/** Current properties of a target that determine its cost. */
export interface TargetCosts {
  readonly roundTripMs: number;
  /** Expected wait for a slot. */
  readonly waitMs: number;
  /** Expected run time beyond the usual one, because of the pace of its machine. */
  readonly extraRunMs: number;
  /** A VM recently sent requests for the object to this target. */
  readonly isWarm: boolean;
  /** Share of recent requests that the target failed, 0 to 1. */
  readonly failureShare: number;
}

/** Weights that convert properties of a target to a cost in milliseconds. */
export interface PlacementWeights {
  /**
   * Cost of a target not known to be warm, as a multiple of the time that a warm
   * one saves for this kind of request. It is above 1 because a slot that stays
   * busy longer is also unavailable to all other requests: at 1, a busy service
   * fills with requests on uncached objects until all responses are late.
   */
  readonly unwarmed: number;
  /**
   * Additional cost per position in the rendezvous order after the first unwarmed
   * target, as a multiple of the same time. Without it an object is warmed wherever
   * a queue happens to be short: on ten targets within half a minute, each of which
   * evicts another object for it.
   */
  readonly unwarmedStep: number;
  /**
   * Cost of each position in the rendezvous order for warm targets. It makes
   * requests return to the home target as soon as that has capacity.
   */
  readonly warmStepMs: number;
  /**
   * Additional cost of another zone besides the round trip: traffic between zones
   * is billed.
   */
  readonly crossZoneMs: number;
  /** Additional cost of another region besides the round trip. */
  readonly crossRegionMs: number;
  /** Cost of a target that fails all its requests. */
  readonly failingMs: number;
}

/** The default weights. */
export const DEFAULT_WEIGHTS: PlacementWeights = {
  unwarmed: 1.5,
  unwarmedStep: 0.7,
  warmStepMs: 15,
  crossZoneMs: 6,
  crossRegionMs: 10,
  failingMs: 1_500,
};

/** Ties between equal targets are broken in steps of 1/64 ms. */
const TIE_STEPS = 64;

/** Positions in the rendezvous order from this one on cost the same. */
export const MAX_POSITION = 8;

/** The chosen target. */
export interface Choice {
  readonly target: TargetId;
  /** Expected wait and round trip. */
  readonly expectedMs: number;
  /** Total cost of the target in milliseconds. */
  readonly cost: number;
}

/** A target that may be chosen. */
export interface Candidate {
  readonly target: PlacedTarget;
  /**
   * Position in the rendezvous order of the request's object among the usable
   * targets, 0 for its home; undefined for requests without an object. If homes are
   * assigned, the others are counted from 1.
   */
  readonly position: number | undefined;
  /** It is an assigned home of the request's object. */
  readonly isHome: boolean;
  readonly costs: TargetCosts;
}

/** Parameters that are common to all candidates. */
export interface ChoiceParams {
  /** Location of this VM. */
  readonly from: Location;
  readonly weights: PlacementWeights;
  /** Time that a target with the object cached saves for a request of this kind. */
  readonly savedMs: number;
}

/** The candidate with the lowest cost; undefined if there are no candidates. */
export function choose(
  candidates: readonly Candidate[],
  params: ChoiceParams,
): Choice | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = pathCost(candidate, params) + warmthCost(candidate, params);
    if (cost < bestCost) {
      bestCost = cost;
      best = candidate;
    }
  }
  return best && {
    target: best.target.id,
    expectedMs: best.costs.waitMs + best.costs.roundTripMs,
    cost: bestCost,
  };
}

/**
 * The lowest cost that an unwarmed target at or after {@link MAX_POSITION} can
 * have, in milliseconds.
 */
export function minCostFromMaxPosition(
  params: Pick<ChoiceParams, "weights" | "savedMs">,
): number {
  return unwarmedCost(MAX_POSITION, params);
}

function pathCost(
  { target, costs }: Candidate,
  { from, weights }: ChoiceParams,
): number {
  const cost = costs.roundTripMs + costs.waitMs + costs.extraRunMs +
    costs.failureShare * weights.failingMs;
  if (target.region !== from.region) {
    return cost + weights.crossRegionMs;
  }
  return target.zone === from.zone ? cost : cost + weights.crossZoneMs;
}

function warmthCost(
  { target, position, isHome, costs }: Candidate,
  params: ChoiceParams,
): number {
  if (isHome) {
    // Unwarmed, it has to be warmed by one request or another, so there is no
    // surcharge for keeping a slot busy for longer.
    return costs.isWarm ? 0 : params.savedMs;
  }
  if (position === undefined) {
    // Spreads requests over equal targets instead of filling them in list order.
    return target.hash % TIE_STEPS / TIE_STEPS;
  }
  if (position === 0) {
    return 0;
  }
  const step = Math.min(position, MAX_POSITION);
  return costs.isWarm
    ? step * params.weights.warmStepMs
    : unwarmedCost(step, params);
}

function unwarmedCost(
  position: number,
  { weights, savedMs }: Pick<ChoiceParams, "weights" | "savedMs">,
): number {
  return savedMs * (weights.unwarmed + (position - 1) * weights.unwarmedStep);
}
