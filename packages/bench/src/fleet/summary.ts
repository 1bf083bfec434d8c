/**
 * Figures of several runs of one scenario, as they are printed.
 *
 * @module
 */

import { type Figures, figuresOf, meanOf, windowShares } from "./tally.ts";
import type { RunResult } from "./world.ts";

/** Figures of a scenario, over all its runs. */
export interface Summary extends Figures {
  readonly scenario: string;
  /** Share of what targets ran that was on objects that they kept. */
  readonly warmShare: number;
  /** Mean wait for a slot at a target, in milliseconds. */
  readonly targetWaitMs: number;
  readonly attemptsPerRequest: number;
  /** Seconds in which a cold target got more than it bears. */
  readonly coldBreaches: number;
  /** Shares that were earned by window, for each run. */
  readonly windows: readonly (readonly number[])[];
}

/** The figures of `runs`. */
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
    windows: runs.map(({ requests }) =>
      windowShares(requests).map(({ share }) => share)
    ),
  };
}

/** One line for people. */
export function lineOf(one: Summary): string {
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
    (one.coldBreaches > 0 ? `, ${one.coldBreaches} cold breaches` : "");
}

/** The shares by window, a line for each run. */
export function windowLines({ windows }: Summary): string {
  return windows.map((shares) =>
    shares.map((share) => share.toFixed(2)).join(" ")
  ).join("\n");
}
