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
import { CLAIM_PREFIX } from "./claim_row.ts";

/**
 * After a failed call writes are refused without being sent until a read
 * succeeds, so that no caller is held for a timeout. A read is sent this often,
 * without waiting for the one before: at 12 VMs 24 of the table's 2,000 reads a
 * second.
 */
export const OUTAGE_PROBE_MS = 500;

/**
 * A read back that takes longer is given up. Its caller waited for the lost
 * transaction already; a table that answers does so within some round trips,
 * and 200 ms are two of the longest, between regions.
 */
const READ_BACK_MS = 200;

/** A row that nobody writes. */
const PROBE_KEY = `${CLAIM_PREFIX}probe`;

/** Group commit over a table. */
export class GroupCommit {
  readonly #table: Table;
  readonly #batcher: Batcher;
  #isRefusing = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #probeTimer: ReturnType<typeof setTimeout> | undefined;

  constructor(table: Table, options: BatchOptions = {}) {
    this.#table = table;
    this.#batcher = new Batcher(options);
  }

  /** Whether writes are refused at once just now. */
  get isRefusing(): boolean {
    return this.#isRefusing;
  }

  /** Stops asking whether the table is back. */
  close(): void {
    clearTimeout(this.#probeTimer);
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

  /** Reads one row back; undefined when the table does not answer soon. */
  async readBack(key: string): Promise<Row | undefined> {
    let timer: ReturnType<typeof setTimeout> | undefined;
    const tooLate = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), READ_BACK_MS);
    });
    const row = await Promise.race([this.#readOne(key), tooLate]);
    clearTimeout(timer);
    return row;
  }

  async #readOne(key: string): Promise<Row | undefined> {
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
    if (!this.#isRefusing) {
      this.#isRefusing = true;
      this.#probeLater();
    }
    // A failure of another kind is a fault of the adapter: what it did is
    // unknown too, and no request may hang on it.
    return err instanceof TableError ? err.effect : "unknown";
  }

  #probeLater(): void {
    this.#probeTimer = setTimeout(() => {
      void this.#probe();
      this.#probeLater();
    }, OUTAGE_PROBE_MS);
  }

  async #probe(): Promise<void> {
    try {
      await this.#table.read([PROBE_KEY]);
    } catch {
      // Still out of reach; the next probe is on its way already.
      return;
    }
    this.#isRefusing = false;
    clearTimeout(this.#probeTimer);
  }
}
