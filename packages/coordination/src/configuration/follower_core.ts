/**
 * State machine that tracks the configuration on one VM. It moves only to
 * higher revisions, from any source, and tracks how long ago its revision was
 * last confirmed as the latest.
 *
 * @module
 */

import type { Json } from "../table.ts";
import type { InForce } from "./in_force.ts";

/** The configuration as known to one VM. Times are in ms on its own monotonic clock. */
export interface FollowerState<Value extends Json> {
  /** The configuration to run; undefined, and the VM not ready, until one was received. */
  readonly inForce: InForce<Value> | undefined;
  /**
   * The latest time at which the table is known to have had `inForce` as its
   * latest revision.
   */
  readonly currentAt: number;
  /** The highest revision known to exist; its value may not have been received yet. */
  readonly highestRevision: number;
}

/** Input of the state machine. */
export type FollowerEvent<Value extends Json> =
  /** The table responded to a poll that started at `startedAt`. */
  | {
    readonly kind: "table";
    readonly inForce: InForce<Value> | undefined;
    readonly startedAt: number;
  }
  /** A peer pushed or returned its configuration, confirmed as the latest `ageMs` ago. */
  | {
    readonly kind: "peer";
    readonly inForce: InForce<Value>;
    readonly ageMs: number;
  }
  /** A heartbeat carried a peer's revision without its value. */
  | { readonly kind: "reported"; readonly revision: number };

/** Actions for the follower's task to perform. */
export type FollowerEffect<Value extends Json> =
  /** Run this configuration from now on, and push it to peers. */
  | { readonly kind: "adopt"; readonly inForce: InForce<Value> }
  /** A peer has the higher revision `revision`; fetch its value. */
  | { readonly kind: "fetch"; readonly revision: number }
  /**
   * The table returned a lower revision than one already accepted: it was
   * restored to an older state or serves an outdated copy. Operators must be
   * notified; the VM keeps its configuration.
   */
  | { readonly kind: "table-behind"; readonly revision: number }
  /** One revision exists for two operations: the table violated its guarantees. */
  | { readonly kind: "diverged"; readonly revision: number };

/** The next state, with the actions to perform. */
export interface FollowerResult<Value extends Json> {
  readonly state: FollowerState<Value>;
  readonly effects: readonly FollowerEffect<Value>[];
}

/** State of a VM that has received no configuration yet. */
export function newFollower<Value extends Json>(): FollowerState<Value> {
  return { inForce: undefined, currentAt: -Infinity, highestRevision: 0 };
}

/**
 * Time in ms since this VM's revision was last known to be the latest; Infinity
 * if it never was.
 */
export function knowledgeAgeMs(
  state: FollowerState<Json>,
  now: number,
): number {
  return now - state.currentAt;
}

/** Returns the state and actions after `event`. */
export function advanceFollower<Value extends Json>(
  state: FollowerState<Value>,
  event: FollowerEvent<Value>,
  now: number,
): FollowerResult<Value> {
  switch (event.kind) {
    case "table":
      return afterTable(state, event.inForce, event.startedAt);
    case "peer":
      return applyInForce(state, event.inForce, now - event.ageMs);
    case "reported":
      return applyReportedRevision(state, event.revision);
  }
}

function revisionOf(state: FollowerState<Json>): number {
  return state.inForce?.revision ?? 0;
}

function afterTable<Value extends Json>(
  state: FollowerState<Value>,
  inForce: InForce<Value> | undefined,
  startedAt: number,
): FollowerResult<Value> {
  const revision = inForce?.revision ?? 0;
  if (revision < revisionOf(state)) {
    return { state, effects: [{ kind: "table-behind", revision }] };
  }
  return inForce === undefined
    ? { state, effects: [] }
    : applyInForce(state, inForce, startedAt);
}

/**
 * Adopts a higher revision; for the same one only advances the time of its last
 * confirmation.
 */
function applyInForce<Value extends Json>(
  state: FollowerState<Value>,
  inForce: InForce<Value>,
  currentAt: number,
): FollowerResult<Value> {
  const localRevision = revisionOf(state);
  if (inForce.revision < localRevision) {
    return { state, effects: [] };
  }
  if (inForce.revision === localRevision) {
    if (inForce.operationId !== state.inForce?.operationId) {
      return {
        state,
        effects: [{ kind: "diverged", revision: localRevision }],
      };
    }
    const latest = Math.max(state.currentAt, currentAt);
    return { state: { ...state, currentAt: latest }, effects: [] };
  }
  const highestRevision = Math.max(state.highestRevision, inForce.revision);
  return {
    state: { inForce, currentAt, highestRevision },
    effects: [{ kind: "adopt", inForce }],
  };
}

function applyReportedRevision<Value extends Json>(
  state: FollowerState<Value>,
  revision: number,
): FollowerResult<Value> {
  if (revision <= revisionOf(state)) {
    return { state, effects: [] };
  }
  const highestRevision = Math.max(state.highestRevision, revision);
  return {
    state: { ...state, highestRevision },
    effects: [{ kind: "fetch", revision }],
  };
}
