/**
 * Compares what targets ran with the responses that callers received, and counts
 * violations of the guarantees to callers.
 *
 * @module
 */

import { AT_MOST_ONCE_SUFFIX } from "../caller/caller.ts";
import type { ResultsReport } from "../caller/results.ts";
import type { RunsReport } from "../target/run_counter.ts";

/** Numbers of violations; each must be 0. */
export interface Violations {
  /** At-most-once requests, with a key or without, that ran more than once. */
  readonly ranTwice: number;
  /** Attempts that were refused as not run, but did run. */
  readonly falseNotRun: number;
  /** Responses that are complete in HTTP but whose body is truncated. */
  readonly partialResponses: number;
  /** Responses with the body of another request. */
  readonly wrongResponses: number;
  /** Keys of requests that were served although no target ran them. */
  readonly servedNotRun: number;
}

/** Counts violations from the reports of all target processes and all callers. */
export function countViolations(
  runs: readonly RunsReport[],
  results: readonly ResultsReport[],
): Violations {
  const keys = sumCounts(runs.map((report) => report.keys));
  const attempts = sumCounts(runs.map((report) => report.attempts));
  const notRun = results.flatMap((report) => report.notRunAttempts);
  const served = results.flatMap((report) => report.servedKeys);
  return {
    ranTwice: [...keys, ...unkeyedAttempts(attempts)]
      .filter(([, count]) => count > 1).length,
    falseNotRun: notRun.filter((attempt) => attempts.has(attempt)).length,
    partialResponses: sum(results.map((report) => report.partialResponses)),
    wrongResponses: sum(results.map((report) => report.wrongResponses)),
    servedNotRun: served.filter((key) => !keys.has(key)).length,
  };
}

/** Returns the at-most-once requests without a key, each by the name of its only attempt. */
function unkeyedAttempts(
  attempts: ReadonlyMap<string, number>,
): readonly [string, number][] {
  return [...attempts].filter(([name]) => name.endsWith(AT_MOST_ONCE_SUFFIX));
}

/** Adds up the counts of each name. */
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

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
