/**
 * The core of group commit: conditional writes of many requests share one
 * transaction of the table.
 *
 * The platform takes several hundred writes a second from all VMs together.
 * One transaction for each claim and one for each record would end there;
 * gathered, as many requests as fit into a transaction cost one write.
 *
 * @module
 */

import type { Json, Row, TableEffect, Transaction } from "../table.ts";

/** Rows in one transaction; table services commonly allow 100. */
export const MAX_BATCH_ROWS = 100;

/**
 * Writes that one VM may send a second: 240 of 300, by 12 VMs. The rest is left
 * for leases, plans and the configuration, which must not wait behind callers.
 */
export const VM_WRITES_PER_SECOND = 20;

/** Sets a row if it still has version `over`. */
export interface ConditionalWrite {
  readonly key: string;
  readonly over: number;
  readonly value: Json;
}

/** How one write of a batch ended. */
export type WriteResult =
  | { readonly kind: "committed" }
  /** Nothing was written; this is the row. */
  | { readonly kind: "conflict"; readonly row: Row }
  | { readonly kind: "failed"; readonly effect: TableEffect };

/** A write that waits for its transaction. */
export interface PendingWrite {
  readonly write: ConditionalWrite;
  readonly settle: (result: WriteResult) => void;
}

/** Writes of one transaction. No two of them are on the same row. */
export interface Batch {
  readonly items: readonly PendingWrite[];
}

/** How often batches go out. */
export interface BatchOptions {
  readonly writesPerSecond?: number;
  readonly maxRows?: number;
}

/** Gathers writes into batches, one in flight at a time. */
export class Batcher {
  readonly #gapMs: number;
  readonly #maxRows: number;
  #queue: PendingWrite[] = [];
  #inFlight = false;
  #nextAt = -Infinity;

  constructor(options: BatchOptions = {}) {
    this.#gapMs = 1_000 / (options.writesPerSecond ?? VM_WRITES_PER_SECOND);
    this.#maxRows = options.maxRows ?? MAX_BATCH_ROWS;
  }

  /** Writes that wait. */
  get length(): number {
    return this.#queue.length;
  }

  add(item: PendingWrite): void {
    this.#queue.push(item);
  }

  /** When the next batch may go out; undefined while one is in flight or nothing waits. */
  get dueAt(): number | undefined {
    return this.#inFlight || this.#queue.length === 0
      ? undefined
      : this.#nextAt;
  }

  /**
   * The batch to send now. After a pause the first one goes out at once; only
   * under load does a write wait for the gap, at most 1 / writesPerSecond.
   */
  take(now: number): Batch | undefined {
    const dueAt = this.dueAt;
    if (dueAt === undefined || now < dueAt) {
      return undefined;
    }
    const keys = new Set<string>();
    const items: PendingWrite[] = [];
    const rest: PendingWrite[] = [];
    for (const item of this.#queue) {
      const fits = items.length < this.#maxRows && !keys.has(item.write.key);
      // A second sending of the same key would make its own transaction
      // conflict with itself; it goes with the next batch, in order.
      keys.add(item.write.key);
      (fits ? items : rest).push(item);
    }
    this.#queue = rest;
    this.#inFlight = true;
    this.#nextAt = now + this.#gapMs;
    return { items };
  }

  /** The whole batch took effect. */
  committed(batch: Batch): void {
    this.#inFlight = false;
    batch.items.forEach((item) => item.settle({ kind: "committed" }));
  }

  /** Nothing took effect: the writes in conflict are told, the others go first next time. */
  conflicted(batch: Batch, rows: readonly Row[]): void {
    this.#inFlight = false;
    const byKey = new Map(rows.map((row) => [row.key, row]));
    const innocent = batch.items.filter(({ write }) => !byKey.has(write.key));
    this.#queue = [...innocent, ...this.#queue];
    for (const { write, settle } of batch.items) {
      const row = byKey.get(write.key);
      if (row !== undefined) {
        settle({ kind: "conflict", row });
      }
    }
  }

  /** The call failed; each write must find out for itself what became of it. */
  failed(batch: Batch, effect: TableEffect): void {
    this.#inFlight = false;
    batch.items.forEach((item) => item.settle({ kind: "failed", effect }));
  }

  /** Fails what waits: none of it was sent. */
  refuseQueued(): void {
    const queue = this.#queue;
    this.#queue = [];
    queue.forEach((item) => item.settle({ kind: "failed", effect: "none" }));
  }
}

/** The transaction of a batch. */
export function batchTransaction(batch: Batch): Transaction {
  const writes = batch.items.map(({ write }) => write);
  return {
    conditions: writes.map(({ key, over }) => ({ key, version: over })),
    writes: writes.map(({ key, value }) => ({ key, value })),
  };
}
