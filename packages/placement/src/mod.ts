/**
 * Placement of requests on targets, computed consistently by all VMs.
 *
 * @module
 */

export {
  CreditBucket,
  type CreditLimit,
  creditLimit,
  type CreditOwner,
  KEEPER_PARTS,
  keepersOf,
  partOf,
  type Quota,
  type QuotaBound,
} from "./account_credit.ts";
export {
  type Choice,
  choose,
  DEFAULT_WEIGHTS,
  type PlacementWeights,
  type TargetCosts,
} from "./choose.ts";
export { ColdTargets } from "./cold_targets.ts";
export { FleetRetryBudget, type RetryBound } from "./fleet_retry_budget.ts";
export { hashText, pairWeight } from "./hash.ts";
export {
  fallbacksFor,
  rankedAbove,
  type RelayCandidate,
  relaysFor,
} from "./relays.ts";
export { RoundTrips } from "./round_trips.ts";
export { ServiceTimes } from "./service_times.ts";
export type { Place, PlacedTarget, SteeredTarget } from "./target.ts";
export { type HealthState, TargetHealth } from "./target_belief.ts";
export type { NamedLimit } from "./target_limits.ts";
export { type LoadReport, TargetLoad } from "./target_load.ts";
export { ownerOf, type TargetOwner } from "./target_owners.ts";
export { type SplitPart, WeightedSplit } from "./weighted_split.ts";
export { type Waiting, WaitingRoom } from "./waiting_room.ts";
export { type HashedPair, WarmObjects, type WarmPair } from "./warm_objects.ts";
export type {
  AttemptResult,
  PlacementDecision,
  PlacementRefusal,
  PlacementRequest,
  Warmth,
} from "./placement.ts";
export { Steering, type SteeringOptions } from "./steering.ts";
