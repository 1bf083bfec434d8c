/**
 * State machine that gets one configuration change accepted: it decides on the
 * next call to the table and interprets the responses.
 *
 * The transaction has a condition on a row whose version only grows. It is
 * therefore safe to send the same transaction again after a lost response: it
 * commits, or the operation's own row shows that it was committed before, or
 * the revision has advanced, and then the transaction can never commit.
 *
 * @module
 */

import { ABSENT, type Json, type Row } from "../table.ts";
import type { TableEffect, Transaction, TransactionResult } from "../table.ts";
import {
  type AuditEntry,
  auditKey,
  type Change,
  type ChangeOrigin,
  IN_FORCE_KEY,
  type InForce,
  inForceFromRow,
  operationKey,
  type OperationRow,
} from "./in_force.ts";

/** The outcome of an attempt to get a change accepted. */
export type AcceptOutcome<Value extends Json> =
  | { readonly kind: "accepted"; readonly revision: number }
  /**
   * Another change was accepted first; `winner` is the audit entry of the one
   * that took the next revision.
   */
  | {
    readonly kind: "superseded";
    readonly revision: number;
    readonly winner: AuditEntry<Value> | undefined;
  }
  /** The operation id belongs to another change, which was accepted as `revision`. */
  | { readonly kind: "operation-reused"; readonly revision: number }
  /** The table could not be reached; nothing was written or will be. */
  | { readonly kind: "not-accepted" }
  /** The write may still take effect. A retry with the same operation id finds out. */
  | { readonly kind: "unknown" };

/** The next step of an acceptance. */
export type AcceptStep<Value extends Json> =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | { readonly kind: "transact"; readonly transaction: Transaction }
  | { readonly kind: "done"; readonly outcome: AcceptOutcome<Value> };

/** The result of the last step. */
export type AcceptEvent =
  | { readonly kind: "rows"; readonly rows: readonly Row[] }
  | { readonly kind: "result"; readonly result: TransactionResult }
  | { readonly kind: "failed"; readonly effect: TableEffect }
  /** The operator's call timed out. Sent only between two steps, never during one. */
  | { readonly kind: "expired" };

/** State of one change that is to be accepted. */
export interface Acceptance<Value extends Json> {
  readonly change: Change<Value>;
  readonly origin: ChangeOrigin;
  readonly changeDigest: string;
  readonly at: string;
  /** Whether a transaction of this operation may have been sent without a response. */
  readonly mayBeWritten: boolean;
  readonly step: AcceptStep<Value>;
}

/** Options of {@link startAcceptance}. */
export interface AcceptanceOptions {
  /** Digest of the change; equal for all its retries. */
  readonly changeDigest: string;
  /** Wall-clock time for the audit entry, in ISO 8601. */
  readonly at: string;
}

/**
 * The initial state; its step reads what is in force and whether this operation
 * was accepted before.
 */
export function startAcceptance<Value extends Json>(
  change: Change<Value>,
  origin: ChangeOrigin,
  options: AcceptanceOptions,
): Acceptance<Value> {
  // A transaction of an earlier attempt under this id may still reach the table.
  // Only the first attempt can rule out that anything was or will be written.
  const mayBeWritten = origin.firstSending !== true;
  const state = { change, origin, ...options, mayBeWritten };
  return { ...state, step: readStep(origin) };
}

/** Returns the state after `event`; a finished acceptance does not change. */
export function advanceAcceptance<Value extends Json>(
  state: Acceptance<Value>,
  event: AcceptEvent,
): Acceptance<Value> {
  if (state.step.kind === "done") {
    return state;
  }
  switch (event.kind) {
    case "rows":
      return { ...state, step: afterRead(state, event.rows) };
    case "result":
      return event.result.kind === "committed"
        ? done(state, { kind: "accepted", revision: nextRevision(state) })
        : { ...state, step: readStep(state.origin) };
    case "failed":
      return afterFailure(state, event.effect);
    case "expired":
      return done(state, {
        kind: state.mayBeWritten ? "unknown" : "not-accepted",
      });
  }
}

function done<Value extends Json>(
  state: Acceptance<Value>,
  outcome: AcceptOutcome<Value>,
): Acceptance<Value> {
  return { ...state, step: { kind: "done", outcome } };
}

function nextRevision(state: Acceptance<Json>): number {
  return state.origin.seenRevision + 1;
}

/**
 * Includes the audit row of the next revision: it names the winner if another
 * change took that revision.
 */
function readStep(
  origin: ChangeOrigin,
): { readonly kind: "read"; readonly keys: readonly string[] } {
  return {
    kind: "read",
    keys: [
      IN_FORCE_KEY,
      operationKey(origin.operationId),
      auditKey(origin.seenRevision + 1),
    ],
  };
}

/**
 * Reads again: after a failed read to repeat it, after a failed write because
 * it may have taken effect.
 */
function afterFailure<Value extends Json>(
  state: Acceptance<Value>,
  effect: TableEffect,
): Acceptance<Value> {
  const mayBeWritten = state.step.kind === "transact" && effect === "unknown";
  return {
    ...state,
    mayBeWritten: state.mayBeWritten || mayBeWritten,
    step: readStep(state.origin),
  };
}

function afterRead<Value extends Json>(
  state: Acceptance<Value>,
  rows: readonly Row[],
): AcceptStep<Value> {
  const [inForceRow, operationRow, auditRow] = rows as [Row, Row, Row];
  // The operation's own row is checked first: after a lost response, this change
  // itself may have advanced the revision, and must not be reported as superseded.
  if (operationRow.version !== ABSENT) {
    const operation = operationRow.value as unknown as OperationRow;
    const kind = operation.changeDigest === state.changeDigest
      ? "accepted"
      : "operation-reused";
    return { kind: "done", outcome: { kind, revision: operation.revision } };
  }
  const inForce = inForceFromRow<Value>(inForceRow);
  const revision = inForce?.revision ?? 0;
  if (revision !== state.origin.seenRevision) {
    const winner = auditRow.value as unknown as AuditEntry<Value> | null;
    return {
      kind: "done",
      outcome: { kind: "superseded", revision, winner: winner ?? undefined },
    };
  }
  return {
    kind: "transact",
    transaction: acceptTransaction(state, inForceRow),
  };
}

function acceptTransaction<Value extends Json>(
  state: Acceptance<Value>,
  inForceRow: Row,
): Transaction {
  const { change, origin } = state;
  const revision = nextRevision(state);
  const { operationId, who, why } = origin;
  const inForce: InForce<Value> = {
    revision,
    operationId,
    value: change.value,
  };
  const entry: AuditEntry<Value> = {
    revision,
    operationId,
    who,
    why,
    at: state.at,
    before: inForceFromRow<Value>(inForceRow)?.value ?? null,
    after: change.value,
  };
  const operation: OperationRow = {
    revision,
    changeDigest: state.changeDigest,
  };
  return {
    // Each accepted change increments this row's version, so this one condition
    // excludes both other changes and an earlier attempt at this one.
    conditions: [{ key: IN_FORCE_KEY, version: inForceRow.version }],
    writes: [
      { key: IN_FORCE_KEY, value: inForce as unknown as Json },
      { key: operationKey(operationId), value: operation as unknown as Json },
      { key: auditKey(revision), value: entry as unknown as Json },
      ...change.rows ?? [],
    ],
  };
}
