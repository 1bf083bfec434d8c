/**
 * What callers got, counted by themselves.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** How a request ended for its caller, after every fallback and repeat. */
export type Outcome =
  | "served"
  /** Refused and said to be not run. */
  | "refused-not-run"
  /** Refused without a word on whether it ran. */
  | "refused"
  /** It may have run; the caller was told so, or its connection broke. */
  | "unknown"
  /** No entry VM took a connection; nothing was sent. */
  | "unreachable";

/** Counts and attempts of all requests so far. */
export interface ResultsReport {
  readonly requests: number;
  /** Requests by outcome. */
  readonly outcomes: Readonly<Partial<Record<Outcome, number>>>;
  /** Requests served, by kind. */
  readonly servedByKind: Readonly<Record<string, number>>;
  /** Answers by status, refusals by reason and outcome; attempts counted singly. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Whole for the protocol, yet shorter than the answer is. */
  readonly partialAnswers: number;
  /** Whole, but not the answer to this request. */
  readonly wrongAnswers: number;
  /** Connections that broke after a request was sent on them, by VM address. */
  readonly brokenByVm: Readonly<Record<string, number>>;
  /** Connections that a VM did not take, by its address. */
  readonly notTakenByVm: Readonly<Record<string, number>>;
  /** Requests that were sent again after an unknown outcome, and what became of them. */
  readonly repeats: { readonly sent: number; readonly served: number };
  readonly lookups: number;
  /** Attempts that were refused as not run. */
  readonly notRunAttempts: readonly string[];
  /** Keys that were served. */
  readonly servedKeys: readonly string[];
  /** Keys refused as not run by the last attempt although an earlier one had an unknown outcome. */
  readonly notRunAfterUnknown: number;
  /** Time until served, over all repeats, in milliseconds. */
  readonly latencyMs: { readonly p50: number; readonly p99: number };
}

/** Longest latency that is told apart, in milliseconds. */
const HIGHEST_LATENCY_MS = 120_000;

/** Collects what callers got. */
export class Results {
  requests = 0;
  partialAnswers = 0;
  wrongAnswers = 0;
  lookups = 0;
  notRunAfterUnknown = 0;
  repeatsSent = 0;
  repeatsServed = 0;
  readonly outcomes: Partial<Record<Outcome, number>> = {};
  readonly servedByKind: Record<string, number> = {};
  readonly statuses: Record<string, number> = {};
  readonly brokenByVm: Record<string, number> = {};
  readonly notTakenByVm: Record<string, number> = {};
  readonly notRunAttempts: string[] = [];
  readonly servedKeys: string[] = [];
  readonly latency: Histogram = build({
    highestTrackableValue: HIGHEST_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });

  report(): ResultsReport {
    return {
      requests: this.requests,
      outcomes: this.outcomes,
      servedByKind: this.servedByKind,
      statuses: this.statuses,
      partialAnswers: this.partialAnswers,
      wrongAnswers: this.wrongAnswers,
      brokenByVm: this.brokenByVm,
      notTakenByVm: this.notTakenByVm,
      repeats: { sent: this.repeatsSent, served: this.repeatsServed },
      lookups: this.lookups,
      notRunAttempts: this.notRunAttempts,
      servedKeys: this.servedKeys,
      notRunAfterUnknown: this.notRunAfterUnknown,
      latencyMs: {
        p50: this.latency.getValueAtPercentile(50),
        p99: this.latency.getValueAtPercentile(99),
      },
    };
  }
}

/** Adds one to a count by name. */
export function increment<Name extends string>(
  counts: Partial<Record<Name, number>>,
  name: Name,
): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
