/**
 * Puts together what targets ran and what callers were told: the points that
 * must always hold, counted from both sides.
 *
 * @module
 */

import { UNKEYED_SUFFIX } from "../caller/caller.ts";
import type { ResultsReport } from "../caller/results.ts";
import type { RunsReport } from "../target/runs.ts";

/** What must be zero. */
export interface Ledger {
  /** Requests that may run once and ran more often, with a key or without. */
  readonly ranTwice: number;
  /** Attempts that were refused as not run, yet ran. */
  readonly falseNotRun: number;
  /** Answers that looked whole and were not. */
  readonly partialAnswers: number;
  /** Whole answers to something else. */
  readonly wrongAnswers: number;
  /** Keys whose caller got an answer although nothing ran. */
  readonly servedNotRun: number;
}

/** Adds up runs and results. */
export function reconcile(
  runs: readonly RunsReport[],
  results: readonly ResultsReport[],
): Ledger {
  const keys = sumCounts(runs.map((report) => report.keys));
  const attempts = sumCounts(runs.map((report) => report.attempts));
  const notRun = results.flatMap((report) => report.notRunAttempts);
  const served = results.flatMap((report) => report.servedKeys);
  return {
    ranTwice: [...keys, ...unkeyedOrders(attempts)]
      .filter(([, count]) => count > 1).length,
    falseNotRun: notRun.filter((attempt) => attempts.has(attempt)).length,
    partialAnswers: sum(results.map((report) => report.partialAnswers)),
    wrongAnswers: sum(results.map((report) => report.wrongAnswers)),
    servedNotRun: served.filter((key) => !keys.has(key)).length,
  };
}

/** An order without a key has no name but its only attempt's. */
function unkeyedOrders(
  attempts: ReadonlyMap<string, number>,
): readonly [string, number][] {
  return [...attempts].filter(([name]) => name.endsWith(UNKEYED_SUFFIX));
}

/** Adds counts by name. */
export function sumCounts(
  parts: readonly Readonly<Record<string, number>>[],
): ReadonlyMap<string, number> {
  const total = new Map<string, number>();
  for (const part of parts) {
    for (const [name, count] of Object.entries(part)) {
      total.set(name, (total.get(name) ?? 0) + count);
    }
  }
  return total;
}

/** Adds numbers. */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
