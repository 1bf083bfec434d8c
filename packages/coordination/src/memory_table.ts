/**
 * An in-memory table with the platform's semantics, for tests, models and the
 * platform stand-in.
 *
 * @module
 */

import {
  ABSENT,
  type Row,
  type ScanOptions,
  type Table,
  type Transaction,
  type TransactionResult,
} from "./table.ts";

/** Serializable transactions over a map; every call takes effect immediately. */
export class MemoryTable implements Table {
  readonly #rows = new Map<string, Row>();

  // deno-lint-ignore require-await -- the interface is asynchronous
  async read(keys: readonly string[]): Promise<readonly Row[]> {
    return keys.map((key) => this.#row(key));
  }

  // deno-lint-ignore require-await -- the interface is asynchronous
  async scan(prefix: string, options: ScanOptions): Promise<readonly Row[]> {
    const after = options.after ?? "";
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, options.limit);
  }

  // deno-lint-ignore require-await -- the interface is asynchronous
  async transact(transaction: Transaction): Promise<TransactionResult> {
    const failed = transaction.conditions
      .map((condition) => ({ condition, row: this.#row(condition.key) }))
      .filter(({ condition, row }) => row.version !== condition.version);
    if (failed.length > 0) {
      return { kind: "conflict", rows: failed.map(({ row }) => row) };
    }
    for (const { key, value } of transaction.writes) {
      if (value === undefined) {
        this.#rows.delete(key);
        continue;
      }
      const version = this.#row(key).version + 1;
      this.#rows.set(key, { key, version, value });
    }
    return { kind: "committed" };
  }

  #row(key: string): Row {
    return this.#rows.get(key) ?? { key, version: ABSENT, value: null };
  }
}
