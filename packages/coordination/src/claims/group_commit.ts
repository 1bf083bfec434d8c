/**
 * Sends the batches of conditional writes, and refuses at once while the table
 * is out of reach.
 *
 * @module
 */

import { type Row, type Table, TableError } from "../table.ts";
import {
  type Batch,
  Batcher,
  type BatchOptions,
  batchTransaction,
  type ConditionalWrite,
  type WriteResult,
} from "./batch.ts";

/**
 * After a failed call writes are refused without being sent for this long, so
 * that callers are not held for a timeout each; then one batch probes.
 */
export const OUTAGE_PAUSE_MS = 1_000;

/** Group commit over a table. */
export class GroupCommit {
  readonly #table: Table;
  readonly #batcher: Batcher;
  #refuseUntil = -Infinity;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(table: Table, options: BatchOptions = {}) {
    this.#table = table;
    this.#batcher = new Batcher(options);
  }

  /** Whether writes are refused at once just now. */
  get isRefusing(): boolean {
    return performance.now() < this.#refuseUntil;
  }

  /** Applies the write, alone or with others. Never throws for a failing table. */
  write(write: ConditionalWrite): Promise<WriteResult> {
    if (this.isRefusing) {
      return Promise.resolve({ kind: "failed", effect: "none" });
    }
    return new Promise((settle) => {
      this.#batcher.add({ write, settle });
      this.#schedule();
    });
  }

  /** Reads one row back; undefined when the table could not be asked. */
  async readBack(key: string): Promise<Row | undefined> {
    try {
      const [row] = await this.#table.read([key]);
      return row;
    } catch (err) {
      this.#notice(err);
      return undefined;
    }
  }

  #schedule(): void {
    const { dueAt } = this.#batcher;
    if (dueAt === undefined || this.#timer !== undefined) {
      return;
    }
    // Also without a wait the batch goes out in a turn of its own, so that it
    // takes all requests that came in this turn.
    const wait = Math.max(0, dueAt - performance.now());
    this.#timer = setTimeout(() => this.#flush(), wait);
  }

  #flush(): void {
    this.#timer = undefined;
    const batch = this.#batcher.take(performance.now());
    if (batch !== undefined) {
      void this.#send(batch);
    }
    this.#schedule();
  }

  async #send(batch: Batch): Promise<void> {
    try {
      const result = await this.#table.transact(batchTransaction(batch));
      if (result.kind === "committed") {
        this.#batcher.committed(batch);
      } else {
        this.#batcher.conflicted(batch, result.rows);
      }
    } catch (err) {
      this.#batcher.failed(batch, this.#notice(err));
      this.#batcher.refuseQueued();
    }
    this.#schedule();
  }

  #notice(err: unknown): "none" | "unknown" {
    this.#refuseUntil = performance.now() + OUTAGE_PAUSE_MS;
    // A failure of another kind is a fault of the adapter: what it did is
    // unknown too, and no request may hang on it.
    return err instanceof TableError ? err.effect : "unknown";
  }
}
