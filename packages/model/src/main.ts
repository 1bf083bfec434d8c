/**
 * Prints, for each model, the states explored and the bounds.
 *
 * @module
 */

import process from "node:process";
import { acceptance, followerCore } from "@poplarthread/coordination/cores";
import { configurationModel } from "./configuration_model.ts";
import { type Exploration, explore } from "./explore.ts";

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
];

const models = RUNS.map((run) => run());
console.log(JSON.stringify({ models }, undefined, 2));
if (models.some(({ violation }) => violation !== undefined)) {
  process.exitCode = 1;
}
