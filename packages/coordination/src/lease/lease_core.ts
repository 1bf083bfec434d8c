/**
 * The core of a lease with a fencing token: one contender's view.
 *
 * Two rows: `lease/NAME` names the holder and changes only when the lease
 * changes hands, so that its version is the fencing token; `lease/NAME/beat` is
 * rewritten by each renewal. A write guarded by a condition on the first row is
 * refused by the table once anybody else took over, whatever the old holder
 * believes, and renewals do not disturb it.
 *
 * No clock is shared. A contender takes over only after it saw the same beat
 * for the whole duration by its own clock; a holder counts its duration from
 * before it sent the renewal.
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
 * A contender waits longer than the holder counts, since two clocks may run
 * apart: 5% is far above the 0.05% that a clock which is not being stepped may
 * drift. The fence does not rest on it; it only keeps two VMs from working at
 * the same time for nothing.
 */
export const CLOCK_MARGIN = 1.05;

/** Who contends for which lease. */
export interface LeaseContender {
  readonly name: string;
  readonly instance: InstanceId;
  /** How long a holder may work without renewing, in ms. */
  readonly durationMs: number;
}

/** Value of `lease/NAME`; the holder is null after a release. */
interface LeaseRow {
  readonly holder: InstanceId | null;
}

/** The two rows of a lease. */
export interface LeaseRows {
  readonly lease: Row;
  readonly beat: Row;
}

/** What a contender believes. */
export type LeaseBelief =
  | { readonly kind: "unseen" }
  /** Another holds it, or nobody; the rows looked like this since `since`. */
  | {
    readonly kind: "watching";
    readonly rows: LeaseRows;
    readonly since: number;
  }
  /** Ours until `deadline` by our clock, and by the table until someone takes over. */
  | {
    readonly kind: "held";
    readonly token: number;
    readonly beat: number;
    readonly deadline: number;
  }
  /** Released at a planned stop; never contends again. */
  | { readonly kind: "stopped" };

/** A contender between two calls. */
export interface LeaseState {
  readonly contender: LeaseContender;
  readonly belief: LeaseBelief;
}

/** What the contender sends to the table next. */
export type LeaseStep =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | {
    readonly kind: "transact";
    readonly purpose: "acquire" | "renew" | "release";
    readonly token: number;
    readonly beat: number;
    readonly transaction: Transaction;
  };

/** How a step ended. */
export type LeaseEvent =
  | {
    readonly kind: "rows";
    readonly rows: LeaseRows;
    /**
     * When the answer came. The rows may have looked like this only then: a
     * contender that counted from when it asked would count a slow answer as
     * silence of the holder, and take over a lease that was just renewed.
     */
    readonly answeredAt: number;
  }
  | {
    readonly kind: "result";
    readonly step: Extract<LeaseStep, { kind: "transact" }>;
    readonly result: TransactionResult;
    /** Before it was sent: a holder's duration counts from there. */
    readonly startedAt: number;
  }
  | { readonly kind: "failed"; readonly effect: TableEffect };

/** Key of the row that names the holder. */
export function leaseKey(name: string): string {
  return `lease/${name}`;
}

function beatKey(name: string): string {
  return `lease/${name}/beat`;
}

/** A contender that has not looked at the table yet. */
export function newLease(contender: LeaseContender): LeaseState {
  return { contender, belief: { kind: "unseen" } };
}

/** The token while the lease is held by our own clock, else undefined. */
export function heldToken(state: LeaseState, now: number): number | undefined {
  const { belief } = state;
  return belief.kind === "held" && now < belief.deadline
    ? belief.token
    : undefined;
}

/** The condition that makes the table refuse a write once the lease changed hands. */
export function fence(name: string, token: number): Condition {
  return { key: leaseKey(name), version: token };
}

/** A write that only the holder of that token can make, if `conditions` hold too. */
export interface FencedWrite {
  readonly token: number;
  readonly writes: readonly Write[];
  /** For example that the configuration it was made for is still in force. */
  readonly conditions?: readonly Condition[];
}

/** The transaction of a write under the lease's fence. */
export function fencedTransaction(
  name: string,
  { token, writes, conditions = [] }: FencedWrite,
): Transaction {
  return { conditions: [fence(name, token), ...conditions], writes };
}

/** What to send now. */
export function nextLeaseStep(
  state: LeaseState,
  now: number,
): LeaseStep | undefined {
  const { contender, belief } = state;
  switch (belief.kind) {
    case "stopped":
      return undefined;
    case "unseen":
      return readStep(contender);
    case "watching":
      return mayTakeOver(contender, belief, now)
        ? acquireStep(contender, belief.rows)
        : readStep(contender);
    case "held":
      return now < belief.deadline
        ? renewStep(contender, belief)
        : readStep(contender);
  }
}

/**
 * A planned stop: the state after it, and what hands the lease over at once if
 * it is held. The contender lets go before the release is sent, since the next
 * holder may start before the answer to it comes.
 */
export function stopLease(
  state: LeaseState,
): { readonly state: LeaseState; readonly release: LeaseStep | undefined } {
  const { contender, belief } = state;
  const stopped = { ...state, belief: { kind: "stopped" } as const };
  return belief.kind === "held"
    ? { state: stopped, release: releaseStep(contender, belief) }
    : { state: stopped, release: undefined };
}

/** The state after `event`. */
export function advanceLease(
  state: LeaseState,
  event: LeaseEvent,
): LeaseState {
  switch (event.kind) {
    case "rows":
      return { ...state, belief: afterRead(state, event) };
    case "result":
      return { ...state, belief: afterTransact(state, event) };
    case "failed":
      return state.belief.kind === "held"
        ? state
        : { ...state, belief: { kind: "unseen" } };
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

function mayTakeOver(
  contender: LeaseContender,
  belief: Extract<LeaseBelief, { kind: "watching" }>,
  now: number,
): boolean {
  const holder = holderOf(belief.rows.lease);
  // Our own instance is found as holder only after an answer was lost. It is
  // acquired anew, under a new token, so that its duration starts from a call
  // whose answer did come.
  if (holder === null || holder === contender.instance) {
    return true;
  }
  return now - belief.since >= contender.durationMs * CLOCK_MARGIN;
}

function releaseStep(
  contender: LeaseContender,
  belief: Extract<LeaseBelief, { kind: "held" }>,
): LeaseStep {
  const released: LeaseRow = { holder: null };
  const key = leaseKey(contender.name);
  return {
    kind: "transact",
    purpose: "release",
    token: belief.token,
    beat: belief.beat,
    transaction: {
      conditions: [fence(contender.name, belief.token)],
      // The row stays: a deleted row would count its versions from 1 again, and
      // a token that was used before would pass the fence.
      writes: [{ key, value: released as unknown as Json }],
    },
  };
}

function acquireStep(contender: LeaseContender, rows: LeaseRows): LeaseStep {
  const { name, instance } = contender;
  const lease: LeaseRow = { holder: instance };
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
        // A renewal between our look and now keeps the lease with its holder.
        { key: beatKey(name), version: rows.beat.version },
      ],
      writes: [
        { key: leaseKey(name), value: lease as unknown as Json },
        { key: beatKey(name), value: { token } },
      ],
    },
  };
}

function renewStep(
  contender: LeaseContender,
  belief: Extract<LeaseBelief, { kind: "held" }>,
): LeaseStep {
  const { token } = belief;
  return {
    kind: "transact",
    purpose: "renew",
    token,
    beat: belief.beat + 1,
    transaction: {
      conditions: [fence(contender.name, token)],
      writes: [{ key: beatKey(contender.name), value: { token } }],
    },
  };
}

function afterRead(
  state: LeaseState,
  event: Extract<LeaseEvent, { kind: "rows" }>,
): LeaseBelief {
  const { belief } = state;
  const { rows, answeredAt } = event;
  if (belief.kind === "stopped") {
    return belief;
  }
  const unchanged = belief.kind === "watching" &&
    belief.rows.lease.version === rows.lease.version &&
    belief.rows.beat.version === rows.beat.version;
  return unchanged ? belief : { kind: "watching", rows, since: answeredAt };
}

function afterTransact(
  state: LeaseState,
  event: Extract<LeaseEvent, { kind: "result" }>,
): LeaseBelief {
  const { contender, belief } = state;
  const { step, result, startedAt } = event;
  if (belief.kind === "stopped") {
    return belief;
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
