/**
 * `npm run bench -- fleet`: days of whole deployments in virtual time, with the
 * gateway's own decisions.
 *
 * @module
 */

import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";
import meow from "meow";
import { readScenario, type Scenario } from "./scenario.ts";
import { type Figures, figuresOf, meanOf, windowShares } from "./tally.ts";
import { play, type Policy, type RunResult } from "./world.ts";

const SCENARIOS = fileURLToPath(new URL("../../scenarios/", import.meta.url));

const HELP = `
  Usage
    npm run bench -- fleet [SCENARIO...] [options]

  A scenario is a JSON file, or the name of one in packages/bench/scenarios; all of
  those if none is named.

  Options
    --seeds K       how many seeds, from the first on (3)
    --seed N        the first seed (1)
    --policy NAME   gateway, or oracle: a bound that knows every target's queue
    --windows       shares by window of two seconds, too
    --json          figures as JSON lines
`;

/** Runs the experiment. */
export function run(argv: readonly string[]): Promise<void> {
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv,
    flags: {
      seeds: { type: "number", default: 3 },
      seed: { type: "number", default: 1 },
      policy: {
        type: "string",
        choices: ["gateway", "oracle"],
        default: "gateway",
      },
      windows: { type: "boolean", default: false },
      json: { type: "boolean", default: false },
    },
  });
  const { seeds, seed: first, windows, json } = cli.flags;
  const policy = cli.flags.policy as Policy;
  const scenarios = cli.input.length > 0 ? cli.input : ownScenarios();
  for (const named of scenarios) {
    const scenario = load(named);
    const runs: RunResult[] = [];
    for (let seed = first; seed < first + seeds; seed++) {
      runs.push(play({ scenario, seed, policy }));
    }
    const figures = meanOf(runs.map(({ requests }) => figuresOf(requests)));
    console.log(
      json
        ? JSON.stringify({ scenario: scenario.name, policy, ...figures })
        : lineOf(scenario, figures, runs),
    );
    if (windows) {
      console.log(windowLine(runs));
    }
  }
  return Promise.resolve();
}

function ownScenarios(): readonly string[] {
  return readdirSync(SCENARIOS).filter((name) => name.endsWith(".json"))
    .map((name) => basename(name, ".json")).toSorted();
}

function load(named: string): Scenario {
  const file = named.endsWith(".json")
    ? named
    : join(SCENARIOS, `${named}.json`);
  return readScenario(readFileSync(file, "utf8"));
}

function lineOf(
  { name }: Scenario,
  figures: Figures,
  runs: readonly RunResult[],
): string {
  const kinds = Object.entries(figures.byKind)
    .map(([kind, share]) => `${kind} ${share.toFixed(3)}`).join(", ");
  const meanOver = (valueOf: (one: RunResult) => number) =>
    runs.reduce((sum, one) => sum + valueOf(one), 0) / runs.length;
  const attempts = runs.reduce((sum, one) => sum + one.attempts, 0);
  const requests = runs.reduce((sum, one) => sum + one.requests.length, 0);
  const breaches = runs.reduce((sum, one) => sum + one.coldBreaches, 0);
  return `${name.padEnd(14)} worth ${figures.worth.toFixed(3)} ` +
    `whole ${figures.whole.toFixed(3)} worst windows ` +
    `${figures.worstWindows.toFixed(3)} zone ${figures.worstZone.toFixed(3)} ` +
    `| late ${figures.late.toFixed(3)} refused ${figures.refused.toFixed(3)} ` +
    `failed ${figures.failed.toFixed(3)} | ${kinds} | ` +
    `warm ${meanOver(({ warmShare }) => warmShare).toFixed(3)}, wait ` +
    `${meanOver(({ targetWaitMs }) => targetWaitMs).toFixed(0)} ms, ` +
    `${(attempts / requests).toFixed(2)} attempts` +
    (breaches > 0 ? `, ${breaches} cold breaches` : "");
}

function windowLine(runs: readonly RunResult[]): string {
  return runs.map(({ requests }) =>
    windowShares(requests).map(({ share }) => share.toFixed(2)).join(" ")
  ).join("\n");
}
