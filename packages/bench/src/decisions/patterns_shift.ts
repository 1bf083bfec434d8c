/**
 * Patterns of shifts: a lost region, a planned drain, saturation and back.
 *
 * @module
 */

import type { TargetEntry } from "@poplarthread/decisions";
import type { RegionId } from "@poplarthread/ids";
import type { ServiceWork } from "./deployment.ts";
import { quantileOf, WINDOW_MS } from "./metrics.ts";
import {
  type Findings,
  type PatternContext,
  type Point,
  rowOf,
} from "./pattern.ts";
import { FAULT_MS, targetsOf } from "./patterns_fault.ts";
import { specOf } from "./patterns_load.ts";
import { run, type RunResult } from "./runs.ts";
import type { World } from "./world.ts";

/** Jobs that a target does at cold speed after a large shift. */
const COLD_JOBS = 30;

/** A region with all its VMs and targets is lost; caches elsewhere are cold. */
export function regionLoss(ctx: PatternContext): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  const lost = ctx.deployment.policy.regions[2]!.id;
  for (const work of ctx.work) {
    for (const load of [0.5, 0.8]) {
      const results = ["steering", "central"].map((scheme) => {
        const result = run({
          ...specOf(ctx, work),
          scheme,
          load: () => load,
          events: (world) => lose(world, lost),
        });
        const name = { service: work.service, scheme, load: load.toFixed(2) };
        found.rows.push(rowOf({ pattern: "region loss", ...name }, result));
        return result;
      });
      const [ours, limit] = results as [RunResult, RunResult];
      const name = `${work.service}: loss of a region at ${load} load`;
      found.bars.push({
        name: `${name}, most work in a region over its slots`,
        value: ours.metrics.mostOverRegion,
        bound: 0,
        sense: "at most",
      }, {
        name: `${name}, goodput against the central queue`,
        value: ours.metrics.all.goodput / limit.metrics.all.goodput,
        bound: 0.95,
        sense: "at least",
      });
    }
  }
  return found;
}

/** A zone is drained as planned. */
export function plannedDrain(ctx: PatternContext): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  const zone = ctx.deployment.policy.regions[0]!.zones[0]!;
  for (const work of ctx.work) {
    const drain = { refusedFrom: 0, emptyAt: 0 };
    const result = run({
      ...specOf(ctx, work),
      scheme: "steering",
      load: () => 0.4,
      events: (world) => {
        world.loop.after(FAULT_MS, () => drainZone(world, zone, drain));
      },
    });
    const name = { service: work.service, scheme: "steering", load: "0.40" };
    found.rows.push(rowOf({ pattern: "planned drain", ...name }, result));
    const late = targetsOf(result.world, work)
      .reduce((sum, { lateJobs }) => sum + lateJobs, 0);
    const { all } = result.metrics;
    const title = `${work.service}: planned drain of a zone`;
    found.bars.push(
      { name: `${title}, cut`, value: all.unknown, bound: 0, sense: "at most" },
      {
        name: `${title}, new work 2 s after it began`,
        value: late,
        bound: 0,
        sense: "at most",
      },
      {
        name: `${title}, refused`,
        value: all.refused,
        bound: 0,
        sense: "at most",
      },
      {
        name: `${title}, seconds until the zone is empty`,
        value: (drain.emptyAt - FAULT_MS) / 1_000,
        bound: 3,
        sense: "at most",
      },
    );
  }
  return found;
}

/** Saturation to twice the capacity and back, with callers that return. */
export function recovery(ctx: PatternContext): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  const span = { from: 10_000, to: 15_000 };
  const load = (now: number): number =>
    now >= span.from && now < span.to ? 2 : 0.8;
  for (const work of ctx.work) {
    for (const manners of ["polite", "storm"] as const) {
      const pattern = `saturation and back, ${manners} callers`;
      const seconds = ["steering", "central"].map((scheme) => {
        const spec = { ...specOf(ctx, work), scheme, load, manners };
        const result = run({ ...spec, seconds: 25 });
        const name = { service: work.service, scheme, load: "2 x" };
        found.rows.push(rowOf({ pattern, ...name }, result));
        const series = `${scheme}, ${manners}`;
        found.points.push(...windowPoints(result, { work, series }));
        return recoverySeconds(result, span);
      });
      found.bars.push({
        name: `${work.service}: ${pattern}, seconds until p99 is ordinary`,
        value: seconds[0]!,
        central: seconds[1]!,
        bound: 2,
        sense: "at most",
      });
    }
  }
  return found;
}

function windowPoints(
  result: RunResult,
  of: { work: ServiceWork; series: string },
): Point[] {
  return result.metrics.windows.flatMap(({ latencies }, i) =>
    latencies.length === 0 ? [] : [{
      plot: `p99 through saturation, ${of.work.service}`,
      series: of.series,
      x: i * WINDOW_MS / 1_000,
      y: quantileOf(latencies, 99),
    }]
  );
}

/** From the end of the saturation until the p99 of requests sent within a
 * window is, for two windows, no more than the worst window before it. */
function recoverySeconds(
  result: RunResult,
  span: { from: number; to: number },
): number {
  const p99 = result.metrics.windows.map(({ latencies }) =>
    quantileOf(latencies, 99)
  );
  const before = p99.slice(4_000 / WINDOW_MS, span.from / WINDOW_MS);
  const ordinary = Math.max(...before);
  const first = span.to / WINDOW_MS;
  for (let i = first; i + 1 < p99.length; i++) {
    if (p99[i]! <= ordinary && p99[i + 1]! <= ordinary) {
      return (i - first) * WINDOW_MS / 1_000;
    }
  }
  return Number.POSITIVE_INFINITY;
}

function lose(world: World, region: RegionId): void {
  world.loop.after(FAULT_MS, () => {
    world.loseRegion(region);
    for (const target of world.targets.values()) {
      if (target.entry.region !== region) target.faults.coldJobs = COLD_JOBS;
    }
    const vms = world.vms.map((vm) =>
      vm.region === region ? { ...vm, live: false } : vm
    );
    world.vms = vms;
    world.scheme!.vmsChanged?.(vms);
    const targets = world.deployment.targets.filter((target) =>
      target.region !== region
    );
    world.scheme!.targetsChanged?.(targets);
  });
}

function drainZone(
  world: World,
  zone: string,
  drain: { refusedFrom: number; emptyAt: number },
): void {
  const targets: TargetEntry[] = world.deployment.targets.map((target) =>
    target.zone === zone ? { ...target, leaving: true } : target
  );
  world.scheme!.targetsChanged?.(targets);
  const leaving = [...world.targets.values()].filter(({ entry }) =>
    entry.zone === zone
  );
  world.loop.after(2_000, () => {
    for (const target of leaving) target.faults.leaving = true;
  });
  const watch = (): void => {
    if (leaving.some(({ load }) => load > 0)) drain.emptyAt = world.loop.now;
    if (world.loop.now < world.countTo) world.loop.after(10, watch);
  };
  watch();
}
