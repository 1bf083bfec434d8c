/**
 * What callers got in one run.
 *
 * @module
 */

/** One caller's request, over all its attempts. */
export interface Served {
  readonly kind: string;
  readonly zone: string;
  /** When it was first sent, in milliseconds. */
  readonly at: number;
  readonly owed: number;
  readonly earned: number;
  readonly outcome: Outcome;
}

/** How a request ended for its caller. */
export type Outcome = "in-aim" | "late" | "refused" | "failed" | "unanswered";

/** Figures of a run, or the means of several. */
export interface Figures {
  /** Shares of what was owed that was earned. */
  readonly whole: number;
  /** The mean of the two worst windows of {@link WINDOW_MS}. */
  readonly worstWindows: number;
  readonly worstZone: number;
  readonly worstKind: number;
  /** Share of the requests that got an answer of a target. */
  readonly served: number;
  /** Weighs the figures above as the users do. */
  readonly worth: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly byKind: Readonly<Record<string, number>>;
  readonly byZone: Readonly<Record<string, number>>;
}

/** Length of a window, in milliseconds. */
export const WINDOW_MS = 2_000;
/** Windows with less than this share of the usual worth say nothing. */
const LEAST_WINDOW = 0.25;
/** How the users weigh the figures. */
const WEIGHTS = {
  whole: 0.336,
  worstZone: 0.3,
  worstWindows: 0.14,
  served: 0.14,
  worstKind: 0.084,
};

/** Figures of one run's requests. */
export function figuresOf(requests: readonly Served[]): Figures {
  const byKind = sharesBy(requests, ({ kind }) => kind);
  const byZone = sharesBy(requests, ({ zone }) => zone);
  const shareOf = (outcome: Outcome) =>
    requests.filter((one) => one.outcome === outcome).length / requests.length;
  const parts = {
    whole: earnedShare(requests),
    worstWindows: worstWindows(requests),
    worstZone: Math.min(...Object.values(byZone)),
    worstKind: Math.min(...Object.values(byKind)),
    served: shareOf("in-aim") + shareOf("late"),
  };
  return {
    ...parts,
    worth: parts.whole * WEIGHTS.whole + parts.worstZone * WEIGHTS.worstZone +
      parts.worstWindows * WEIGHTS.worstWindows +
      parts.served * WEIGHTS.served + parts.worstKind * WEIGHTS.worstKind,
    late: shareOf("late"),
    refused: shareOf("refused"),
    failed: shareOf("failed") + shareOf("unanswered"),
    byKind,
    byZone,
  };
}

/** The mean of each figure. */
export function meanOf(runs: readonly Figures[]): Figures {
  const [first] = runs;
  const mean = (pick: (one: Figures) => number) =>
    runs.reduce((sum, one) => sum + pick(one), 0) / runs.length;
  const means = (pick: (one: Figures) => Readonly<Record<string, number>>) =>
    Object.fromEntries(
      Object.keys(pick(first!)).map((key) => [
        key,
        mean((one) => pick(one)[key]!),
      ]),
    );
  return {
    whole: mean((one) => one.whole),
    worstWindows: mean((one) => one.worstWindows),
    worstZone: mean((one) => one.worstZone),
    worstKind: mean((one) => one.worstKind),
    served: mean((one) => one.served),
    worth: mean((one) => one.worth),
    late: mean((one) => one.late),
    refused: mean((one) => one.refused),
    failed: mean((one) => one.failed),
    byKind: means((one) => one.byKind),
    byZone: means((one) => one.byZone),
  };
}

/** Share that was earned in each window, in their order. */
export function windowShares(
  requests: readonly Served[],
): readonly { at: number; share: number; owed: number }[] {
  const windows = new Map<number, Served[]>();
  for (const one of requests) {
    const window = Math.floor(one.at / WINDOW_MS);
    windows.set(window, [...(windows.get(window) ?? []), one]);
  }
  return [...windows].toSorted(([a], [b]) => a - b).map(([window, ones]) => ({
    at: window * WINDOW_MS,
    share: earnedShare(ones),
    owed: sum(ones, ({ owed }) => owed),
  }));
}

function worstWindows(requests: readonly Served[]): number {
  const windows = windowShares(requests);
  const usual = sum(windows, ({ owed }) => owed) / windows.length;
  const [worst, second] = windows
    .filter(({ owed }) => owed >= usual * LEAST_WINDOW)
    .map(({ share }) => share)
    .toSorted((a, b) => a - b);
  return (worst! + (second ?? worst!)) / 2;
}

function sharesBy(
  requests: readonly Served[],
  keyOf: (one: Served) => string,
): Readonly<Record<string, number>> {
  const groups = groupBy(requests, keyOf);
  return Object.fromEntries(
    [...groups].map(([key, ones]) => [key, earnedShare(ones)]),
  );
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (one: T) => string,
): ReadonlyMap<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group === undefined) {
      groups.set(keyOf(item), [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}

function earnedShare(requests: readonly Served[]): number {
  return sum(requests, ({ earned }) => earned) /
    sum(requests, ({ owed }) => owed);
}

function sum<T>(items: readonly T[], valueOf: (one: T) => number): number {
  return items.reduce((total, one) => total + valueOf(one), 0);
}
