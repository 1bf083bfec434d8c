/**
 * State machine of one contender for a lease with a fencing token.
 *
 * A lease has two rows. `lease/NAME` names the holder and changes only when the
 * lease is acquired or released, so its version serves as the fencing token.
 * `lease/NAME/beat` is rewritten by each renewal. The table refuses a write with
 * a condition on the first row as soon as another contender has acquired the
 * lease, even if the old holder has not noticed; renewals do not affect such a
 * write.
 *
 * The contenders share no clock. A contender takes over only after the beat row
 * has stayed unchanged for the full duration by the contender's own clock. A
 * holder counts the duration from before it sent the renewal.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import {
  ABSENT,
  type Condition,
  type Json,
  type Row,
  type TableEffect,
  type Transaction,
  type TransactionResult,
  type Write,
} from "../table.ts";

/**
 * Factor by which a contender waits longer than the holder's duration, because
 * two clocks may run at different rates. 5% is far above the 0.05% by which a
 * clock that is not stepped may drift. The fencing token does not depend on this
 * factor: it only avoids that two VMs do the same work at once.
 */
export const TAKEOVER_WAIT_FACTOR = 1.05;

/** A contender and the lease it contends for. */
export interface LeaseContender {
  readonly name: string;
  readonly instance: InstanceId;
  /** How long a holder may work after its last successful renewal. */
  readonly durationMs: number;
}

/** Value of the row `lease/NAME`; `holder` is null after a release. */
interface LeaseRow {
  readonly holder: InstanceId | null;
}

/** The two rows of a lease. */
export interface LeaseRows {
  readonly lease: Row;
  readonly beat: Row;
}

/** What a contender knows about the lease. */
export type LeaseStatus =
  | { readonly kind: "unseen" }
  /** Another contender or nobody holds it; `rows` have not changed since `since`. */
  | {
    readonly kind: "watching";
    readonly rows: LeaseRows;
    readonly since: number;
  }
  /**
   * Held by this contender until `deadline` by its own clock; the table accepts
   * its token until another contender takes over.
   */
  | {
    readonly kind: "held";
    readonly token: number;
    readonly beat: number;
    readonly deadline: number;
  }
  /** Stopped as planned; the contender never contends again. */
  | { readonly kind: "stopped" };

/** State of a contender between two calls to the table. */
export interface LeaseState {
  readonly contender: LeaseContender;
  readonly status: LeaseStatus;
}

/** The next call of the contender to the table. */
export type LeaseStep =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | {
    readonly kind: "transact";
    readonly purpose: "acquire" | "renew" | "release";
    readonly token: number;
    readonly beat: number;
    readonly transaction: Transaction;
  };

/** The result of a step. */
export type LeaseEvent =
  | {
    readonly kind: "rows";
    readonly rows: LeaseRows;
    /**
     * When the response arrived. The rows are known to have had these versions
     * only from then on: counted from the request, a slow response would look
     * like missing renewals, and the contender would take over a lease that had
     * just been renewed.
     */
    readonly receivedAt: number;
  }
  | {
    readonly kind: "result";
    readonly step: Extract<LeaseStep, { kind: "transact" }>;
    readonly result: TransactionResult;
    /** Taken before the call was sent; the holder's duration starts here. */
    readonly startedAt: number;
  }
  | { readonly kind: "failed"; readonly effect: TableEffect };

/** Key of the row that names the lease's holder. */
export function leaseKey(name: string): string {
  return `lease/${name}`;
}

function beatKey(name: string): string {
  return `lease/${name}/beat`;
}

/** State of a contender that has not read the table yet. */
export function newLease(contender: LeaseContender): LeaseState {
  return { contender, status: { kind: "unseen" } };
}

/** The fencing token while the lease is held by the contender's own clock, else undefined. */
export function heldToken(state: LeaseState, now: number): number | undefined {
  const { status } = state;
  return status.kind === "held" && now < status.deadline
    ? status.token
    : undefined;
}

/**
 * The condition that makes the table refuse a write once the lease was acquired
 * or released since.
 */
export function fence(name: string, token: number): Condition {
  return { key: leaseKey(name), version: token };
}

/** A write that succeeds only while `token` is the current one and `conditions` hold. */
export interface FencedWrite {
  readonly token: number;
  readonly writes: readonly Write[];
  /** For example, that the configuration the write is based on is still in force. */
  readonly conditions?: readonly Condition[];
}

/** The transaction for a fenced write. */
export function fencedTransaction(
  name: string,
  { token, writes, conditions = [] }: FencedWrite,
): Transaction {
  return { conditions: [fence(name, token), ...conditions], writes };
}

/** The call to send now; undefined once the contender has stopped. */
export function nextLeaseStep(
  state: LeaseState,
  now: number,
): LeaseStep | undefined {
  const { contender, status } = state;
  switch (status.kind) {
    case "stopped":
      return undefined;
    case "unseen":
      return readStep(contender);
    case "watching":
      return canAcquire(contender, status, now)
        ? acquireStep(contender, status.rows)
        : readStep(contender);
    case "held":
      return now < status.deadline
        ? renewStep(contender, status)
        : readStep(contender);
  }
}

/**
 * Handles a planned stop: returns the stopped state and, if the lease is held,
 * the call that releases it. The contender stops using the lease before the
 * release is sent, since the next holder may start before the response arrives.
 */
export function stopLease(
  state: LeaseState,
): { readonly state: LeaseState; readonly release: LeaseStep | undefined } {
  const { contender, status } = state;
  const stopped = { ...state, status: { kind: "stopped" } as const };
  return status.kind === "held"
    ? { state: stopped, release: releaseStep(contender, status) }
    : { state: stopped, release: undefined };
}

/** Returns the state after `event`. */
export function advanceLease(
  state: LeaseState,
  event: LeaseEvent,
): LeaseState {
  switch (event.kind) {
    case "rows":
      return { ...state, status: afterRead(state, event) };
    case "result":
      return { ...state, status: afterTransact(state, event) };
    case "failed":
      return state.status.kind === "held"
        ? state
        : { ...state, status: { kind: "unseen" } };
  }
}

function readStep(contender: LeaseContender): LeaseStep {
  const { name } = contender;
  return { kind: "read", keys: [leaseKey(name), beatKey(name)] };
}

function holderOf(lease: Row): InstanceId | null {
  return lease.version === ABSENT
    ? null
    : (lease.value as unknown as LeaseRow).holder;
}

function canAcquire(
  contender: LeaseContender,
  status: Extract<LeaseStatus, { kind: "watching" }>,
  now: number,
): boolean {
  const holder = holderOf(status.rows.lease);
  // The row names this instance as the holder only if the response to its own
  // call was lost. The lease is then acquired again under a new token, so that
  // the duration starts at a call whose response did arrive.
  if (holder === null || holder === contender.instance) {
    return true;
  }
  return now - status.since >= contender.durationMs * TAKEOVER_WAIT_FACTOR;
}

function releaseStep(
  contender: LeaseContender,
  status: Extract<LeaseStatus, { kind: "held" }>,
): LeaseStep {
  const row: LeaseRow = { holder: null };
  const key = leaseKey(contender.name);
  return {
    kind: "transact",
    purpose: "release",
    token: status.token,
    beat: status.beat,
    transaction: {
      conditions: [fence(contender.name, status.token)],
      // The row is not deleted: the versions of a deleted row start at 1 again,
      // so a token that was used before would pass the fencing condition.
      writes: [{ key, value: row as unknown as Json }],
    },
  };
}

function acquireStep(contender: LeaseContender, rows: LeaseRows): LeaseStep {
  const { name, instance } = contender;
  const row: LeaseRow = { holder: instance };
  const token = rows.lease.version + 1;
  const beat = rows.beat.version + 1;
  return {
    kind: "transact",
    purpose: "acquire",
    token,
    beat,
    transaction: {
      conditions: [
        { key: leaseKey(name), version: rows.lease.version },
        // Fails if the holder has renewed the lease since this contender's read.
        { key: beatKey(name), version: rows.beat.version },
      ],
      writes: [
        { key: leaseKey(name), value: row as unknown as Json },
        { key: beatKey(name), value: { token } },
      ],
    },
  };
}

function renewStep(
  contender: LeaseContender,
  status: Extract<LeaseStatus, { kind: "held" }>,
): LeaseStep {
  const { token } = status;
  return {
    kind: "transact",
    purpose: "renew",
    token,
    beat: status.beat + 1,
    transaction: {
      conditions: [fence(contender.name, token)],
      writes: [{ key: beatKey(contender.name), value: { token } }],
    },
  };
}

function afterRead(
  state: LeaseState,
  event: Extract<LeaseEvent, { kind: "rows" }>,
): LeaseStatus {
  const { status } = state;
  const { rows, receivedAt } = event;
  if (status.kind === "stopped") {
    return status;
  }
  const unchanged = status.kind === "watching" &&
    status.rows.lease.version === rows.lease.version &&
    status.rows.beat.version === rows.beat.version;
  return unchanged ? status : { kind: "watching", rows, since: receivedAt };
}

function afterTransact(
  state: LeaseState,
  event: Extract<LeaseEvent, { kind: "result" }>,
): LeaseStatus {
  const { contender, status } = state;
  const { step, result, startedAt } = event;
  if (status.kind === "stopped") {
    return status;
  }
  if (result.kind === "conflict") {
    return { kind: "unseen" };
  }
  return {
    kind: "held",
    token: step.token,
    beat: step.beat,
    deadline: startedAt + contender.durationMs,
  };
}
