/**
 * What one VM knows of the configuration. It only ever moves to a higher
 * revision, whoever tells it, and knows how old its knowledge is.
 *
 * @module
 */

import type { Json } from "../table.ts";
import type { InForce } from "./in_force.ts";

/** The knowledge of one VM. Times are of its own monotonic clock, in ms. */
export interface FollowerState<Value extends Json> {
  /** Undefined until the table or a peer told something: the VM is not ready. */
  readonly inForce: InForce<Value> | undefined;
  /** The latest moment at which the table itself is known to have said so. */
  readonly currentAt: number;
  /** The highest revision heard of, perhaps without its value. */
  readonly heardRevision: number;
}

/** What a follower hears. */
export type FollowerEvent<Value extends Json> =
  /** The table answered a poll that began at `startedAt`. */
  | {
    readonly kind: "table";
    readonly inForce: InForce<Value> | undefined;
    readonly startedAt: number;
  }
  /** A peer pushed or answered; its own knowledge was `ageMs` old. */
  | {
    readonly kind: "peer";
    readonly inForce: InForce<Value>;
    readonly ageMs: number;
  }
  /** A heartbeat carried only the revision. */
  | { readonly kind: "heard"; readonly revision: number };

/** What the follower's task has to do. */
export type FollowerEffect<Value extends Json> =
  /** Run this from now on, and push it on. */
  | { readonly kind: "adopt"; readonly inForce: InForce<Value> }
  /** Somebody has a higher revision: get its value. */
  | { readonly kind: "fetch"; readonly revision: number }
  /**
   * The table answered a lower revision than one that was accepted: it was set
   * back or answers from an old copy. Operators must hear of it; the VM keeps
   * what it has.
   */
  | { readonly kind: "table-behind"; readonly revision: number }
  /** One revision with two operations: the table broke its promise. */
  | { readonly kind: "diverged"; readonly revision: number };

/** A state with what is to be done. */
export interface FollowerResult<Value extends Json> {
  readonly state: FollowerState<Value>;
  readonly effects: readonly FollowerEffect<Value>[];
}

/** A VM that knows nothing yet. */
export function newFollower<Value extends Json>(): FollowerState<Value> {
  return { inForce: undefined, currentAt: -Infinity, heardRevision: 0 };
}

/** Time since what this VM runs was known to be the latest; Infinity when it never was. */
export function knowledgeAgeMs(
  state: FollowerState<Json>,
  now: number,
): number {
  return now - state.currentAt;
}

/** The state after `event`. */
export function advanceFollower<Value extends Json>(
  state: FollowerState<Value>,
  event: FollowerEvent<Value>,
  now: number,
): FollowerResult<Value> {
  switch (event.kind) {
    case "table":
      return afterTable(state, event.inForce, event.startedAt);
    case "peer":
      return learn(state, event.inForce, now - event.ageMs);
    case "heard":
      return hear(state, event.revision);
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
    : learn(state, inForce, startedAt);
}

/** Takes a higher revision; the same one may only make the knowledge fresher. */
function learn<Value extends Json>(
  state: FollowerState<Value>,
  inForce: InForce<Value>,
  currentAt: number,
): FollowerResult<Value> {
  const mine = revisionOf(state);
  if (inForce.revision < mine) {
    return { state, effects: [] };
  }
  if (inForce.revision === mine) {
    if (inForce.operationId !== state.inForce?.operationId) {
      return { state, effects: [{ kind: "diverged", revision: mine }] };
    }
    const freshest = Math.max(state.currentAt, currentAt);
    return { state: { ...state, currentAt: freshest }, effects: [] };
  }
  const heardRevision = Math.max(state.heardRevision, inForce.revision);
  return {
    state: { inForce, currentAt, heardRevision },
    effects: [{ kind: "adopt", inForce }],
  };
}

function hear<Value extends Json>(
  state: FollowerState<Value>,
  revision: number,
): FollowerResult<Value> {
  if (revision <= revisionOf(state)) {
    return { state, effects: [] };
  }
  const heardRevision = Math.max(state.heardRevision, revision);
  return {
    state: { ...state, heardRevision },
    effects: [{ kind: "fetch", revision }],
  };
}
