/**
 * Findings of a pattern of load or faults: rows of figures, checks against
 * bounds, and series for plots.
 *
 * @module
 */

import type { Deployment, ServiceWorkload } from "./deployment.ts";
import type { Metrics } from "./metrics.ts";

/** Figures of one run: a row of the report. */
export interface Row {
  readonly pattern: string;
  readonly service: string;
  readonly scheme: string;
  readonly load: string;
  readonly p50: number;
  readonly p99: number;
  readonly offered: number;
  readonly refused: number;
  readonly unknown: number;
  /** Requests served in time whose outcome came in the counted period. */
  readonly goodput: number;
  readonly maxOverSlots: number;
}

/** A figure and the bound that it must meet; reports call it a bar. */
export interface Check {
  readonly name: string;
  readonly value: number;
  readonly bound: number;
  /** Whether the value must be at most or at least the bound. */
  readonly comparison: "at most" | "at least";
  /** The same figure for the central queue, where it helps to find the cause of
   * a miss. */
  readonly centralValue?: number;
}

/** A point of a plot. */
export interface Point {
  readonly plot: string;
  readonly series: string;
  readonly x: number;
  readonly y: number;
}

/** Results of a pattern. */
export interface Findings {
  readonly rows: Row[];
  readonly checks: Check[];
  readonly points: Point[];
}

/** Parameters for running a pattern. */
export interface PatternContext {
  readonly deployment: Deployment;
  /** Workloads to run, each on its own. */
  readonly workloads: readonly ServiceWorkload[];
  /** Schemes to compare; must include `steering` and `central`. */
  readonly schemes: readonly string[];
  /** Additional schemes, compared under steady load only. */
  readonly alternatives: readonly string[];
  readonly seed: number;
  /** Use shorter runs and fewer load levels. */
  readonly quick: boolean;
}

/** A pattern of load or faults. */
export type Pattern = (ctx: PatternContext) => Findings;

/** Whether a check passes. A value that could not be determined (NaN) fails. */
export function passes(check: Check): boolean {
  return check.comparison === "at most"
    ? check.value <= check.bound
    : check.value >= check.bound;
}

/** Builds a row from a run's metrics. */
export function rowOf(
  name: Pick<Row, "pattern" | "service" | "scheme" | "load">,
  result: { metrics: Metrics; maxOverSlots: number },
): Row {
  const { all } = result.metrics;
  return {
    ...name,
    p50: all.percentile(50),
    p99: all.percentile(99),
    offered: all.offered,
    refused: all.refused,
    unknown: all.unknown,
    goodput: all.goodput,
    maxOverSlots: result.maxOverSlots,
  };
}
