/**
 * Runs one scenario in its own process and prints its summary as one line of JSON:
 * `player.js SCENARIO FIRST-SEED SEEDS POLICY`.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { readScenario } from "./scenario.ts";
import { summaryOf } from "./summary.ts";
import { type Policy, runScenario } from "./world.ts";

const [file = "", first = "1", seeds = "1", policy = "gateway"] = process.argv
  .slice(2);
const scenario = readScenario(readFileSync(file, "utf8"));
const runs = Array.from(
  { length: Number(seeds) },
  (_, index) =>
    runScenario({
      scenario,
      seed: Number(first) + index,
      policy: policy as Policy,
    }),
);
console.log(JSON.stringify(summaryOf(scenario.name, runs)));
