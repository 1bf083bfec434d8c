/**
 * What is in force, and the rows that an accepted change writes.
 *
 * @module
 */

import type { OperationId } from "@poplarthread/ids";
import type { Condition, Json, Row, Write } from "../table.ts";

/** Key of the one row that says what is in force. */
export const IN_FORCE_KEY = "config/in-force";
/** Prefix of the audit rows, in order of revision. */
export const AUDIT_PREFIX = "audit/";

/** 12 digits sort as text up to 10^12 revisions: a million years at 2,500 a day. */
const REVISION_DIGITS = 12;

/** A value under its revision. Only ever replaced by a higher revision. */
export interface InForce<Value extends Json> {
  /** Grows by one with each accepted change; 0 means that nothing was accepted yet. */
  readonly revision: number;
  /** The operation that put it in force. */
  readonly operationId: OperationId;
  readonly value: Value;
}

/** What an operator wants in force. */
export interface Change<Value extends Json> {
  readonly value: Value;
  /** Further rows that are written with it or not at all, for example a new version of a preset. */
  readonly rows?: readonly Write[];
}

/** Who changes what they saw, and why. */
export interface ChangeOrigin {
  /** The revision that the operator looked at; 0 for the very first change. */
  readonly seenRevision: number;
  /** A retry of the same change carries the same id. */
  readonly operationId: OperationId;
  /**
   * True only if nothing was ever sent under this operation id before. Without
   * it an outage is answered "unknown", never "not-accepted".
   */
  readonly firstSending?: boolean;
  readonly who: string;
  readonly why: string;
}

/** One line of the audit trail. */
export interface AuditEntry<Value extends Json> {
  readonly revision: number;
  readonly operationId: OperationId;
  readonly who: string;
  readonly why: string;
  /** Wall-clock time of the VM that took the change, ISO 8601; for people only. */
  readonly at: string;
  /** Null before the first change. */
  readonly before: Value | null;
  readonly after: Value;
}

/** The outcome row of an operation: present once it was accepted, never before. */
export interface OperationRow {
  readonly revision: number;
  /** Tells a retry from another change under the same id. */
  readonly changeDigest: string;
}

/** Key of the outcome row of an operation. */
export function operationKey(operationId: OperationId): string {
  return `operation/${operationId}`;
}

/** Key of the audit row of a revision. */
export function auditKey(revision: number): string {
  return AUDIT_PREFIX + String(revision).padStart(REVISION_DIGITS, "0");
}

/** What the row says; undefined while nothing was ever accepted. */
export function inForceOf<Value extends Json>(
  row: Row,
): InForce<Value> | undefined {
  return row.value === null
    ? undefined
    : row.value as unknown as InForce<Value>;
}

/**
 * Holds while this is in force: the row is written once for each revision and
 * never deleted, so its version is the revision. A plan that is written with
 * it can never be one for a configuration that was replaced.
 */
export function stillInForce(inForce: InForce<Json>): Condition {
  return { key: IN_FORCE_KEY, version: inForce.revision };
}
