/**
 * Patterns of faults: slow, silent, dead and lying targets, measurements that
 * stop.
 *
 * @module
 */

import type { SteeringEvent } from "@poplarthread/decisions";
import type { ServiceWork } from "./deployment.ts";
import type { FakeTarget } from "./fake_target.ts";
import { type Findings, type PatternContext, rowOf } from "./pattern.ts";
import { specOf } from "./patterns_load.ts";
import { run, type RunResult, type RunSpec } from "./runs.ts";
import { SteeringScheme } from "./scheme_steering.ts";
import type { World } from "./world.ts";

/** When a fault begins. */
export const FAULT_MS = 4_000;
/** One target becomes ten times as slow. */
export function slowTarget(ctx: PatternContext): Findings {
  return faulty(ctx, {
    pattern: "slow target",
    bound: 1.2,
    others: true,
    fault: (world, targets) => {
      world.loop.after(FAULT_MS, () => targets[0]!.faults.slowness = 10);
    },
  });
}

/** One target takes requests and never answers. */
export function silentTarget(ctx: PatternContext): Findings {
  return faulty(ctx, {
    pattern: "silent target",
    bound: 1.2,
    others: true,
    fault: (world, targets) => {
      world.loop.after(FAULT_MS, () => targets[0]!.faults.silent = true);
    },
  });
}

/** One target's process dies without a word. */
export function deadTarget(ctx: PatternContext): Findings {
  return faulty(ctx, {
    pattern: "dead target",
    bound: 1.2,
    others: true,
    fault: (world, targets) => {
      world.loop.after(FAULT_MS, () => targets[0]!.kill());
    },
  });
}

/** A third of the targets report that they are ill, and are not. */
export function lyingReports(ctx: PatternContext): Findings {
  return faulty(ctx, {
    pattern: "lying reports",
    bound: 1.3,
    others: false,
    fault: (world, targets) => report(world, targets, (i) => i % 3 !== 0),
  });
}

/** Every target reports that it is ill. */
export function allLookDead(ctx: PatternContext): Findings {
  return faulty(ctx, {
    pattern: "all look dead",
    bound: 1.1,
    others: false,
    fault: (world, targets) => report(world, targets, () => false),
  });
}

/** Demand is measured no more; what was known grows old. */
export function measurementsStop(ctx: PatternContext): Findings {
  return faulty(ctx, {
    pattern: "measurements stop",
    bound: 1.1,
    others: false,
    fault: (world) => {
      world.loop.after(FAULT_MS, () => {
        if (world.scheme instanceof SteeringScheme) {
          world.scheme.stopMeasuring();
        }
      });
    },
  });
}

function faulty(
  ctx: PatternContext,
  opts: {
    pattern: string;
    bound: number;
    /** Counts only requests that the faulty target did not get. */
    others: boolean;
    fault: (world: World, targets: FakeTarget[]) => void;
  },
): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  const runs = ctx.work.flatMap((work) =>
    [0.6, 0.8].map((load) => ({ work, load }))
  );
  for (const { work, load } of runs) {
    const spec: RunSpec = {
      ...specOf(ctx, work),
      scheme: "steering",
      load: () => load,
      warmUpSeconds: FAULT_MS / 1_000,
    };
    const tagOthers = (world: World): void => {
      const [bad] = targetsOf(world, work);
      world.tagOf = ({ target }) =>
        target === bad!.entry.target ? "bad" : "other";
    };
    const pair = (scheme: string): [RunResult, RunResult] => [
      run({ ...spec, scheme, events: tagOthers }),
      run({
        ...spec,
        scheme,
        events: (world) => {
          tagOthers(world);
          opts.fault(world, targetsOf(world, work));
        },
      }),
    ];
    const [well, ill] = pair("steering");
    const [wellLimit, illLimit] = pair("central");
    const { pattern } = opts;
    const name = { pattern, service: work.service, scheme: "steering" };
    found.rows.push(rowOf({ ...name, load: load.toFixed(2) }, ill));
    const p99 = (result: RunResult): number =>
      (opts.others ? result.metrics.byTag.get("other")! : result.metrics.all)
        .quantile(99);
    found.bars.push({
      name: `${work.service}: ${pattern} at ${load} load, p99 ${
        opts.others ? "of others' work " : ""
      }against without it`,
      value: p99(ill) / p99(well),
      central: p99(illLimit) / p99(wellLimit),
      bound: opts.bound,
      sense: "at most",
    }, {
      name: `${work.service}: ${pattern} at ${load} load, goodput ` +
        "against without it",
      value: ill.metrics.all.goodput / well.metrics.all.goodput,
      central: illLimit.metrics.all.goodput / wellLimit.metrics.all.goodput,
      bound: 0.99,
      sense: "at least",
    });
  }
  return found;
}

/** Targets of a service, the first one to be made faulty. */
export function targetsOf(world: World, work: ServiceWork): FakeTarget[] {
  return [...world.targets.values()].filter(({ entry }) =>
    entry.service === work.service
  );
}

/** Reports come once a second and are 500 ms old. */
function report(
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
    if (world.scheme instanceof SteeringScheme) world.scheme.tellEach(event);
  });
  if (world.loop.now > world.countTo) return;
  world.loop.after(1_000, () => report(world, targets, healthy));
}
