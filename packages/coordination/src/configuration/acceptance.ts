/**
 * The decision core of accepting one change: which call to the table comes
 * next, and what the answers mean.
 *
 * The transaction's condition is on a row whose version only grows. That is why sending the very same transaction again after a lost answer is safe:
 * it commits, or finds the operation's own row, or finds that the revision
 * moved on and then it can never commit any more.
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
  inForceOf,
  operationKey,
  type OperationRow,
} from "./in_force.ts";

/** How an accepted or lost change ended. */
export type AcceptOutcome<Value extends Json> =
  | { readonly kind: "accepted"; readonly revision: number }
  /** Another change was accepted first; `winner` is its audit entry. */
  | {
    readonly kind: "superseded";
    readonly revision: number;
    readonly winner: AuditEntry<Value> | undefined;
  }
  /** The operation id was used for another change, accepted as `revision`. */
  | { readonly kind: "operation-reused"; readonly revision: number }
  /** The table could not be asked; nothing was written, nor will be. */
  | { readonly kind: "not-accepted" }
  /** The write may take effect. Asking again with the same operation id tells. */
  | { readonly kind: "unknown" };

/** What an acceptance does next. */
export type AcceptStep<Value extends Json> =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | { readonly kind: "transact"; readonly transaction: Transaction }
  | { readonly kind: "done"; readonly outcome: AcceptOutcome<Value> };

/** What happened to the last step. */
export type AcceptEvent =
  | { readonly kind: "rows"; readonly rows: readonly Row[] }
  | { readonly kind: "result"; readonly result: TransactionResult }
  | { readonly kind: "failed"; readonly effect: TableEffect }
  /** The operator's call took too long. Comes between two steps, never during one. */
  | { readonly kind: "expired" };

/** One change on its way. */
export interface Acceptance<Value extends Json> {
  readonly change: Change<Value>;
  readonly origin: ChangeOrigin;
  readonly changeDigest: string;
  readonly at: string;
  /** Whether a transaction of this operation may have been sent whose answer never came. */
  readonly mayBeWritten: boolean;
  readonly step: AcceptStep<Value>;
}

/** What a new acceptance needs besides the change and its origin. */
export interface AcceptanceOptions {
  /** Digest of the change, the same for each retry. */
  readonly changeDigest: string;
  /** Wall-clock time for the audit entry, ISO 8601. */
  readonly at: string;
}

/** Starts with reading what is in force and whether this operation was accepted before. */
export function startAcceptance<Value extends Json>(
  change: Change<Value>,
  origin: ChangeOrigin,
  options: AcceptanceOptions,
): Acceptance<Value> {
  // An earlier sending under this id may still be on its way to the table. Only
  // the very first one may ever say that nothing was, nor will be, written.
  const mayBeWritten = origin.firstSending !== true;
  const state = { change, origin, ...options, mayBeWritten };
  return { ...state, step: readStep(origin) };
}

/** The state after `event`; a finished acceptance stays as it is. */
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

/** The audit row of the revision that beat this one tells the loser who won. */
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

/** A failed read is repeated; a failed write is looked up, since it may have taken effect. */
function afterFailure<Value extends Json>(
  state: Acceptance<Value>,
  effect: TableEffect,
): Acceptance<Value> {
  const written = state.step.kind === "transact" && effect === "unknown";
  return {
    ...state,
    mayBeWritten: state.mayBeWritten || written,
    step: readStep(state.origin),
  };
}

function afterRead<Value extends Json>(
  state: Acceptance<Value>,
  rows: readonly Row[],
): AcceptStep<Value> {
  const [inForceRow, operationRow, auditRow] = rows as [Row, Row, Row];
  // The operation's own row comes first: after a lost answer the revision has
  // moved because of this very change, and it would be told that it lost.
  if (operationRow.version !== ABSENT) {
    const operation = operationRow.value as unknown as OperationRow;
    const kind = operation.changeDigest === state.changeDigest
      ? "accepted"
      : "operation-reused";
    return { kind: "done", outcome: { kind, revision: operation.revision } };
  }
  const inForce = inForceOf<Value>(inForceRow);
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
    before: inForceOf<Value>(inForceRow)?.value ?? null,
    after: change.value,
  };
  const operation: OperationRow = {
    revision,
    changeDigest: state.changeDigest,
  };
  return {
    // Each accepted change moves this row on, so the one condition keeps out
    // other changes and an earlier sending of this one alike.
    conditions: [{ key: IN_FORCE_KEY, version: inForceRow.version }],
    writes: [
      { key: IN_FORCE_KEY, value: inForce as unknown as Json },
      { key: operationKey(operationId), value: operation as unknown as Json },
      { key: auditKey(revision), value: entry as unknown as Json },
      ...change.rows ?? [],
    ],
  };
}
