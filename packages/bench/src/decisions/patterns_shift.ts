/**
 * Patterns in which load shifts: loss of a region, a planned drain, and
 * recovery from saturation.
 *
 * @module
 */

import type { TargetEntry } from "@poplarthread/decisions";
import type { RegionId } from "@poplarthread/ids";
import type { ServiceWorkload } from "./deployment.ts";
import { percentileOf, WINDOW_MS } from "./metrics.ts";
import {
  type Findings,
  type PatternContext,
  type Point,
  rowOf,
} from "./pattern.ts";
import { FAULT_AT_MS, targetsOf } from "./patterns_fault.ts";
import { baseSpecOf } from "./patterns_load.ts";
import { run, type RunResult } from "./runs.ts";
import type { World } from "./world.ts";

/** Jobs that a target runs with a cold cache after a region is lost. */
const COLD_JOBS = 30;

/** A region is lost with all its VMs and targets; caches elsewhere are cold. */
export function regionLoss(ctx: PatternContext): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  const lostRegion = ctx.deployment.policy.regions[2]!.id;
  for (const workload of ctx.workloads) {
    for (const load of [0.5, 0.8]) {
      const results = ["steering", "central"].map((scheme) => {
        const result = run({
          ...baseSpecOf(ctx, workload),
          scheme,
          load: () => load,
          events: (world) => scheduleRegionLoss(world, lostRegion),
        });
        const name = {
          service: workload.service,
          scheme,
          load: load.toFixed(2),
        };
        findings.rows.push(rowOf({ pattern: "region loss", ...name }, result));
        return result;
      });
      const [steering, central] = results as [RunResult, RunResult];
      const name = `${workload.service}: loss of a region at ${load} load`;
      findings.checks.push({
        name: `${name}, most work in a region over its slots`,
        value: steering.metrics.maxOverRegion,
        bound: 0,
        comparison: "at most",
      }, {
        name: `${name}, goodput against the central queue`,
        value: steering.metrics.all.goodput / central.metrics.all.goodput,
        bound: 0.95,
        comparison: "at least",
      });
    }
  }
  return findings;
}

/** Planned drain of a zone. */
export function plannedDrain(ctx: PatternContext): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  const zone = ctx.deployment.policy.regions[0]!.zones[0]!;
  for (const workload of ctx.workloads) {
    const drain = { refusedFrom: 0, emptyAt: 0 };
    const result = run({
      ...baseSpecOf(ctx, workload),
      scheme: "steering",
      load: () => 0.4,
      events: (world) => {
        world.loop.after(FAULT_AT_MS, () => drainZone(world, zone, drain));
      },
    });
    const name = {
      service: workload.service,
      scheme: "steering",
      load: "0.40",
    };
    findings.rows.push(rowOf({ pattern: "planned drain", ...name }, result));
    const refusedWhileLeaving = targetsOf(result.world, workload)
      .reduce((sum, { jobsWhileLeaving }) => sum + jobsWhileLeaving, 0);
    const { all } = result.metrics;
    const title = `${workload.service}: planned drain of a zone`;
    findings.checks.push(
      {
        name: `${title}, cut`,
        value: all.unknown,
        bound: 0,
        comparison: "at most",
      },
      {
        name: `${title}, new work 2 s after it began`,
        value: refusedWhileLeaving,
        bound: 0,
        comparison: "at most",
      },
      {
        name: `${title}, refused`,
        value: all.refused,
        bound: 0,
        comparison: "at most",
      },
      {
        name: `${title}, seconds until the zone is empty`,
        value: (drain.emptyAt - FAULT_AT_MS) / 1_000,
        bound: 3,
        comparison: "at most",
      },
    );
  }
  return findings;
}

/** Load rises to twice the capacity and falls again; refused callers retry. */
export function recovery(ctx: PatternContext): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  const overload = { from: 10_000, to: 15_000 };
  const load = (now: number): number =>
    now >= overload.from && now < overload.to ? 2 : 0.8;
  for (const workload of ctx.workloads) {
    for (const retryPolicy of ["polite", "storm"] as const) {
      const pattern = `saturation and back, ${retryPolicy} callers`;
      const seconds = ["steering", "central"].map((scheme) => {
        const spec = {
          ...baseSpecOf(ctx, workload),
          scheme,
          load,
          retryPolicy,
        };
        const result = run({ ...spec, seconds: 25 });
        const name = { service: workload.service, scheme, load: "2 x" };
        findings.rows.push(rowOf({ pattern, ...name }, result));
        const series = `${scheme}, ${retryPolicy}`;
        findings.points.push(...windowPoints(result, { workload, series }));
        return recoverySeconds(result, overload);
      });
      findings.checks.push({
        name: `${workload.service}: ${pattern}, seconds until p99 is ordinary`,
        value: seconds[0]!,
        centralValue: seconds[1]!,
        bound: 2,
        comparison: "at most",
      });
    }
  }
  return findings;
}

function windowPoints(
  result: RunResult,
  opts: { workload: ServiceWorkload; series: string },
): Point[] {
  return result.metrics.windows.flatMap(({ latencies }, i) =>
    latencies.length === 0 ? [] : [{
      plot: `p99 through saturation, ${opts.workload.service}`,
      series: opts.series,
      x: i * WINDOW_MS / 1_000,
      y: percentileOf(latencies, 99),
    }]
  );
}

/** Seconds from the end of the saturation until the p99 of requests sent in a
 * window stays, for two windows in a row, at or below that of the worst window
 * before the saturation. Infinity if that never happens. */
function recoverySeconds(
  result: RunResult,
  overload: { from: number; to: number },
): number {
  const p99 = result.metrics.windows.map(({ latencies }) =>
    percentileOf(latencies, 99)
  );
  const p99Before = p99.slice(4_000 / WINDOW_MS, overload.from / WINDOW_MS);
  const baselineP99 = Math.max(...p99Before);
  const firstIndex = overload.to / WINDOW_MS;
  for (let i = firstIndex; i + 1 < p99.length; i++) {
    if (p99[i]! <= baselineP99 && p99[i + 1]! <= baselineP99) {
      return (i - firstIndex) * WINDOW_MS / 1_000;
    }
  }
  return Number.POSITIVE_INFINITY;
}

function scheduleRegionLoss(world: World, region: RegionId): void {
  world.loop.after(FAULT_AT_MS, () => {
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
  const sampleLoad = (): void => {
    if (leaving.some(({ load }) => load > 0)) drain.emptyAt = world.loop.now;
    if (world.loop.now < world.countTo) world.loop.after(10, sampleLoad);
  };
  sampleLoad();
}
