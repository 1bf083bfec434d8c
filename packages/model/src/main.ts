/**
 * Prints, for each model, the states explored and the bounds.
 *
 * @module
 */

import process from "node:process";
import { acceptance, followerCore } from "@poplarthread/coordination/cores";
import { DEFAULT_RULES } from "@poplarthread/coordination";
import { configurationModel } from "./configuration_model.ts";
import { type EscrowBounds, escrowModel } from "./escrow_model.ts";
import { type Exploration, explore } from "./explore.ts";

/** Loans; moves to another owner; a restart amid loans. */
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

/** Each exploration, started one after the other, so that one's memory is freed before the next. */
const RUNS: readonly (() => Exploration<unknown, unknown>)[] = [
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
  ...ESCROW.map((bounds) => () =>
    explore(escrowModel(bounds, { rules: DEFAULT_RULES, remembers: false }))
  ),
];

const models = RUNS.map((run) => run());
console.log(JSON.stringify({ models }, undefined, 2));
if (models.some(({ violation }) => violation !== undefined)) {
  process.exitCode = 1;
}
