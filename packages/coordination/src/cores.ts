/**
 * The pure cores that the tasks of this package run, for model checking and for
 * services that provide their own tasks.
 *
 * @module
 */

export * as acceptance from "./configuration/acceptance.ts";
export * as followerCore from "./configuration/follower_core.ts";
export * as inForce from "./configuration/in_force.ts";
export * as leaseCore from "./lease/lease_core.ts";
export * as attemptCore from "./claims/attempt.ts";
export * as claimRow from "./claims/claim_row.ts";
export * as termCore from "./plan_term/term.ts";
