/**
 * `npm run bench -- decisions`: compares the production decisions with a
 * central queue and with common load-balancing schemes, under patterns of load
 * and faults.
 *
 * @module
 */

import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import meow from "meow";
import { DEPLOYMENTS } from "./deployment.ts";
import {
  type Check,
  type Findings,
  passes,
  type Pattern,
  type PatternContext,
} from "./pattern.ts";
import * as faults from "./patterns_fault.ts";
import * as loads from "./patterns_load.ts";
import * as shifts from "./patterns_shift.ts";
import { writePlots } from "./plots.ts";
import { checkTable, mergeFindings, rowTable } from "./report.ts";

const PATTERNS: Readonly<Record<string, Pattern>> = {
  steady: loads.steady,
  saturation: loads.saturation,
  burst: loads.burst,
  callers: loads.hotCaller,
  long: loads.longAmongShort,
  premiere: loads.premiere,
  slow: faults.slowTarget,
  silent: faults.unresponsiveTarget,
  dead: faults.deadTarget,
  lying: faults.falseHealthReports,
  "all-dead": faults.allReportUnhealthy,
  stops: faults.measurementsStop,
  region: shifts.regionLoss,
  drain: shifts.plannedDrain,
  recovery: shifts.recovery,
};

/** Schemes in every comparison. */
const COMPARED_SCHEMES = [
  "steering",
  "central",
  "two-choices",
  "round-robin",
  "random",
];
/** Schemes that only a full run adds. */
const ALTERNATIVE_SCHEMES = [
  "hash-lending",
  "no-lending",
  "forwarding",
  "probing",
];

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
      throw new RangeError(
        `Cannot run the bench: unknown deployment "${name}"`,
      );
    }
    const findings = runPatterns({
      deployment,
      workloads: deployment.workloads,
      schemes: COMPARED_SCHEMES,
      alternatives: flags.quick ? [] : ALTERNATIVE_SCHEMES,
      seed: flags.seed,
      quick: flags.quick,
    }, flags.pattern);
    console.log(`\n## ${name}, seed ${flags.seed}\n`);
    if (flags.rows) console.log(`${rowTable(findings.rows)}\n`);
    console.log(checkTable(findings.checks));
    console.log(`\n${summary(findings.checks)}`);
    if (flags.report !== undefined) {
      await writeReport(findings, {
        dir: flags.report,
        name,
        seed: flags.seed,
      });
    }
  }
}

function runPatterns(ctx: PatternContext, only?: string): Findings {
  const results = Object.entries(PATTERNS)
    .filter(([name]) => only === undefined || only === name)
    .map(([name, pattern]) => {
      const start = performance.now();
      const findings = pattern(ctx);
      const seconds = (performance.now() - start) / 1_000;
      process.stderr.write(`${name}: ${seconds.toFixed(1)} s\n`);
      return findings;
    });
  return mergeFindings(results.map(withSlotCheck));
}

/** Adds the check that `steering` never sends a target more requests than it
 * has slots, which must hold in every pattern. */
function withSlotCheck(findings: Findings): Findings {
  const steeringRows = findings.rows.filter(({ scheme }) =>
    scheme === "steering"
  );
  const [first] = steeringRows;
  if (first === undefined) return findings;
  const check: Check = {
    name: `${first.pattern}: most requests at a target over its slots`,
    value: Math.max(0, ...steeringRows.map(({ maxOverSlots }) => maxOverSlots)),
    bound: 0,
    comparison: "at most",
  };
  return { ...findings, checks: [...findings.checks, check] };
}

function summary(checks: readonly Check[]): string {
  const failed = checks.filter((check) => !passes(check)).length;
  return `${
    checks.length - failed
  } of ${checks.length} bars pass, ${failed} miss`;
}

async function writeReport(
  findings: Findings,
  opts: { dir: string; name: string; seed: number },
): Promise<void> {
  const { dir, name } = opts;
  const plots = await writePlots(findings.points, {
    dir,
    prefix: `decisions-${name}`,
  });
  const text = [
    `# Decisions under load: ${name}`,
    `Written by \`npm run bench -- decisions --report ${dir}\`, seed ${opts.seed}.`,
    summary(findings.checks),
    checkTable(findings.checks),
    ...plots.map((plot) => `![${plot}](${plot})`),
    rowTable(findings.rows),
  ].join("\n\n");
  await writeFile(join(dir, `decisions-${name}.md`), `${text}\n`);
}
