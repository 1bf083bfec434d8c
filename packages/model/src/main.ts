/**
 * Explores all models and prints, for each one, its bounds, the number of states
 * and transitions, and the violation, if any. Exits with 1 on a violation.
 *
 * @module
 */

import process from "node:process";
import {
  acceptance,
  attemptCore,
  followerCore,
  inForce,
  leaseCore,
} from "@poplarthread/coordination/cores";
import { type ClaimsBounds, claimsModel } from "./claims_model.ts";
import { DEFAULT_RULES, HeldBack } from "@poplarthread/coordination";
import { configurationModel } from "./configuration_model.ts";
import { type EscrowBounds, escrowModel } from "./escrow_model.ts";
import { type Exploration, explore } from "./explore.ts";
import { heldBackModel } from "./held_back_model.ts";
import { heldBackReportsModel } from "./held_back_reports_model.ts";
import * as homeProtocol from "@poplarthread/placement/home-protocol";
import { type HomesBounds, homesModel, SAFE_HOMES } from "./homes_model.ts";
import { type LeaseBounds, leaseModel } from "./lease_model.ts";
import {
  ONE_HOLDER,
  ONE_USER,
  type PlanTermBounds,
  planTermModel,
} from "./plan_term_model.ts";

const LEASE: LeaseBounds = {
  contenders: 2,
  calls: 4,
  ticks: 0,
  losses: 0,
  crashes: 0,
  stops: 0,
  plans: 0,
  revisions: 0,
};

const CLAIMS: ClaimsBounds = {
  sendings: 2,
  otherBody: 0,
  vms: 2,
  losses: 0,
  crashes: 0,
  expiries: 0,
};

/** Loans; moves of slots to another owner; a restart during loans. */
const ESCROW: readonly EscrowBounds[] = [
  {
    vms: 2,
    slots: 2,
    steps: 3,
    inFlight: 2,
    repeats: 1,
    restarts: 0,
    wishes: 2,
    stay: 0,
  },
  {
    vms: 2,
    slots: 2,
    steps: 3,
    inFlight: 2,
    repeats: 0,
    restarts: 0,
    wishes: 0,
    stay: 1,
  },
  {
    vms: 2,
    slots: 2,
    steps: 4,
    inFlight: 1,
    repeats: 0,
    restarts: 1,
    wishes: 2,
    stay: 0,
  },
];

/**
 * A VM that is partitioned; in addition, another VM that restarts; a VM that
 * reads the table late.
 */
const PLAN_TERMS: readonly PlanTermBounds[] = [
  { steps: 3, renewals: 2, reads: 0, restarts: 0 },
  { steps: 3, renewals: 1, reads: 0, restarts: 1 },
  { steps: 3, renewals: 1, reads: 1, restarts: 0 },
];

const HOMES: HomesBounds = {
  steps: 0,
  changes: 2,
  updates: 2,
  reports: 2,
  losses: 1,
  repeats: 0,
  replacement: undefined,
  leaves: false,
};

/** Repeated messages; a restarted owner; two owners; a new owner in time; a target that leaves. */
const ALL_HOMES: readonly HomesBounds[] = [
  { ...HOMES, updates: 3, repeats: 1 },
  { ...HOMES, replacement: "same" },
  { ...HOMES, replacement: "other" },
  { ...HOMES, steps: 3, reports: 1, losses: 0, replacement: "other" },
  { ...HOMES, reports: 1, losses: 0, replacement: "other", leaves: true },
];

/**
 * The explorations, run one after the other so that the memory of each is freed
 * before the next.
 */
const EXPLORATIONS: readonly (() => Exploration<unknown, unknown>)[] = [
  () =>
    explore(configurationModel(
      { operators: 2, retries: 1, losses: 2, followers: 0, polls: 0 },
      acceptance,
      followerCore,
    )),
  () =>
    explore(configurationModel(
      { operators: 3, retries: 0, losses: 2, followers: 0, polls: 0 },
      acceptance,
      followerCore,
    )),
  () =>
    explore(configurationModel(
      { operators: 2, retries: 1, losses: 1, followers: 1, polls: 1 },
      acceptance,
      followerCore,
    )),
  () =>
    explore(leaseModel(
      { ...LEASE, calls: 5, ticks: 3, losses: 1, plans: 1 },
      leaseCore,
      inForce,
    )),
  () =>
    explore(leaseModel(
      { ...LEASE, ticks: 3, crashes: 1, plans: 1 },
      leaseCore,
      inForce,
    )),
  () =>
    explore(leaseModel(
      { ...LEASE, stops: 1, plans: 2, revisions: 1 },
      leaseCore,
      inForce,
    )),
  () =>
    explore(claimsModel({ ...CLAIMS, losses: 1, expiries: 1 }, attemptCore)),
  () => explore(claimsModel({ ...CLAIMS, losses: 1, crashes: 1 }, attemptCore)),
  () => explore(claimsModel({ ...CLAIMS, losses: 2 }, attemptCore)),
  () =>
    explore(claimsModel({ ...CLAIMS, losses: 1, otherBody: 1 }, attemptCore)),
  () => explore(claimsModel({ ...CLAIMS, sendings: 3 }, attemptCore)),
  () =>
    explore(heldBackModel(
      { vms: 2, sendings: 2, completions: 1, repeats: 1 },
      { HeldBack },
    )),
  () =>
    explore(heldBackReportsModel(
      { vms: 2, sendings: 3, completions: 0, restarts: 1, copies: 1 },
      { HeldBack },
    )),
  () =>
    explore(heldBackReportsModel(
      { vms: 2, sendings: 3, completions: 1, restarts: 0, copies: 1 },
      { HeldBack },
    )),
  ...PLAN_TERMS.map((bounds) => () =>
    explore(planTermModel(bounds), [ONE_USER, ONE_HOLDER])
  ),
  ...ALL_HOMES.map((bounds) => () =>
    explore(homesModel(bounds, homeProtocol), SAFE_HOMES)
  ),
  ...ESCROW.map((bounds) => () =>
    explore(escrowModel(bounds, { rules: DEFAULT_RULES, keepsState: false }))
  ),
];

const models = EXPLORATIONS.map((runExploration) => runExploration());
console.log(JSON.stringify({ models }, undefined, 2));
if (models.some(({ violation }) => violation !== undefined)) {
  process.exitCode = 1;
}
