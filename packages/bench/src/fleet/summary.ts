/**
 * Summary of several runs of one scenario, and its printed form.
 *
 * @module
 */

import { type Figures, figuresOf, meanOf, windowShares } from "./tally.ts";
import type { RunResult } from "./world.ts";

/** Figures of a scenario over all of its runs. */
export interface Summary extends Figures {
  readonly scenario: string;
  /** Share of the requests run by targets whose object was cached there. */
  readonly warmShare: number;
  /** Mean wait for a slot at a target. */
  readonly targetWaitMs: number;
  readonly attemptsPerRequest: number;
  /** Number of times a cold target got more requests within one second than it can take. */
  readonly coldBreaches: number;
  /** Retries of the worst window of any run, as a multiple of those that the bound allows. */
  readonly retryUse: number;
  /** Share of the worth owed that was earned in each window, for each run. */
  readonly windows: readonly (readonly number[])[];
}

/** Summarises `runs`. */
export function summaryOf(
  scenario: string,
  runs: readonly RunResult[],
): Summary {
  const sum = (valueOf: (one: RunResult) => number) =>
    runs.reduce((total, one) => total + valueOf(one), 0);
  return {
    scenario,
    ...meanOf(runs.map(({ requests }) => figuresOf(requests))),
    warmShare: sum(({ warmShare }) => warmShare) / runs.length,
    targetWaitMs: sum(({ targetWaitMs }) => targetWaitMs) / runs.length,
    attemptsPerRequest: sum(({ attempts }) => attempts) /
      sum(({ requests }) => requests.length),
    coldBreaches: sum(({ coldBreaches }) => coldBreaches),
    retryUse: Math.max(...runs.map(({ retryUse }) => retryUse)),
    windows: runs.map(({ requests }) =>
      windowShares(requests).map(({ share }) => share)
    ),
  };
}

/** The summary as one line of text. */
export function summaryLine(one: Summary): string {
  const kinds = Object.entries(one.byKind)
    .map(([kind, share]) => `${kind} ${share.toFixed(3)}`).join(", ");
  return `${one.scenario.padEnd(14)} worth ${one.worth.toFixed(3)} ` +
    `whole ${one.whole.toFixed(3)} worst windows ` +
    `${one.worstWindows.toFixed(3)} zone ${one.worstZone.toFixed(3)} ` +
    `| late ${one.late.toFixed(3)} refused ${one.refused.toFixed(3)} ` +
    `failed ${one.failed.toFixed(3)} | ${kinds} | ` +
    `warm ${one.warmShare.toFixed(3)}, wait ` +
    `${one.targetWaitMs.toFixed(0)} ms, ` +
    `${one.attemptsPerRequest.toFixed(2)} attempts` +
    `, retries ${one.retryUse.toFixed(2)} of the bound` +
    (one.coldBreaches > 0 ? `, ${one.coldBreaches} cold breaches` : "");
}

/** The shares earned by window, one line for each run. */
export function windowLines({ windows }: Summary): string {
  return windows.map((shares) =>
    shares.map((share) => share.toFixed(2)).join(" ")
  ).join("\n");
}
