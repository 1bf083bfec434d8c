/**
 * What a pattern of load gives: rows of figures, bars, and series for plots.
 *
 * @module
 */

import type { Deployment, ServiceWork } from "./deployment.ts";
import type { Metrics } from "./metrics.ts";

/** One line of figures. */
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
  /** Answered in time within the counted span. */
  readonly goodput: number;
  readonly mostOver: number;
}

/** A figure against its bound. */
export interface Bar {
  readonly name: string;
  readonly value: number;
  readonly bound: number;
  /** Whether the figure must be at most or at least the bound. */
  readonly sense: "at most" | "at least";
  /** The same figure of the central queue, where that tells the cause. */
  readonly central?: number;
}

/** A point of a plot. */
export interface Point {
  readonly plot: string;
  readonly series: string;
  readonly x: number;
  readonly y: number;
}

/** All that a pattern found. */
export interface Findings {
  readonly rows: Row[];
  readonly bars: Bar[];
  readonly points: Point[];
}

/** How a pattern is to be run. */
export interface PatternContext {
  readonly deployment: Deployment;
  /** Services to run; each runs alone. */
  readonly work: readonly ServiceWork[];
  /** Schemes to compare; ours and the central queue at least. */
  readonly schemes: readonly string[];
  /** Further schemes, compared under steady load only. */
  readonly alternatives: readonly string[];
  readonly seed: number;
  /** Shorter runs, fewer levels of load. */
  readonly quick: boolean;
}

/** One pattern of load. */
export type Pattern = (ctx: PatternContext) => Findings;

/** Whether a bar holds. A figure that could not be taken misses. */
export function holds(bar: Bar): boolean {
  return bar.sense === "at most"
    ? bar.value <= bar.bound
    : bar.value >= bar.bound;
}

/** A row from a run's counts. */
export function rowOf(
  name: Pick<Row, "pattern" | "service" | "scheme" | "load">,
  result: { metrics: Metrics; mostOver: number },
): Row {
  const { all } = result.metrics;
  return {
    ...name,
    p50: all.quantile(50),
    p99: all.quantile(99),
    offered: all.offered,
    refused: all.refused,
    unknown: all.unknown,
    goodput: all.goodput,
    mostOver: result.mostOver,
  };
}
