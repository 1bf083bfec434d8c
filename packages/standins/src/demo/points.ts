/**
 * The demo's verdict: points that must hold, and kinds of events that must
 * really have happened.
 *
 * @module
 */

import type { ResultsReport } from "../caller/results.ts";
import type { Ledger } from "../cluster/ledger.ts";
import { sum } from "../cluster/ledger.ts";

/** What the demo saw of its own events. */
export interface Events {
  /** Slowest VM, for the slowest of the changes. */
  readonly inForceSeconds: number;
  /** Changes that an operator made and that were accepted. */
  readonly changes: number;
  /** Changes that not every VM confirmed in time. */
  readonly unconfirmed: number;
  /** Runs on the drained target before and, later than allowed, after its drain. */
  readonly drained: { readonly before: number; readonly after: number };
  /** The VM stopped as planned. */
  readonly planned: {
    readonly inFlight: number;
    readonly cut: number;
    /** Exit code of its daemon; null where a signal ended it or it did not end. */
    readonly exitCode: number | null;
    readonly seconds: number;
  };
  /** Requests in flight through the killed VM, and how many of these a repeat resolved or named unknown. */
  readonly killed: { readonly inFlight: number; readonly settled: number };
  /** Orders sent while the platform was away, and after it was back. */
  readonly outage: {
    readonly refusedNotRun: number;
    readonly readsServed: number;
    readonly servedAfter: number;
  };
}

/** The last line that the demo prints. */
export interface Report extends Ledger {
  readonly deployment: string;
  readonly requests: number;
  readonly served: number;
  readonly refusedNotRun: number;
  readonly refused: number;
  readonly outcomeUnknown: number;
  readonly unreachable: number;
  readonly cutByPlannedStop: number;
  readonly inForceSeconds: number;
  readonly runsOnDrainedTarget: number;
  readonly plannedStopSeconds: number;
  readonly servedByKind: Readonly<Record<string, number>>;
  readonly statuses: Readonly<Record<string, number>>;
  readonly repeats: { readonly sent: number; readonly served: number };
  readonly notRunAfterUnknown: number;
  readonly latencyMs: { readonly p50: number; readonly p99: number };
  readonly seconds: number;
  /** Points that did not hold. */
  readonly broken: readonly string[];
  /** Events that did not really happen. */
  readonly notExercised: readonly string[];
}

/** "In force everywhere within seconds"; far above what it takes, since machines are busy. */
const IN_FORCE_BOUND_SECONDS = 10;
/** Share of requests that must be served through all events; refusals of the outage are among the rest. */
const SERVED_SHARE = 0.7;

/** Points that must hold and did not. */
export function brokenPoints(ledger: Ledger, events: Events): string[] {
  const zero: Readonly<Record<string, number>> = {
    ...ledger,
    cutByPlannedStop: events.planned.cut,
    runsOnDrainedTarget: events.drained.after,
    unconfirmedChanges: events.unconfirmed,
  };
  const broken = Object.entries(zero)
    .filter(([, count]) => count !== 0)
    .map(([name, count]) => `${name} is ${count}`);
  if (events.inForceSeconds > IN_FORCE_BOUND_SECONDS) {
    broken.push(`inForceSeconds is ${events.inForceSeconds}`);
  }
  if (events.planned.exitCode !== 0) {
    broken.push(`the planned stop ended with ${events.planned.exitCode}`);
  }
  return broken;
}

/** Events that the run was meant to have and did not. */
export function missingEvents(
  results: readonly ResultsReport[],
  kinds: readonly string[],
  events: Events,
): string[] {
  const requests = sum(results.map((report) => report.requests));
  const served = countOutcome(results, "served");
  const exercised: Readonly<Record<string, boolean>> = {
    "most requests served": served >= requests * SERVED_SHARE,
    "look-ups": sum(results.map((report) => report.lookups)) > 0,
    "edit, switch and drain": events.changes === 3,
    "work on the target before its drain": events.drained.before > 0,
    "requests in flight at the planned stop": events.planned.inFlight > 0,
    "requests in flight at the kill": events.killed.inFlight > 0 &&
      events.killed.settled === events.killed.inFlight,
    "orders refused as not run in the outage": events.outage.refusedNotRun > 0,
    "reads served in the outage": events.outage.readsServed > 0,
    "orders served after the outage": events.outage.servedAfter > 0,
  };
  for (const kind of kinds) {
    const count = sum(results.map((report) => report.servedByKind[kind] ?? 0));
    Object.assign(exercised, { [`${kind} served`]: count > 0 });
  }
  return Object.entries(exercised)
    .filter(([, happened]) => !happened)
    .map(([name]) => name);
}

/** Requests of all callers that ended in one way. */
export function countOutcome(
  results: readonly ResultsReport[],
  outcome: keyof ResultsReport["outcomes"],
): number {
  return sum(results.map((report) => report.outcomes[outcome] ?? 0));
}
