/**
 * Interface to the platform's transactional table. All consensus and all
 * durable state go through it; no part of this package has a store of its own.
 *
 * @module
 */

/** A value as the table stores it. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [name: string]: Json };

/** Version of a row that does not exist. The first write creates version 1. */
export const ABSENT = 0;

/** A row at the time of the table's response. An absent row has version 0 and value null. */
export interface Row {
  readonly key: string;
  /** Incremented by each write of this row; 0 means absent. */
  readonly version: number;
  readonly value: Json;
}

/** Requires that a row still has this version when the transaction commits. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** Sets a row, or deletes it if the value is undefined. */
export interface Write {
  readonly key: string;
  readonly value: Json | undefined;
}

/** Applies all writes if all conditions hold, otherwise none. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** The table's response to a transaction. */
export type TransactionResult =
  | { readonly kind: "committed" }
  /** `rows` are the current rows of the conditions that did not hold. */
  | { readonly kind: "conflict"; readonly rows: readonly Row[] };

/** Range of one page of a scan. */
export interface ScanOptions {
  /** Exclusive lower bound; for the next page, the last key of the previous one. */
  readonly after?: string;
  /** Maximum number of rows. */
  readonly limit: number;
}

/** The operations of the platform's table that this package uses. */
export interface Table {
  /** Reads rows in the order of `keys`; absent rows have version 0. */
  read(keys: readonly string[]): Promise<readonly Row[]>;
  /** Reads the rows whose key starts with `prefix`, in key order. */
  scan(prefix: string, options: ScanOptions): Promise<readonly Row[]>;
  /** Applies a transaction, or returns the rows whose conditions failed. */
  transact(transaction: Transaction): Promise<TransactionResult>;
}

/** Whether a failed call took effect, as far as the client can know. */
export type TableEffect = "none" | "unknown";

/**
 * The table could not be reached, or its response was lost. With effect
 * `unknown` a transaction may have been applied. Only reading the rows back
 * shows whether it was, so every writer in this package writes a row that
 * identifies its own operation.
 */
export class TableError extends Error {
  override readonly name = "TableError";
  readonly effect: TableEffect;

  constructor(message: string, effect: TableEffect) {
    super(message);
    this.effect = effect;
  }
}
