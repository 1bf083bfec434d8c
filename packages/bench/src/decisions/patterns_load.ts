/**
 * Patterns of load: steady, saturation, bursts, one dominant caller, and a few
 * long requests among short ones.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { meanMs, type ServiceWorkload } from "./deployment.ts";
import {
  type Check,
  type Findings,
  type PatternContext,
  type Point,
  type Row,
  rowOf,
} from "./pattern.ts";
import {
  type CallerPicker,
  exponentialServiceTime,
  run,
  type RunResult,
  type RunSpec,
  uniformCaller,
} from "./runs.ts";

const LOAD_LEVELS = [0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95];
/** Load level whose p99 serves as the baseline for headroom. */
const REFERENCE_LOAD = 0.5;
/** Headroom ends where p99 exceeds the baseline by more than this factor. */
const HEADROOM_P99_FACTOR = 1.5;

/** Steady load at several levels, and the headroom they show. */
export function steady(ctx: PatternContext): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  for (const workload of ctx.workloads) {
    const loads = ctx.quick ? [REFERENCE_LOAD, 0.8, 0.95] : LOAD_LEVELS;
    const p99 = new Map<string, number>();
    const schemes = [...ctx.schemes, ...ctx.alternatives];
    for (const scheme of schemes) {
      const levels = ctx.alternatives.includes(scheme) ? [0.8, 0.95] : loads;
      for (const load of levels) {
        const result = steadyRun(ctx, workload, { scheme, load });
        const row = rowOf({
          pattern: "steady",
          service: workload.service,
          scheme,
          load: load.toFixed(2),
        }, result);
        findings.rows.push(row);
        findings.points.push(pointOf(workload, row, load));
        p99.set(`${scheme} ${load}`, row.p99);
      }
    }
    findings.checks.push(...steadyChecks(workload, p99));
    findings.checks.push(...headroomChecks(workload, { loads, p99 }));
  }
  return findings;
}

/** Twice the capacity: goodput overall and of the highest class. */
export function saturation(ctx: PatternContext): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  for (const workload of ctx.workloads) {
    const results = new Map<string, RunResult>();
    for (const scheme of ctx.schemes) {
      const result = steadyRun(ctx, workload, { scheme, load: 2 });
      results.set(scheme, result);
      const name = { service: workload.service, scheme, load: "2.00" };
      findings.rows.push(rowOf({ pattern: "saturation", ...name }, result));
    }
    findings.checks.push(...saturationChecks(workload, results));
  }
  return findings;
}

/** Moderate load, with bursts of 200 ms at three times the capacity. */
export function burst(ctx: PatternContext): Findings {
  const load = (now: number): number => now % 4_000 < 200 ? 3 : 0.6;
  return compareWithCentral(ctx, { pattern: "burst", load, bound: 2 });
}

/** One request in twenty takes twenty times as long; service times are divided
 * by 1.95 to keep the mean. */
export function longAmongShort(ctx: PatternContext): Findings {
  const serviceTimeMs: RunSpec["serviceTimeMs"] = (rng, kind) => {
    const isLong = uniformFloat64(rng) < 0.05;
    return exponentialServiceTime(rng, kind) * (isLong ? 20 : 1) / 1.95;
  };
  const load = (): number => 0.8;
  return compareWithCentral(ctx, {
    pattern: "long among short",
    load,
    bound: 1.3,
    serviceTimeMs,
  });
}

/** One caller sends as much as all others together, or three times as much. */
export function hotCaller(ctx: PatternContext): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  const workload = ctx.workloads[0]!;
  const withoutHot = runWithHotCaller(ctx, workload, {
    load: 0.4,
    hotShare: 0,
  });
  const p99WithoutHot = withoutHot.metrics.byTag.get("other")!.percentile(99);
  addRow(findings, ctx, { workload, load: "0.40", result: withoutHot });
  for (const load of [0.8, 1.6]) {
    const hotShare = 1 - 0.4 / load;
    const result = runWithHotCaller(ctx, workload, { load, hotShare });
    addRow(findings, ctx, { workload, load: load.toFixed(2), result });
    const others = result.metrics.byTag.get("other")!;
    const hotPercent = Math.round(hotShare * 100);
    findings.checks.push({
      name:
        `${workload.service}: one caller with ${hotPercent} % of load ${load}, ` +
        `others' p99 against without it`,
      value: others.percentile(99) / p99WithoutHot,
      bound: 1.2,
      comparison: "at most",
    }, {
      name: `${workload.service}: the same, others refused`,
      value: others.refused / others.offered,
      bound: 0.001,
      comparison: "at most",
    });
  }
  return findings;
}

/** Premiere weekend: demand rises above the capacity and falls again. */
export function premiere(ctx: PatternContext): Findings {
  const seconds = ctx.quick ? 20 : 40;
  const load = (now: number): number =>
    0.5 + 0.8 * Math.sin(Math.PI * Math.min(1, now / (seconds * 1_000)));
  return compareWithCentral(ctx, {
    pattern: "premiere",
    load,
    bound: 1.3,
    seconds,
  });
}

function addRow(
  findings: Findings,
  _ctx: PatternContext,
  run: { workload: ServiceWorkload; load: string; result: RunResult },
): void {
  findings.rows.push(rowOf({
    pattern: "few callers",
    service: run.workload.service,
    scheme: "steering",
    load: run.load,
  }, run.result));
}

function runWithHotCaller(
  ctx: PatternContext,
  workload: ServiceWorkload,
  opts: { load: number; hotShare: number },
): RunResult {
  const regions = ctx.deployment.policy.regions.map(({ id }) => id);
  const hotRegion = regions[0]!;
  const otherShare = (1 - opts.hotShare) / regions.length;
  const hotShareInRegion = opts.hotShare / (opts.hotShare + otherShare);
  const callers: CallerPicker = (rng, region) => {
    if (region === hotRegion && uniformFloat64(rng) < hotShareInRegion) {
      return { caller: "hot", tag: "hot" };
    }
    return { ...uniformCaller(rng, region), tag: "other" };
  };
  return run({
    ...baseSpecOf(ctx, workload),
    scheme: "steering",
    load: () => opts.load,
    regionShare: (region) =>
      otherShare + (region === hotRegion ? opts.hotShare : 0),
    callers,
  });
}

function compareWithCentral(
  ctx: PatternContext,
  opts: {
    pattern: string;
    load: (now: number) => number;
    bound: number;
    serviceTimeMs?: RunSpec["serviceTimeMs"];
    seconds?: number;
  },
): Findings {
  const findings: Findings = { rows: [], checks: [], points: [] };
  for (const workload of ctx.workloads) {
    const results = new Map<string, RunResult>();
    for (const scheme of ctx.schemes) {
      const spec = baseSpecOf(ctx, workload);
      const result = run({
        ...spec,
        seconds: opts.seconds ?? spec.seconds,
        scheme,
        load: opts.load,
        ...(opts.serviceTimeMs === undefined
          ? {}
          : { serviceTimeMs: opts.serviceTimeMs }),
      });
      results.set(scheme, result);
      const { pattern } = opts;
      const name = {
        pattern,
        service: workload.service,
        scheme,
        load: "varied",
      };
      findings.rows.push(rowOf(name, result));
    }
    findings.checks.push({
      name:
        `${workload.service}: ${opts.pattern}, p99 against the central queue`,
      value: ratioToCentral(
        results,
        (result) => result.metrics.all.percentile(99),
      ),
      bound: opts.bound,
      comparison: "at most",
    }, {
      name: `${workload.service}: ${opts.pattern}, goodput against the same`,
      value: ratioToCentral(results, (result) => result.metrics.all.goodput),
      bound: 0.95,
      comparison: "at least",
    });
  }
  return findings;
}

function steadyRun(
  ctx: PatternContext,
  workload: ServiceWorkload,
  opts: { scheme: string; load: number },
): RunResult {
  return run({
    ...baseSpecOf(ctx, workload),
    scheme: opts.scheme,
    load: () => opts.load,
  });
}

/** Settings shared by all runs of a pattern. */
export function baseSpecOf(ctx: PatternContext, workload: ServiceWorkload) {
  return {
    deployment: ctx.deployment,
    seed: ctx.seed,
    workloads: [workload],
    seconds: ctx.quick ? 12 : 20,
  };
}

function ratioToCentral(
  results: ReadonlyMap<string, RunResult>,
  metric: (result: RunResult) => number,
): number {
  return metric(results.get("steering")!) / metric(results.get("central")!);
}

function steadyChecks(
  workload: ServiceWorkload,
  p99: ReadonlyMap<string, number>,
): Check[] {
  return [[0.8, 1.3], [0.95, 2]].map(([load, bound]) => ({
    name: `${workload.service}: p99 at ${load} load against the central queue`,
    value: p99.get(`steering ${load}`)! / p99.get(`central ${load}`)!,
    bound: bound!,
    comparison: "at most",
  }));
}

/** Headroom of `steering` relative to that of the central queue. */
function headroomChecks(
  workload: ServiceWorkload,
  results: { loads: readonly number[]; p99: ReadonlyMap<string, number> },
): Check[] {
  const maxP99Ms = results.p99.get(`central ${REFERENCE_LOAD}`)! *
    HEADROOM_P99_FACTOR;
  const headroom = (scheme: string): number =>
    Math.max(
      0,
      ...results.loads.filter((load) =>
        results.p99.get(`${scheme} ${load}`)! <= maxP99Ms
      ),
    );
  return [{
    name: `${workload.service}: headroom, load at which p99 passes ${
      maxP99Ms.toFixed(0)
    } ms, against the central queue's`,
    value: headroom("steering") / headroom("central"),
    bound: 0.9,
    comparison: "at least",
  }];
}

function saturationChecks(
  workload: ServiceWorkload,
  results: ReadonlyMap<string, RunResult>,
): Check[] {
  const topClass = highestClass(results.get("steering")!);
  const served = (scheme: string): number =>
    results.get(scheme)!.metrics.byClass.get(topClass)?.goodput ?? 0;
  return [{
    name: `${workload.service}: goodput at twice saturation against the same`,
    value: ratioToCentral(results, (result) => result.metrics.all.goodput),
    bound: 0.95,
    comparison: "at least",
  }, {
    name:
      `${workload.service}: first class (${topClass}) at twice saturation, served`,
    value: served("steering") / served("central"),
    bound: 0.99,
    comparison: "at least",
  }];
}

function highestClass(result: RunResult): string {
  const { policy } = result.world.deployment;
  const seen = policy.classes.filter(({ id }) =>
    result.metrics.byClass.has(id)
  );
  return seen.sort((a, b) => a.rank - b.rank)[0]!.id;
}

function pointOf(workload: ServiceWorkload, row: Row, load: number): Point {
  return {
    plot: `p99 by load, ${workload.service} (mean work ${
      meanMs(workload).toFixed(0)
    } ms)`,
    series: row.scheme,
    x: load,
    y: row.p99,
  };
}
