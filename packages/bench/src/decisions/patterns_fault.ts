/**
 * Patterns of faults: slow, unresponsive and dead targets, false health
 * reports, and a loss of demand measurements.
 *
 * @module
 */

import type { SteeringEvent } from "@poplarthread/decisions";
import type { ServiceWorkload } from "./deployment.ts";
import type { FakeTarget } from "./fake_target.ts";
import { type Findings, type PatternContext, rowOf } from "./pattern.ts";
import { baseSpecOf } from "./patterns_load.ts";
import { run, type RunResult, type RunSpec } from "./runs.ts";
import { SteeringScheme } from "./scheme_steering.ts";
import type { World } from "./world.ts";

/** Simulated time at which a fault begins. */
export const FAULT_AT_MS = 4_000;

/** One target takes ten times as long for every request. */
export function slowTarget(ctx: PatternContext): Findings {
  return compareWithFault(ctx, {
    pattern: "slow target",
    bound: 1.2,
    othersOnly: true,
    fault: (world, targets) => {
      world.loop.after(FAULT_AT_MS, () => targets[0]!.faults.slowdown = 10);
    },
  });
}

/** One target accepts requests and never responds. */
export function unresponsiveTarget(ctx: PatternContext): Findings {
  return compareWithFault(ctx, {
    pattern: "silent target",
    bound: 1.2,
    othersOnly: true,
    fault: (world, targets) => {
      world.loop.after(
        FAULT_AT_MS,
        () => targets[0]!.faults.unresponsive = true,
      );
    },
  });
}

/** One target's process dies without notice. */
export function deadTarget(ctx: PatternContext): Findings {
  return compareWithFault(ctx, {
    pattern: "dead target",
    bound: 1.2,
    othersOnly: true,
    fault: (world, targets) => {
      world.loop.after(FAULT_AT_MS, () => targets[0]!.kill());
    },
  });
}

/** A third of the targets report that they are unhealthy, but work normally. */
export function falseHealthReports(ctx: PatternContext): Findings {
  return compareWithFault(ctx, {
    pattern: "lying reports",
    bound: 1.3,
    othersOnly: false,
    fault: (world, targets) => sendReports(world, targets, (i) => i % 3 !== 0),
  });
}

/** Every target reports that it is unhealthy, but works normally. */
export function allReportUnhealthy(ctx: PatternContext): Findings {
  return compareWithFault(ctx, {
    pattern: "all look dead",
    bound: 1.1,
    othersOnly: false,
    fault: (world, targets) => sendReports(world, targets, () => false),
  });
}

/** Demand is no longer measured; the last measurements only age. */
export function measurementsStop(ctx: PatternContext): Findings {
  return compareWithFault(ctx, {
    pattern: "measurements stop",
    bound: 1.1,
    othersOnly: false,
    fault: (world) => {
      world.loop.after(FAULT_AT_MS, () => {
        if (world.scheme instanceof SteeringScheme) {
          world.scheme.stopMeasuring();
        }
      });
    },
  });
}

function compareWithFault(
  ctx: PatternContext,
  opts: {
    pattern: string;
    bound: number;
    /** Takes p99 only over requests that did not go to the faulty target. */
    othersOnly: boolean;
    fault: (world: World, targets: FakeTarget[]) => void;
  },
): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  const runs = ctx.workloads.flatMap((workload) =>
    [0.6, 0.8].map((load) => ({ workload, load }))
  );
  for (const { workload, load } of runs) {
    const spec: RunSpec = {
      ...baseSpecOf(ctx, workload),
      scheme: "steering",
      load: () => load,
      warmUpSeconds: FAULT_AT_MS / 1_000,
    };
    const tagByTarget = (world: World): void => {
      const [faultyTarget] = targetsOf(world, workload);
      world.tagOf = ({ target }) =>
        target === faultyTarget!.entry.target ? "bad" : "other";
    };
    const runPair = (scheme: string): [RunResult, RunResult] => [
      run({ ...spec, scheme, events: tagByTarget }),
      run({
        ...spec,
        scheme,
        events: (world) => {
          tagByTarget(world);
          opts.fault(world, targetsOf(world, workload));
        },
      }),
    ];
    const [healthy, faulty] = runPair("steering");
    const [centralHealthy, centralFaulty] = runPair("central");
    const { pattern } = opts;
    const name = { pattern, service: workload.service, scheme: "steering" };
    findings.rows.push(rowOf({ ...name, load: load.toFixed(2) }, faulty));
    const p99 = (result: RunResult): number =>
      (opts.othersOnly
        ? result.metrics.byTag.get("other")!
        : result.metrics.all)
        .percentile(99);
    findings.checks.push({
      name: `${workload.service}: ${pattern} at ${load} load, p99 ${
        opts.othersOnly ? "of others' work " : ""
      }against without it`,
      value: p99(faulty) / p99(healthy),
      centralValue: p99(centralFaulty) / p99(centralHealthy),
      bound: opts.bound,
      comparison: "at most",
    }, {
      name: `${workload.service}: ${pattern} at ${load} load, goodput ` +
        "against without it",
      value: faulty.metrics.all.goodput / healthy.metrics.all.goodput,
      centralValue: centralFaulty.metrics.all.goodput /
        centralHealthy.metrics.all.goodput,
      bound: 0.99,
      comparison: "at least",
    });
  }
  return findings;
}

/** Targets of a service; the first is the one that faults are injected into. */
export function targetsOf(
  world: World,
  workload: ServiceWorkload,
): FakeTarget[] {
  return [...world.targets.values()].filter(({ entry }) =>
    entry.service === workload.service
  );
}

/** Delivers health reports once a second, each 500 ms old on delivery. */
function sendReports(
  world: World,
  targets: readonly FakeTarget[],
  healthy: (i: number) => boolean,
): void {
  targets.forEach(({ entry }, i) => {
    const event: SteeringEvent = {
      kind: "report",
      target: entry.target,
      healthy: healthy(i),
      ageMs: 500,
    };
    if (world.scheme instanceof SteeringScheme) world.scheme.notifyAll(event);
  });
  if (world.loop.now > world.countTo) return;
  world.loop.after(1_000, () => sendReports(world, targets, healthy));
}
