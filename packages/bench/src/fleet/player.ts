/**
 * Plays one scenario in a process of its own and prints its figures as a JSON
 * line: `player.js SCENARIO FIRST-SEED SEEDS POLICY`.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { readScenario } from "./scenario.ts";
import { summaryOf } from "./summary.ts";
import { play, type Policy } from "./world.ts";

const [file = "", first = "1", seeds = "1", policy = "gateway"] = process.argv
  .slice(2);
const scenario = readScenario(readFileSync(file, "utf8"));
const runs = Array.from(
  { length: Number(seeds) },
  (_, at) =>
    play({ scenario, seed: Number(first) + at, policy: policy as Policy }),
);
console.log(JSON.stringify(summaryOf(scenario.name, runs)));
