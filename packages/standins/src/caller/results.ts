/**
 * Results of requests, as counted by the callers.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Outcome of a request for its caller, after all fallbacks and retries. */
export type Outcome =
  | "served"
  /** Refused, and reported as not run. */
  | "refused-not-run"
  /** Refused without stating whether it ran. */
  | "refused"
  /** It may have run: the refusal said so, the connection broke or the response was wrong. */
  | "unknown"
  /** No entry VM accepted a connection; nothing was sent. */
  | "unreachable";

/** Counts of all requests so far, and names of attempts and keys. */
export interface ResultsReport {
  readonly requests: number;
  /** Requests by outcome. */
  readonly outcomes: Readonly<Partial<Record<Outcome, number>>>;
  /** Requests served, by kind. */
  readonly servedByKind: Readonly<Record<string, number>>;
  /** Attempts that got a response: `200`, or the refusal's reason and outcome. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Responses that are complete in HTTP but whose body is truncated. */
  readonly partialResponses: number;
  /** Responses with the body of another request. */
  readonly wrongResponses: number;
  /** Connections that broke after a request was sent on them, by VM address. */
  readonly brokenByVm: Readonly<Record<string, number>>;
  /** Connections that were not accepted, by VM address. */
  readonly notTakenByVm: Readonly<Record<string, number>>;
  /** Retries after an unknown outcome, and requests served by such a retry. */
  readonly repeats: { readonly sent: number; readonly served: number };
  readonly lookups: number;
  /** Names of the attempts refused as not run. */
  readonly notRunAttempts: readonly string[];
  /** Idempotency keys of the requests served. */
  readonly servedKeys: readonly string[];
  /** Requests whose last attempt was refused as not run after an earlier one had an unknown outcome. */
  readonly notRunAfterUnknown: number;
  /** Time until served, including all retries. */
  readonly latencyMs: { readonly p50: number; readonly p99: number };
}

/** Longest latency that the histogram can record. */
const MAX_LATENCY_MS = 120_000;

/** Collects the results of requests. */
export class Results {
  requests = 0;
  partialResponses = 0;
  wrongResponses = 0;
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
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });

  report(): ResultsReport {
    return {
      requests: this.requests,
      outcomes: this.outcomes,
      servedByKind: this.servedByKind,
      statuses: this.statuses,
      partialResponses: this.partialResponses,
      wrongResponses: this.wrongResponses,
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

/** Adds one to the count of a name. */
export function increment<Name extends string>(
  counts: Partial<Record<Name, number>>,
  name: Name,
): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
