/**
 * A table for tests whose calls fail in a given sequence.
 *
 * @module
 */

import { MemoryTable } from "../memory_table.ts";
import {
  type Row,
  type Table,
  TableError,
  type Transaction,
  type TransactionResult,
} from "../table.ts";

/** How one call fails: not sent, request lost, or response lost after the call took effect. */
export type Fault = "none" | "refuse" | "lose-before" | "lose-after";

/** Applies one of `faults` to each call in order; later calls succeed. */
export class FaultyTable implements Table {
  readonly memory = new MemoryTable();
  faults: Fault[] = [];

  read(keys: readonly string[]): Promise<readonly Row[]> {
    return this.#call(() => this.memory.read(keys));
  }

  scan(prefix: string, options: { limit: number }): Promise<readonly Row[]> {
    return this.#call(() => this.memory.scan(prefix, options));
  }

  transact(transaction: Transaction): Promise<TransactionResult> {
    return this.#call(() => this.memory.transact(transaction));
  }

  async #call<Result>(apply: () => Promise<Result>): Promise<Result> {
    const fault = this.faults.shift() ?? "none";
    if (fault === "none") {
      return await apply();
    }
    if (fault === "lose-after") {
      await apply();
    }
    const effect = fault === "refuse" ? "none" : "unknown";
    throw new TableError("Cannot call the table: injected fault", effect);
  }
}
