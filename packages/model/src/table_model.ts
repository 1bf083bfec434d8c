/**
 * The table inside a model: rows, calls in flight, and answers that are lost
 * before or after the write.
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

/** What a process sent. */
export type TableCall =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | { readonly kind: "transact"; readonly transaction: Transaction };

/** What the table answered. */
export type TableAnswer =
  | { readonly kind: "rows"; readonly rows: readonly Row[] }
  | { readonly kind: "result"; readonly result: TransactionResult };

/** A row, also where it is absent. */
export function rowAt(rows: Rows, key: string): Row {
  return rows[key] ?? { key, version: ABSENT, value: null };
}

/** The rows after the call, and its answer. */
export function applyCall(
  rows: Rows,
  call: TableCall,
): { readonly rows: Rows; readonly answer: TableAnswer } {
  switch (call.kind) {
    case "read": {
      const read = call.keys.map((key) => rowAt(rows, key));
      return { rows, answer: { kind: "rows", rows: read } };
    }
    case "transact":
      return applyTransaction(rows, call.transaction);
  }
}

function applyTransaction(
  rows: Rows,
  transaction: Transaction,
): { readonly rows: Rows; readonly answer: TableAnswer } {
  const failed = transaction.conditions
    .filter(({ key, version }) => rowAt(rows, key).version !== version)
    .map(({ key }) => rowAt(rows, key));
  if (failed.length > 0) {
    const result = { kind: "conflict", rows: failed } as const;
    return { rows, answer: { kind: "result", result } };
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
  return { rows: sorted(after), answer: { kind: "result", result } };
}

/** Equal tables must serialize equally, whatever the order of the writes. */
function sorted(rows: Record<string, Row>): Rows {
  const keys = Object.keys(rows).sort();
  return Object.fromEntries(keys.map((key) => [key, rows[key]!]));
}
