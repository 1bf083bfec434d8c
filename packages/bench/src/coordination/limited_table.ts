/**
 * A table with the platform's limits on the virtual clock: calls wait in one
 * queue for writes and one for reads.
 *
 * @module
 */

import {
  MemoryTable,
  type Row,
  type ScanOptions,
  type Table,
  TableError,
  type Transaction,
  type TransactionResult,
} from "@poplarthread/coordination";

/** The limits; the platform's are several hundred writes and about two thousand reads a second. */
export interface TableLimits {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** What counts as one write: a transaction, or each of its rows. */
  readonly unit: "transaction" | "row";
  /** Time on the network, there and back together. */
  readonly roundTripMs: number;
  /** After so long the client gives a call up. */
  readonly timeoutMs: number;
}

/** The limits used here: 300 writes, 2,000 reads, the round trip of two zones, the settings' timeout. */
export const LIMITS: TableLimits = {
  writesPerSecond: 300,
  readsPerSecond: 2_000,
  unit: "transaction",
  roundTripMs: 3,
  timeoutMs: 2_000,
};

/** When the call before is done. */
interface Queue {
  freeAt: number;
}

/** Counts what it served. */
export class LimitedTable implements Table {
  readonly #memory = new MemoryTable();
  readonly #limits: TableLimits;
  readonly #writes: Queue = { freeAt: 0 };
  readonly #reads: Queue = { freeAt: 0 };
  isDown = false;
  transactions = 0;
  rows = 0;
  reads = 0;

  constructor(limits: TableLimits) {
    this.#limits = limits;
  }

  async read(keys: readonly string[]): Promise<readonly Row[]> {
    await this.#waitForRead();
    return this.#memory.read(keys);
  }

  async scan(prefix: string, options: ScanOptions): Promise<readonly Row[]> {
    await this.#waitForRead();
    return this.#memory.scan(prefix, options);
  }

  async transact(transaction: Transaction): Promise<TransactionResult> {
    const { unit, writesPerSecond } = this.#limits;
    const units = unit === "row" ? transaction.writes.length : 1;
    await this.#wait(this.#writes, units * 1_000 / writesPerSecond);
    this.transactions += 1;
    this.rows += transaction.writes.length;
    return this.#memory.transact(transaction);
  }

  async #waitForRead(): Promise<void> {
    await this.#wait(this.#reads, 1_000 / this.#limits.readsPerSecond);
    this.reads += 1;
  }

  /** Waits for the call's turn; a call that would wait past its timeout is lost. */
  async #wait(queue: Queue, serviceMs: number): Promise<void> {
    const { roundTripMs, timeoutMs } = this.#limits;
    const now = performance.now();
    const doneAt = Math.max(queue.freeAt, now) + serviceMs;
    if (this.isDown || doneAt - now > timeoutMs) {
      await delay(timeoutMs);
      throw new TableError("Cannot call the table: no answer", "unknown");
    }
    queue.freeAt = doneAt;
    await delay(doneAt - now + roundTripMs);
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
