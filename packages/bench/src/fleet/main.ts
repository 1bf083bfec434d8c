/**
 * `npm run bench -- fleet`: days of whole deployments in virtual time, with the
 * gateway's own decisions.
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
import { lineOf, type Summary, windowLines } from "./summary.ts";

const SCENARIOS = fileURLToPath(new URL("../../scenarios/", import.meta.url));
/** Left out of ablations unless named: a day of it takes a minute. */
const LARGE = "stones-grown";

const HELP = `
  Usage
    npm run bench -- fleet [SCENARIO...] [options]

  A scenario is a JSON file, or the name of one in packages/bench/scenarios; all of
  those if none is named.

  Options
    --seeds K        how many seeds, from the first on (3)
    --seed N         the first seed (1)
    --policy NAME    gateway, or oracle: a bound that knows every target's queue
    --without NAME   leaves a mechanism out; may stand several times
    --ablation       leaves out one mechanism after the other
    --processes P    runs at the same time (4)
    --windows        shares by window of two seconds, too

  Mechanisms: ${Object.keys(ABLATIONS).join(", ")}
`;

interface Play {
  readonly player: string;
  readonly scenario: string;
}

/** Runs the experiment. */
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
  const playAll = (plays: readonly Play[]) =>
    inTurn(plays, processes, ({ player, scenario }) =>
      playOne(player, [
        fileOf(scenario),
        String(seed),
        String(seeds),
        policy,
      ]));
  if (ablation) {
    await ablate(cli.input, playAll);
    return;
  }
  const player = await bundleWithout(cli.flags.without);
  const scenarios = cli.input.length > 0 ? cli.input : ownScenarios();
  const summaries = await playAll(
    scenarios.map((scenario) => ({ player, scenario })),
  );
  for (const summary of summaries) {
    console.log(lineOf(summary));
    if (windows) {
      console.log(windowLines(summary));
    }
  }
}

/** A table: what is lost of the worth of each scenario without each mechanism. */
async function ablate(
  named: readonly string[],
  playAll: (plays: readonly Play[]) => Promise<readonly Summary[]>,
): Promise<void> {
  const scenarios = named.length > 0
    ? named
    : ownScenarios().filter((name) => name !== LARGE);
  const whole = await bundleWithout([]);
  const base = await playAll(
    scenarios.map((scenario) => ({ player: whole, scenario })),
  );
  const names = base.map(({ scenario }) => scenario);
  console.log(`| without | ${names.join(" | ")} | mean |`);
  console.log(`| --- |${" ---: |".repeat(names.length + 1)}`);
  console.log(row("nothing: worth", base.map(({ worth }) => worth)));
  for (const name of Object.keys(ABLATIONS)) {
    const player = await bundleWithout([name]);
    const changed = await playAll(
      scenarios.map((scenario) => ({ player, scenario })),
    );
    console.log(
      row(name, changed.map(({ worth }, at) => worth - base[at]!.worth)),
    );
  }
}

function row(name: string, figures: readonly number[]): string {
  const mean = figures.reduce((sum, one) => sum + one, 0) / figures.length;
  const cells = [...figures, mean].map((one) => one.toFixed(3));
  return `| ${name} | ${cells.join(" | ")} |`;
}

function ownScenarios(): readonly string[] {
  return readdirSync(SCENARIOS).filter((name) => name.endsWith(".json"))
    .map((name) => basename(name, ".json")).toSorted();
}

function fileOf(scenario: string): string {
  return scenario.endsWith(".json")
    ? scenario
    : join(SCENARIOS, `${scenario}.json`);
}

async function playOne(
  player: string,
  args: readonly string[],
): Promise<Summary> {
  const { stdout } = await promisify(execFile)(process.execPath, [
    player,
    ...args,
  ]);
  return JSON.parse(stdout) as Summary;
}

/** Does `work` for all items, `most` at a time; results in the items' order. */
async function inTurn<T, R>(
  items: readonly T[],
  most: number,
  work: (item: T) => Promise<R>,
): Promise<readonly R[]> {
  const results: R[] = [];
  let next = 0;
  const worker = async () => {
    for (let at = next++; at < items.length; at = next++) {
      results[at] = await work(items[at]!);
    }
  };
  await Promise.all(Array.from({ length: most }, worker));
  return results;
}
