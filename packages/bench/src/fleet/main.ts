/**
 * `npm run bench -- fleet`: runs scenarios of complete deployments in virtual time,
 * with the gateway's real placement decisions.
 *
 * @module
 */

import { execFile } from "node:child_process";
import { readdirSync } from "node:fs";
import { basename, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import meow from "meow";
import { ABLATIONS, bundleWithout } from "./ablations.ts";
import { type Summary, summaryLine, windowLines } from "./summary.ts";

const SCENARIOS = fileURLToPath(new URL("../../scenarios/", import.meta.url));
/** Excluded from ablations unless named, since one run of it takes a minute. */
const SLOW_SCENARIO = "stones-grown";

const HELP = `
  Usage
    npm run bench -- fleet [SCENARIO...] [options]

  SCENARIO is the path of a JSON file, or the name of a scenario in
  packages/bench/scenarios. Without it, all scenarios of that folder run.

  Options
    --seeds K        number of consecutive seeds (3)
    --seed N         the first seed (1)
    --policy NAME    gateway (the default), or oracle: an upper bound that knows the
                     queue of every target
    --without NAME   disables a mechanism; may be repeated
    --ablation       disables each mechanism in turn, and prints what is lost
    --processes P    processes that run scenarios at the same time (4)
    --windows        also prints the share earned in each window of two seconds

  Mechanisms: ${Object.keys(ABLATIONS).join(", ")}
`;

interface PlayerRun {
  /** Path of the bundled player. */
  readonly player: string;
  /** Path of a scenario's file, or the name of a scenario. */
  readonly scenario: string;
}

/** Runs the scenarios named on the command line and prints their figures. */
export async function run(argv: readonly string[]): Promise<void> {
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
      without: {
        type: "string",
        isMultiple: true,
        choices: Object.keys(ABLATIONS),
        default: [],
      },
      ablation: { type: "boolean", default: false },
      processes: { type: "number", default: 4 },
      windows: { type: "boolean", default: false },
    },
  });
  const { seed, seeds, policy, processes, windows, ablation } = cli.flags;
  const runAll = (runs: readonly PlayerRun[]) =>
    mapConcurrently(
      runs,
      processes,
      ({ player, scenario }) =>
        runPlayer(player, [
          scenarioPath(scenario),
          String(seed),
          String(seeds),
          policy,
        ]),
    );
  if (ablation) {
    await printAblations(cli.input, runAll);
    return;
  }
  const player = await bundleWithout(cli.flags.without);
  const scenarios = cli.input.length > 0 ? cli.input : defaultScenarios();
  const summaries = await runAll(
    scenarios.map((scenario) => ({ player, scenario })),
  );
  for (const summary of summaries) {
    console.log(summaryLine(summary));
    if (windows) {
      console.log(windowLines(summary));
    }
  }
}

/** Prints a table of the change in each scenario's worth without each mechanism. */
async function printAblations(
  named: readonly string[],
  runAll: (runs: readonly PlayerRun[]) => Promise<readonly Summary[]>,
): Promise<void> {
  const scenarios = named.length > 0
    ? named
    : defaultScenarios().filter((name) => name !== SLOW_SCENARIO);
  const unchanged = await bundleWithout([]);
  const base = await runAll(
    scenarios.map((scenario) => ({ player: unchanged, scenario })),
  );
  const names = base.map(({ scenario }) => scenario);
  console.log(`| without | ${names.join(" | ")} | mean |`);
  console.log(`| --- |${" ---: |".repeat(names.length + 1)}`);
  console.log(tableRow("nothing: worth", base.map(({ worth }) => worth)));
  for (const name of Object.keys(ABLATIONS)) {
    const player = await bundleWithout([name]);
    const ablated = await runAll(
      scenarios.map((scenario) => ({ player, scenario })),
    );
    console.log(
      tableRow(
        name,
        ablated.map(({ worth }, index) => worth - base[index]!.worth),
      ),
    );
  }
}

function tableRow(name: string, figures: readonly number[]): string {
  const mean = figures.reduce((sum, one) => sum + one, 0) / figures.length;
  const cells = [...figures, mean].map((one) => one.toFixed(3));
  return `| ${name} | ${cells.join(" | ")} |`;
}

function defaultScenarios(): readonly string[] {
  return readdirSync(SCENARIOS).filter((name) => name.endsWith(".json"))
    .map((name) => basename(name, ".json")).toSorted();
}

function scenarioPath(scenario: string): string {
  return scenario.endsWith(".json")
    ? scenario
    : join(SCENARIOS, `${scenario}.json`);
}

async function runPlayer(
  player: string,
  args: readonly string[],
): Promise<Summary> {
  const { stdout } = await promisify(execFile)(process.execPath, [
    player,
    ...args,
  ]);
  return JSON.parse(stdout) as Summary;
}

/** Runs `work` on each item, at most `maxConcurrent` at a time; returns results in the items' order. */
async function mapConcurrently<T, R>(
  items: readonly T[],
  maxConcurrent: number,
  work: (item: T) => Promise<R>,
): Promise<readonly R[]> {
  const results: R[] = [];
  let next = 0;
  const worker = async () => {
    for (let index = next++; index < items.length; index = next++) {
      results[index] = await work(items[index]!);
    }
  };
  await Promise.all(Array.from({ length: maxConcurrent }, worker));
  return results;
}
