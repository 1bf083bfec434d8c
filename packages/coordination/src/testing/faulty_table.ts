/**
 * A table for tests whose calls fail as they are told to.
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

/** How one call fails: not sent, lost on the way, or answered lost after it took effect. */
export type Fault = "none" | "refuse" | "lose-before" | "lose-after";

/** A table whose calls meet one fault after the other, then none. */
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

  async #call<Answer>(apply: () => Promise<Answer>): Promise<Answer> {
    const fault = this.faults.shift() ?? "none";
    if (fault === "none") {
      return await apply();
    }
    if (fault === "lose-after") {
      await apply();
    }
    const effect = fault === "refuse" ? "none" : "unknown";
    throw new TableError("Cannot call the table: fault", effect);
  }
}
