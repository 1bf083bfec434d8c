/**
 * `npm run bench -- decisions`: the production decisions against a central
 * queue and the usual ways, through patterns of load and faults.
 *
 * @module
 */

import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import meow from "meow";
import { DEPLOYMENTS } from "./deployment.ts";
import {
  type Bar,
  type Findings,
  holds,
  type Pattern,
  type PatternContext,
} from "./pattern.ts";
import * as faults from "./patterns_fault.ts";
import * as loads from "./patterns_load.ts";
import * as shifts from "./patterns_shift.ts";
import { writePlots } from "./plots.ts";
import { barTable, joined, rowTable } from "./report.ts";

const PATTERNS: Readonly<Record<string, Pattern>> = {
  steady: loads.steady,
  saturation: loads.saturation,
  burst: loads.burst,
  callers: loads.fewCallers,
  long: loads.longAmongShort,
  premiere: loads.premiere,
  slow: faults.slowTarget,
  silent: faults.silentTarget,
  dead: faults.deadTarget,
  lying: faults.lyingReports,
  "all-dead": faults.allLookDead,
  stops: faults.measurementsStop,
  region: shifts.regionLoss,
  drain: shifts.plannedDrain,
  recovery: shifts.recovery,
};

/** Schemes in every comparison, and those that only a full run adds. */
const USUAL = ["steering", "central", "two-choices", "round-robin", "random"];
const ALTERNATIVES = ["hash-lending", "no-lending", "forwarding", "probing"];

const HELP = `
  Usage
    npm run bench -- decisions [options]

  Options
    --quick              shorter runs
    --deployment NAME    ${
  Object.keys(DEPLOYMENTS).join(" or ")
}; both if left out
    --pattern NAME       one of ${Object.keys(PATTERNS).join(", ")}
    --seed NUMBER        7 if left out; the same seed gives the same figures
    --rows               print every row, not only the bars
    --report DIR         write tables and plots there

  Examples
    npm run bench -- decisions --quick
    npm run bench -- decisions --report docs/reports
`;

/** Runs the experiment. */
export async function run(args: readonly string[]): Promise<void> {
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv: args,
    flags: {
      quick: { type: "boolean", default: false },
      deployment: { type: "string" },
      pattern: { type: "string" },
      seed: { type: "number", default: 7 },
      rows: { type: "boolean", default: false },
      report: { type: "string" },
    },
  });
  const { flags } = cli;
  const names = flags.deployment
    ? [flags.deployment]
    : Object.keys(DEPLOYMENTS);
  for (const name of names) {
    const deployment = DEPLOYMENTS[name];
    if (deployment === undefined) {
      throw new RangeError(`Cannot run the bench: no deployment ${name}`);
    }
    const found = runPatterns({
      deployment,
      work: deployment.work,
      schemes: USUAL,
      alternatives: flags.quick ? [] : ALTERNATIVES,
      seed: flags.seed,
      quick: flags.quick,
    }, flags.pattern);
    console.log(`\n## ${name}, seed ${flags.seed}\n`);
    if (flags.rows) console.log(`${rowTable(found.rows)}\n`);
    console.log(barTable(found.bars));
    console.log(`\n${summary(found.bars)}`);
    if (flags.report !== undefined) {
      await writeReport(found, { dir: flags.report, name, seed: flags.seed });
    }
  }
}

function runPatterns(ctx: PatternContext, only?: string): Findings {
  const found = Object.entries(PATTERNS)
    .filter(([name]) => only === undefined || only === name)
    .map(([name, pattern]) => {
      const start = performance.now();
      const findings = pattern(ctx);
      const seconds = (performance.now() - start) / 1_000;
      process.stderr.write(`${name}: ${seconds.toFixed(1)} s\n`);
      return findings;
    });
  return joined(found.map(withSlotBar));
}

/** Whatever the pattern, our scheme never sends a target more than its slots. */
function withSlotBar(findings: Findings): Findings {
  const ours = findings.rows.filter(({ scheme }) => scheme === "steering");
  const [first] = ours;
  if (first === undefined) return findings;
  const bar: Bar = {
    name: `${first.pattern}: most requests at a target over its slots`,
    value: Math.max(0, ...ours.map(({ mostOver }) => mostOver)),
    bound: 0,
    sense: "at most",
  };
  return { ...findings, bars: [...findings.bars, bar] };
}

function summary(bars: readonly Bar[]): string {
  const missed = bars.filter((bar) => !holds(bar)).length;
  return `${bars.length - missed} of ${bars.length} bars pass, ${missed} miss`;
}

async function writeReport(
  found: Findings,
  opts: { dir: string; name: string; seed: number },
): Promise<void> {
  const { dir, name } = opts;
  const plots = await writePlots(found.points, {
    dir,
    prefix: `decisions-${name}`,
  });
  const text = [
    `# Decisions under load: ${name}`,
    `Written by \`npm run bench -- decisions --report ${dir}\`, seed ${opts.seed}.`,
    summary(found.bars),
    barTable(found.bars),
    ...plots.map((plot) => `![${plot}](${plot})`),
    rowTable(found.rows),
  ].join("\n\n");
  await writeFile(join(dir, `decisions-${name}.md`), `${text}\n`);
}
