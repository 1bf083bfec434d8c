/**
 * Patterns of load: steady, saturation, bursts, few callers, long among short.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { meanMs, type ServiceWork } from "./deployment.ts";
import {
  type Bar,
  type Findings,
  type PatternContext,
  type Point,
  type Row,
  rowOf,
} from "./pattern.ts";
import {
  type CallerPicker,
  evenCallers,
  exponentialWork,
  run,
  type RunResult,
  type RunSpec,
} from "./runs.ts";

const FULL_LOADS = [0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95];
/** A run's p99 at this share of load stands for an unhurried day. */
const CALM = 0.5;
/** Headroom ends where p99 passes this many times the calm day's. */
const HEADROOM_P99 = 1.5;

/** Steady load at several levels, with headroom. */
export function steady(ctx: PatternContext): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  for (const work of ctx.work) {
    const loads = ctx.quick ? [CALM, 0.8, 0.95] : FULL_LOADS;
    const p99 = new Map<string, number>();
    const schemes = [...ctx.schemes, ...ctx.alternatives];
    for (const scheme of schemes) {
      const levels = ctx.alternatives.includes(scheme) ? [0.8, 0.95] : loads;
      for (const load of levels) {
        const result = steadyRun(ctx, work, { scheme, load });
        const row = rowOf({
          pattern: "steady",
          service: work.service,
          scheme,
          load: load.toFixed(2),
        }, result);
        found.rows.push(row);
        found.points.push(pointOf(work, row, load));
        p99.set(`${scheme} ${load}`, row.p99);
      }
    }
    found.bars.push(...steadyBars(work, p99));
    found.bars.push(...headroomBars(work, { loads, p99 }));
  }
  return found;
}

/** Twice what can be served: goodput, and the first class. */
export function saturation(ctx: PatternContext): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  for (const work of ctx.work) {
    const results = new Map<string, RunResult>();
    for (const scheme of ctx.schemes) {
      const result = steadyRun(ctx, work, { scheme, load: 2 });
      results.set(scheme, result);
      const name = { service: work.service, scheme, load: "2.00" };
      found.rows.push(rowOf({ pattern: "saturation", ...name }, result));
    }
    found.bars.push(...saturationBars(work, results));
  }
  return found;
}

/** Bursts of 200 ms at three times the capacity on top of a moderate load. */
export function burst(ctx: PatternContext): Findings {
  const load = (now: number): number => now % 4_000 < 200 ? 3 : 0.6;
  return compared(ctx, { pattern: "burst", load, bound: 2 });
}

/** One request in twenty takes twenty times as long. */
export function longAmongShort(ctx: PatternContext): Findings {
  const workMs: RunSpec["workMs"] = (rng, kind) => {
    const isLong = uniformFloat64(rng) < 0.05;
    return exponentialWork(rng, kind) * (isLong ? 20 : 1) / 1.95;
  };
  const load = (): number => 0.8;
  return compared(ctx, {
    pattern: "long among short",
    load,
    bound: 1.3,
    workMs,
  });
}

/** One caller adds as much as all others together, or floods. */
export function fewCallers(ctx: PatternContext): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  const work = ctx.work[0]!;
  const alone = withCallers(ctx, work, { load: 0.4, hotShare: 0 });
  const p99Alone = alone.metrics.byTag.get("other")!.quantile(99);
  push(found, ctx, { work, load: "0.40", result: alone });
  for (const load of [0.8, 1.6]) {
    const hotShare = 1 - 0.4 / load;
    const result = withCallers(ctx, work, { load, hotShare });
    push(found, ctx, { work, load: load.toFixed(2), result });
    const others = result.metrics.byTag.get("other")!;
    const hot = Math.round(hotShare * 100);
    found.bars.push({
      name: `${work.service}: one caller with ${hot} % of load ${load}, ` +
        `others' p99 against without it`,
      value: others.quantile(99) / p99Alone,
      bound: 1.2,
      sense: "at most",
    }, {
      name: `${work.service}: the same, others refused`,
      value: others.refused / others.offered,
      bound: 0.001,
      sense: "at most",
    });
  }
  return found;
}

/** A premiere weekend: demand climbs past the capacity and falls again. */
export function premiere(ctx: PatternContext): Findings {
  const seconds = ctx.quick ? 20 : 40;
  const load = (now: number): number =>
    0.5 + 0.8 * Math.sin(Math.PI * Math.min(1, now / (seconds * 1_000)));
  return compared(ctx, { pattern: "premiere", load, bound: 1.3, seconds });
}

function push(
  found: Findings,
  _ctx: PatternContext,
  run: { work: ServiceWork; load: string; result: RunResult },
): void {
  found.rows.push(rowOf({
    pattern: "few callers",
    service: run.work.service,
    scheme: "steering",
    load: run.load,
  }, run.result));
}

function withCallers(
  ctx: PatternContext,
  work: ServiceWork,
  opts: { load: number; hotShare: number },
): RunResult {
  const regions = ctx.deployment.policy.regions.map(({ id }) => id);
  const hotRegion = regions[0]!;
  const others = (1 - opts.hotShare) / regions.length;
  const inHotRegion = opts.hotShare / (opts.hotShare + others);
  const callers: CallerPicker = (rng, region) => {
    if (region === hotRegion && uniformFloat64(rng) < inHotRegion) {
      return { caller: "hot", tag: "hot" };
    }
    return { ...evenCallers(rng, region), tag: "other" };
  };
  return run({
    ...specOf(ctx, work),
    scheme: "steering",
    load: () => opts.load,
    regionShare: (region) =>
      others + (region === hotRegion ? opts.hotShare : 0),
    callers,
  });
}

function compared(
  ctx: PatternContext,
  opts: {
    pattern: string;
    load: (now: number) => number;
    bound: number;
    workMs?: RunSpec["workMs"];
    seconds?: number;
  },
): Findings {
  const found: Findings = { rows: [], bars: [], points: [] };
  for (const work of ctx.work) {
    const results = new Map<string, RunResult>();
    for (const scheme of ctx.schemes) {
      const spec = specOf(ctx, work);
      const result = run({
        ...spec,
        seconds: opts.seconds ?? spec.seconds,
        scheme,
        load: opts.load,
        ...(opts.workMs === undefined ? {} : { workMs: opts.workMs }),
      });
      results.set(scheme, result);
      const { pattern } = opts;
      const name = { pattern, service: work.service, scheme, load: "varied" };
      found.rows.push(rowOf(name, result));
    }
    found.bars.push({
      name: `${work.service}: ${opts.pattern}, p99 against the central queue`,
      value: ratio(results, (result) => result.metrics.all.quantile(99)),
      bound: opts.bound,
      sense: "at most",
    }, {
      name: `${work.service}: ${opts.pattern}, goodput against the same`,
      value: ratio(results, (result) => result.metrics.all.goodput),
      bound: 0.95,
      sense: "at least",
    });
  }
  return found;
}

function steadyRun(
  ctx: PatternContext,
  work: ServiceWork,
  opts: { scheme: string; load: number },
): RunResult {
  return run({
    ...specOf(ctx, work),
    scheme: opts.scheme,
    load: () => opts.load,
  });
}

/** What every run of a pattern shares. */
export function specOf(ctx: PatternContext, work: ServiceWork) {
  return {
    deployment: ctx.deployment,
    seed: ctx.seed,
    services: [work],
    seconds: ctx.quick ? 12 : 20,
  };
}

function ratio(
  results: ReadonlyMap<string, RunResult>,
  figure: (result: RunResult) => number,
): number {
  return figure(results.get("steering")!) / figure(results.get("central")!);
}

function steadyBars(
  work: ServiceWork,
  p99: ReadonlyMap<string, number>,
): Bar[] {
  return [[0.8, 1.3], [0.95, 2]].map(([load, bound]) => ({
    name: `${work.service}: p99 at ${load} load against the central queue`,
    value: p99.get(`steering ${load}`)! / p99.get(`central ${load}`)!,
    bound: bound!,
    sense: "at most",
  }));
}

/** Headroom of ours as a share of the central queue's. */
function headroomBars(
  work: ServiceWork,
  found: { loads: readonly number[]; p99: ReadonlyMap<string, number> },
): Bar[] {
  const limit = found.p99.get(`central ${CALM}`)! * HEADROOM_P99;
  const headroom = (scheme: string): number =>
    Math.max(
      0,
      ...found.loads.filter((load) =>
        found.p99.get(`${scheme} ${load}`)! <= limit
      ),
    );
  return [{
    name: `${work.service}: headroom, load at which p99 passes ${
      limit.toFixed(0)
    } ms, against the central queue's`,
    value: headroom("steering") / headroom("central"),
    bound: 0.9,
    sense: "at least",
  }];
}

function saturationBars(
  work: ServiceWork,
  results: ReadonlyMap<string, RunResult>,
): Bar[] {
  const first = firstClass(results.get("steering")!);
  const served = (scheme: string): number =>
    results.get(scheme)!.metrics.byClass.get(first)?.goodput ?? 0;
  return [{
    name: `${work.service}: goodput at twice saturation against the same`,
    value: ratio(results, (result) => result.metrics.all.goodput),
    bound: 0.95,
    sense: "at least",
  }, {
    name: `${work.service}: first class (${first}) at twice saturation, served`,
    value: served("steering") / served("central"),
    bound: 0.99,
    sense: "at least",
  }];
}

function firstClass(result: RunResult): string {
  const { policy } = result.world.deployment;
  const seen = policy.classes.filter(({ id }) =>
    result.metrics.byClass.has(id)
  );
  return seen.sort((a, b) => a.rank - b.rank)[0]!.id;
}

function pointOf(work: ServiceWork, row: Row, load: number): Point {
  return {
    plot: `p99 by load, ${work.service} (mean work ${
      meanMs(work).toFixed(0)
    } ms)`,
    series: row.scheme,
    x: load,
    y: row.p99,
  };
}
