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
  creditOwners,
  OWNER_SHARES,
  type Quota,
  type QuotaBound,
  scaleLimit,
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
export type {
  HomeRequest,
  HomesLookup,
  HomeSource,
} from "./homes/home_source.ts";
export {
  HOME_TICK_MS,
  type HomeAgent,
  type HomeAgentOptions,
  type HomeCounts,
  type HomeTarget,
  type OutgoingHomeMessage,
  type OwnedHomes,
  type ServiceDemand,
} from "./homes/home_agent.ts";
export { HomeCoordinator } from "./homes/home_coordinator.ts";
export type {
  DemandReport,
  HomeMessage,
  HomeQuery,
  ObjectDemand,
  ObjectHomes,
  ObservedLoad,
  OwnerTerm,
  PriorityDemand,
  RoomShare,
  TargetObservation,
  TargetShare,
} from "./homes/messages.ts";
export {
  fallbacksFor,
  rankedAbove,
  type RelayCandidate,
  relaysFor,
} from "./relays.ts";
export type { RetryCounts, RetryDenial, RetryTotals } from "./retries.ts";
export { RoomPlans } from "./room/room_plans.ts";
export {
  type PriorityOffer,
  regionCapacity,
  type RegionUse,
  RoomPlanner,
  type ServiceRoom,
} from "./room/room_shares.ts";
export type { GateCause, GateCounts } from "./room/room_gate.ts";
export type { VmRoom } from "./room/vm_room.ts";
export { RoundTrips } from "./round_trips.ts";
export { ServiceTimes } from "./service_times.ts";
export type { Location, PlacedTarget, SteeredTarget } from "./target.ts";
export { type HealthState, TargetHealth } from "./target_health.ts";
export type { ReportedLimit } from "./target_limits.ts";
export { type LoadReport, TargetLoad } from "./target_load.ts";
export type { ReachCheck, ReachState } from "./target_reach.ts";
export { ownerOf, type TargetOwner } from "./target_owners.ts";
export { type SplitPart, WeightedSplit } from "./weighted_split.ts";
export { type QueuedRequest, WaitQueue } from "./wait_queue.ts";
export { type HashedPair, WarmObjects, type WarmPair } from "./warm_objects.ts";
export type {
  AttemptResult,
  PlacedVia,
  PlacementDecision,
  PlacementDemand,
  PlacementRefusal,
  PlacementRefused,
  PlacementRequest,
  Warmth,
} from "./placement.ts";
export { Steering, type SteeringOptions } from "./steering.ts";
