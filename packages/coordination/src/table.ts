/**
 * The port to the platform's transactional table. Everything that has to be
 * agreed or kept goes through it; no part of this package keeps a store of its
 * own.
 *
 * @module
 */

/** A value as the table keeps it. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [name: string]: Json };

/** The version of a row that does not exist. The first write makes version 1. */
export const ABSENT = 0;

/** A row as it stood when the table answered. An absent row has version 0 and value null. */
export interface Row {
  readonly key: string;
  /** Grows by one with each write of this row; 0 means absent. */
  readonly version: number;
  readonly value: Json;
}

/** Requires that a row still has this version when the transaction commits. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** Sets a row, or deletes it where the value is undefined. */
export interface Write {
  readonly key: string;
  readonly value: Json | undefined;
}

/** All conditions hold and all writes are applied, or nothing is. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** What the table answered to a transaction. */
export type TransactionResult =
  | { readonly kind: "committed" }
  /** `rows` are the current rows of the conditions that did not hold. */
  | { readonly kind: "conflict"; readonly rows: readonly Row[] };

/** Bounds of one page of a scan. */
export interface ScanOptions {
  /** Only keys after this one; for the next page, the last key of the one before. */
  readonly after?: string;
  /** At most this many rows. */
  readonly limit: number;
}

/** The platform's table, as the parts of this package use it. */
export interface Table {
  /** Reads rows, in the order of `keys`; absent rows come with version 0. */
  read(keys: readonly string[]): Promise<readonly Row[]>;
  /** Reads the rows whose key starts with `prefix`, in key order. */
  scan(prefix: string, options: ScanOptions): Promise<readonly Row[]>;
  /** Applies a transaction, or says which conditions failed. */
  transact(transaction: Transaction): Promise<TransactionResult>;
}

/** What a failed call to the table did, as far as the client can know. */
export type TableEffect = "none" | "unknown";

/**
 * The table could not be asked, or its answer did not come. With effect
 * `unknown` a transaction may have been applied: only reading the rows back
 * tells, which is why every writer in this package writes a row that names its
 * own operation.
 */
export class TableError extends Error {
  override readonly name = "TableError";
  readonly effect: TableEffect;

  constructor(message: string, effect: TableEffect) {
    super(message);
    this.effect = effect;
  }
}
