/**
 * Model of freshness: a permission is removed from a table while processes read
 * the table, query each other in changing chains, lose responses and are
 * suspended.
 *
 * @module
 */

import type * as freshness from "@poplarthread/coordination/freshness";
import type { Model } from "./explore.ts";

/** The functions under test: the production ones, or a mutant of them. */
export type FreshnessCore = typeof freshness;

/** Bounds of the model. */
export interface FreshnessBounds {
  readonly processes: number;
  /**
   * The first `readers` processes read the table; each process queries any
   * process before it.
   */
  readonly readers: number;
  /** Steps of time. */
  readonly steps: number;
  /** Number of reads and queries. */
  readonly calls: number;
  /** Steps for which processes are suspended, in total. */
  readonly suspensions: number;
}

/** Maximum age at which information may be relied on, in steps. */
const MAX_AGE_STEPS = 1;

/** A read of the table or a query to a process, in flight. */
interface Call {
  /** The process that started it. */
  readonly by: number;
  /** The process that is queried; undefined for the table. */
  readonly of: number | undefined;
  /** When it started, on the clock of `by`. */
  readonly startedAt: number;
  /** When it reached the process `of`, on that one's clock. */
  readonly arrivedAt: number | undefined;
  /** The response; undefined until it was sent. */
  readonly response: CallResponse | undefined;
}

/** The response to a read or a query. */
interface CallResponse {
  readonly knowsOfRemoval: boolean;
  /** Freshness reported by the process; undefined for the table. */
  readonly freshness: freshness.FreshnessReport | undefined;
}

interface Process {
  readonly knowsOfRemoval: boolean;
  /** Time since which its information is known to be current, on its own clock. */
  readonly knownSince: number;
  /** Its monotonic clock, in steps, without the time of suspension. */
  readonly clock: number;
  /** Steps for which it was suspended, detected when it resumes. */
  readonly lost: number;
}

/** A state of the model. */
export interface FreshnessState {
  readonly time: number;
  /** When the permission was removed; undefined until then. */
  readonly removedAt: number | undefined;
  readonly processes: readonly Process[];
  readonly calls: readonly Call[];
  /** Number of calls started. */
  readonly begun: number;
  readonly suspensions: number;
}

/** A step of the model. */
export type FreshnessEvent =
  | { readonly type: "time-passes"; readonly suspended: readonly number[] }
  | { readonly type: "right-removed" }
  | {
    readonly type: "asks";
    readonly by: number;
    readonly of: number | undefined;
  }
  | { readonly type: "arrives"; readonly call: number }
  | { readonly type: "responds"; readonly call: number }
  | { readonly type: "ends"; readonly call: number; readonly isLost: boolean };

/** Builds the model with the functions under test. */
export function freshnessModel(
  bounds: FreshnessBounds,
  core: FreshnessCore,
): Model<FreshnessState, FreshnessEvent> {
  return {
    name: "freshness",
    bounds: { ...bounds },
    initial: {
      time: 0,
      removedAt: undefined,
      processes: Array.from({ length: bounds.processes }, () => ({
        knowsOfRemoval: false,
        knownSince: 0,
        clock: 0,
        lost: 0,
      })),
      calls: [],
      begun: 0,
      suspensions: 0,
    },
    events: (state) => eventsOf(state, bounds),
    next: (state, event) => next(state, event, core),
    properties: {
      "no process relies on a permission that was removed longer ago than allowed":
        (
          { time, removedAt, processes },
        ) =>
          removedAt === undefined || time - removedAt <= MAX_AGE_STEPS ||
          processes.every((process) =>
            process.knowsOfRemoval || !mayRely(process, core)
          ),
    },
  };
}

function mayRely(
  { knownSince, clock, lost }: Process,
  core: FreshnessCore,
): boolean {
  return core.isReliable(clock + lost - knownSince, MAX_AGE_STEPS);
}

function eventsOf(
  state: FreshnessState,
  bounds: FreshnessBounds,
): readonly FreshnessEvent[] {
  const events: FreshnessEvent[] = [];
  const indexes = state.processes.map((_, index) => index);
  if (state.time < bounds.steps) {
    events.push({ type: "time-passes", suspended: [] });
    if (state.suspensions < bounds.suspensions) {
      indexes.forEach((index) =>
        events.push({ type: "time-passes", suspended: [index] })
      );
    }
  }
  if (state.removedAt === undefined) {
    events.push({ type: "right-removed" });
  }
  if (state.begun < bounds.calls) {
    for (const by of indexes) {
      const tableIfReader = by < bounds.readers ? [undefined] : [];
      [...tableIfReader, ...indexes.slice(0, by)].forEach((of) =>
        events.push({ type: "asks", by, of })
      );
    }
  }
  state.calls.forEach((call, index) => events.push(...callEvents(call, index)));
  return events;
}

function callEvents(
  { of, arrivedAt, response }: Call,
  call: number,
): readonly FreshnessEvent[] {
  if (response !== undefined) {
    return [
      { type: "ends", call, isLost: false },
      { type: "ends", call, isLost: true },
    ];
  }
  return of !== undefined && arrivedAt === undefined
    ? [{ type: "arrives", call }]
    : [{ type: "responds", call }];
}

function next(
  state: FreshnessState,
  event: FreshnessEvent,
  core: FreshnessCore,
): FreshnessState {
  switch (event.type) {
    case "time-passes":
      return passTime(state, event.suspended);
    case "right-removed":
      return { ...state, removedAt: state.time };
    case "asks": {
      const { by, of } = event;
      const call: Call = {
        by,
        of,
        startedAt: steadyClock(state.processes[by]!),
        arrivedAt: undefined,
        response: undefined,
      };
      return {
        ...state,
        calls: [...state.calls, call],
        begun: state.begun + 1,
      };
    }
    case "arrives": {
      const call = state.calls[event.call]!;
      const arrivedAt = steadyClock(state.processes[call.of!]!);
      return withCall(state, event.call, { ...call, arrivedAt });
    }
    case "responds": {
      const call = state.calls[event.call]!;
      const response = responseTo(state, call, core);
      return withCall(state, event.call, { ...call, response });
    }
    case "ends":
      return endCall(state, event, core);
  }
}

/** A clock of the process that includes the time of suspension. */
function steadyClock({ clock, lost }: Process): number {
  return clock + lost;
}

function passTime(
  state: FreshnessState,
  suspended: readonly number[],
): FreshnessState {
  return {
    ...state,
    time: state.time + 1,
    suspensions: state.suspensions + suspended.length,
    processes: state.processes.map((process, index) =>
      suspended.includes(index)
        ? { ...process, lost: process.lost + 1 }
        : { ...process, clock: process.clock + 1 }
    ),
  };
}

function responseTo(
  { removedAt, processes }: FreshnessState,
  { of, arrivedAt }: Call,
  core: FreshnessCore,
): CallResponse {
  if (of === undefined) {
    return { knowsOfRemoval: removedAt !== undefined, freshness: undefined };
  }
  const process = processes[of]!;
  return {
    knowsOfRemoval: process.knowsOfRemoval,
    freshness: core.freshnessReport(process.knownSince, {
      requestedAt: arrivedAt!,
      respondedAt: steadyClock(process),
    }),
  };
}

function endCall(
  state: FreshnessState,
  { call: index, isLost }: Extract<FreshnessEvent, { type: "ends" }>,
  core: FreshnessCore,
): FreshnessState {
  const { by, startedAt, response } = state.calls[index]!;
  const calls = state.calls.toSpliced(index, 1);
  if (isLost) {
    return { ...state, calls };
  }
  const process = state.processes[by]!;
  const now = steadyClock(process);
  const { knowsOfRemoval, freshness: report } = response!;
  const since = report === undefined
    ? core.knownSinceRead({ startedAt, endedAt: now })
    : core.knownSinceReport(report, {
      requestedAt: startedAt,
      respondedAt: now,
    });
  return {
    ...state,
    calls,
    processes: state.processes.with(by, {
      ...process,
      knowsOfRemoval: process.knowsOfRemoval || knowsOfRemoval,
      knownSince: core.laterKnownSince(process.knownSince, since),
    }),
  };
}

function withCall(
  state: FreshnessState,
  index: number,
  call: Call,
): FreshnessState {
  return { ...state, calls: state.calls.with(index, call) };
}
