/**
 * The configuration in force, and the rows that an accepted change writes.
 *
 * @module
 */

import type { OperationId } from "@poplarthread/ids";
import type { Condition, Json, Row, Write } from "../table.ts";

/** Key of the row that holds the configuration in force. */
export const IN_FORCE_KEY = "config/in-force";
/** Prefix of the audit rows' keys, which sort by revision. */
export const AUDIT_PREFIX = "audit/";

/**
 * Digits of a zero-padded revision in a key. Sorts as text up to 10^12
 * revisions: a million years at 2,500 a day.
 */
const REVISION_DIGITS = 12;

/** A value and its revision. Only a higher revision replaces it. */
export interface InForce<Value extends Json> {
  /** Incremented with each accepted change; 0 before the first. */
  readonly revision: number;
  /** The operation that put it in force. */
  readonly operationId: OperationId;
  readonly value: Value;
}

/** A change that an operator requests. */
export interface Change<Value extends Json> {
  readonly value: Value;
  /**
   * Further rows that are written in the same transaction, for example a new
   * version of a preset.
   */
  readonly rows?: readonly Write[];
}

/** Who requests a change, why, and based on which revision. */
export interface ChangeOrigin {
  /** The revision that the change is based on; 0 for the first change. */
  readonly seenRevision: number;
  /** The same for all retries of a change. */
  readonly operationId: OperationId;
  /**
   * True only if no request was ever sent under this operation id before.
   * Otherwise the outcome during an outage is "unknown", never "not-accepted".
   */
  readonly firstSending?: boolean;
  readonly who: string;
  readonly why: string;
}

/** An entry of the audit trail. */
export interface AuditEntry<Value extends Json> {
  readonly revision: number;
  readonly operationId: OperationId;
  readonly who: string;
  readonly why: string;
  /** Wall-clock time of the VM that handled the change, in ISO 8601; only for display. */
  readonly at: string;
  /** Null before the first change. */
  readonly before: Value | null;
  readonly after: Value;
}

/** The outcome row of an operation; it exists only if the operation was accepted. */
export interface OperationRow {
  readonly revision: number;
  /** Distinguishes a retry from another change with the same id. */
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

/** The configuration in the row; undefined before the first accepted change. */
export function inForceFromRow<Value extends Json>(
  row: Row,
): InForce<Value> | undefined {
  return row.value === null
    ? undefined
    : row.value as unknown as InForce<Value>;
}

/**
 * The condition that `inForce` is still in force. The row is written once per
 * revision and never deleted, so its version is the revision. A plan written
 * under this condition cannot be based on a replaced configuration.
 */
export function stillInForce(inForce: InForce<Json>): Condition {
  return { key: IN_FORCE_KEY, version: inForce.revision };
}
