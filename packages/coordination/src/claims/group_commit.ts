/**
 * Sends batches of conditional writes, and fails writes immediately while the
 * table is unreachable.
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
 * Interval between probe reads during an outage. After a failed call, writes are
 * refused without being sent until a read succeeds, so that no caller waits for
 * a timeout. A probe does not wait for the previous one; 12 VMs send 24 of the
 * table's 2,000 reads a second.
 */
export const OUTAGE_PROBE_MS = 500;

/**
 * The caller has already waited for the lost transaction. A reachable table
 * responds within a few round trips; 200 ms is two of the longest, between
 * regions.
 */
const READ_BACK_TIMEOUT_MS = 200;

/** A row that is never written. */
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

  /** Whether writes are currently refused without being sent. */
  get isRefusing(): boolean {
    return this.#isRefusing;
  }

  /** Stops the probe reads. */
  close(): void {
    clearTimeout(this.#probeTimer);
  }

  /** Applies the write, alone or in a batch. Table failures are returned, never thrown. */
  write(write: ConditionalWrite): Promise<WriteResult> {
    if (this.isRefusing) {
      return Promise.resolve({ kind: "failed", effect: "none" });
    }
    return new Promise((settle) => {
      this.#batcher.add({ write, settle });
      this.#schedule();
    });
  }

  /** Reads one row back; undefined if the read fails or exceeds {@link READ_BACK_TIMEOUT_MS}. */
  async readBack(key: string): Promise<Row | undefined> {
    let timer: ReturnType<typeof setTimeout> | undefined;
    const timeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), READ_BACK_TIMEOUT_MS);
    });
    const row = await Promise.race([this.#readOne(key), timeout]);
    clearTimeout(timer);
    return row;
  }

  async #readOne(key: string): Promise<Row | undefined> {
    try {
      const [row] = await this.#table.read([key]);
      return row;
    } catch (err) {
      this.#startOutage(err);
      return undefined;
    }
  }

  #schedule(): void {
    const { dueAt } = this.#batcher;
    if (dueAt === undefined || this.#timer !== undefined) {
      return;
    }
    // Even if a batch is due now it is sent in a later tick, so that it
    // includes all requests that arrive in the current tick.
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
      this.#batcher.failed(batch, this.#startOutage(err));
      this.#batcher.refuseQueued();
    }
    this.#schedule();
  }

  #startOutage(err: unknown): "none" | "unknown" {
    if (!this.#isRefusing) {
      this.#isRefusing = true;
      this.#scheduleProbe();
    }
    // Any other error is a fault of the table adapter. Its effect is unknown as
    // well, and no request may hang because of it.
    return err instanceof TableError ? err.effect : "unknown";
  }

  #scheduleProbe(): void {
    this.#probeTimer = setTimeout(() => {
      void this.#probe();
      this.#scheduleProbe();
    }, OUTAGE_PROBE_MS);
  }

  async #probe(): Promise<void> {
    try {
      await this.#table.read([PROBE_KEY]);
    } catch {
      // Still unreachable; the next probe is already scheduled.
      return;
    }
    this.#isRefusing = false;
    clearTimeout(this.#probeTimer);
  }
}
