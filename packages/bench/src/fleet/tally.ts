/**
 * Results of callers' requests, and the figures computed from them.
 *
 * @module
 */

/** Result of one caller's request with all its attempts. */
export interface RequestResult {
  readonly kind: string;
  readonly zone: string;
  /** When it was first sent, in milliseconds from the start of the traffic. */
  readonly at: number;
  /** Worth of a response that meets the latency objective. */
  readonly owed: number;
  /** Worth of the response that the caller got. */
  readonly earned: number;
  readonly outcome: Outcome;
}

/** How a request ended for its caller. */
export type Outcome = "in-aim" | "late" | "refused" | "failed" | "unanswered";

/** Figures of a run, or the means of several. */
export interface Figures {
  /** Share of the worth owed that was earned, over all requests. */
  readonly whole: number;
  /** Mean share earned in the two worst windows of {@link WINDOW_MS}. */
  readonly worstWindows: number;
  /** Share earned in the worst zone. */
  readonly worstZone: number;
  /** Share earned for the worst kind of request. */
  readonly worstKind: number;
  /** Share of the requests that got a response from a target, in time or late. */
  readonly served: number;
  /** Sum of the figures above, with the users' weights. */
  readonly worth: number;
  /** `late`, `refused`, `failed`: shares of the requests; `failed` includes unanswered ones. */
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Share earned, by kind of request and by zone. */
  readonly byKind: Readonly<Record<string, number>>;
  readonly byZone: Readonly<Record<string, number>>;
}

/** Length of a window. */
export const WINDOW_MS = 2_000;
/** Windows with less than this share of the mean worth owed are ignored: too few requests to judge. */
const MIN_WINDOW_SHARE = 0.25;
/** The users' weights of the figures. */
const WEIGHTS = {
  whole: 0.336,
  worstZone: 0.3,
  worstWindows: 0.14,
  served: 0.14,
  worstKind: 0.084,
};

/** Figures of one run. */
export function figuresOf(requests: readonly RequestResult[]): Figures {
  const byKind = sharesBy(requests, ({ kind }) => kind);
  const byZone = sharesBy(requests, ({ zone }) => zone);
  const shareOf = (outcome: Outcome) =>
    requests.filter((one) => one.outcome === outcome).length / requests.length;
  const scores = {
    whole: earnedShare(requests),
    worstWindows: worstWindows(requests),
    worstZone: Math.min(...Object.values(byZone)),
    worstKind: Math.min(...Object.values(byKind)),
    served: shareOf("in-aim") + shareOf("late"),
  };
  return {
    ...scores,
    worth: scores.whole * WEIGHTS.whole + scores.worstZone * WEIGHTS.worstZone +
      scores.worstWindows * WEIGHTS.worstWindows +
      scores.served * WEIGHTS.served + scores.worstKind * WEIGHTS.worstKind,
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

/** Share earned in each window, in order of time. */
export function windowShares(
  requests: readonly RequestResult[],
): readonly { at: number; share: number; owed: number }[] {
  const windows = new Map<number, RequestResult[]>();
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

function worstWindows(requests: readonly RequestResult[]): number {
  const windows = windowShares(requests);
  const meanOwed = sum(windows, ({ owed }) => owed) / windows.length;
  const [worst, second] = windows
    .filter(({ owed }) => owed >= meanOwed * MIN_WINDOW_SHARE)
    .map(({ share }) => share)
    .toSorted((a, b) => a - b);
  return (worst! + (second ?? worst!)) / 2;
}

function sharesBy(
  requests: readonly RequestResult[],
  keyOf: (one: RequestResult) => string,
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

function earnedShare(requests: readonly RequestResult[]): number {
  return sum(requests, ({ earned }) => earned) /
    sum(requests, ({ owed }) => owed);
}

function sum<T>(items: readonly T[], valueOf: (one: T) => number): number {
  return items.reduce((total, one) => total + valueOf(one), 0);
}
