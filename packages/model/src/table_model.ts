/**
 * The table inside a model: its rows, and the effect of a call on them.
 *
 * @module
 */

import {
  ABSENT,
  type Row,
  type Transaction,
  type TransactionResult,
} from "@poplarthread/coordination";

/** The rows of the table, by key. */
export type Rows = Readonly<Record<string, Row>>;

/** A call that a process sends to the table. */
export type TableCall =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | { readonly kind: "transact"; readonly transaction: Transaction };

/** The table's response to a call. */
export type TableResponse =
  | { readonly kind: "rows"; readonly rows: readonly Row[] }
  | { readonly kind: "result"; readonly result: TransactionResult };

/** The row at `key`, with version {@link ABSENT} if there is none. */
export function rowAt(rows: Rows, key: string): Row {
  return rows[key] ?? { key, version: ABSENT, value: null };
}

/** Returns the rows after the call, and its response. */
export function applyCall(
  rows: Rows,
  call: TableCall,
): { readonly rows: Rows; readonly response: TableResponse } {
  switch (call.kind) {
    case "read": {
      const read = call.keys.map((key) => rowAt(rows, key));
      return { rows, response: { kind: "rows", rows: read } };
    }
    case "transact":
      return applyTransaction(rows, call.transaction);
  }
}

function applyTransaction(
  rows: Rows,
  transaction: Transaction,
): { readonly rows: Rows; readonly response: TableResponse } {
  const conflicting = transaction.conditions
    .filter(({ key, version }) => rowAt(rows, key).version !== version)
    .map(({ key }) => rowAt(rows, key));
  if (conflicting.length > 0) {
    const result = { kind: "conflict", rows: conflicting } as const;
    return { rows, response: { kind: "result", result } };
  }
  const after: Record<string, Row> = { ...rows };
  for (const { key, value } of transaction.writes) {
    if (value === undefined) {
      delete after[key];
    } else {
      after[key] = { key, version: rowAt(after, key).version + 1, value };
    }
  }
  const result = { kind: "committed" } as const;
  return { rows: sorted(after), response: { kind: "result", result } };
}

/**
 * Sorts the rows by key, so that equal tables serialize equally after any order
 * of writes.
 */
function sorted(rows: Record<string, Row>): Rows {
  const keys = Object.keys(rows).sort();
  return Object.fromEntries(keys.map((key) => [key, rows[key]!]));
}
