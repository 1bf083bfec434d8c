/**
 * The core of group commit: conditional writes of many requests share one
 * table transaction.
 *
 * The platform accepts several hundred writes a second from all VMs together.
 * With separate transactions for each claim and each outcome, that would cap
 * the request rate. In a batch, all requests that fit cost one write.
 *
 * @module
 */

import type { Json, Row, TableEffect, Transaction } from "../table.ts";

/** Maximum rows per transaction; table services commonly allow 100. */
export const MAX_BATCH_ROWS = 100;

/**
 * Write rate of one VM. 12 VMs use 240 of the platform's 300 writes a second;
 * the rest is reserved for leases, plans and the configuration, which must not
 * wait behind callers' requests.
 */
export const VM_WRITES_PER_SECOND = 20;

/** Sets a row if its current version is `over`. */
export interface ConditionalWrite {
  readonly key: string;
  readonly over: number;
  readonly value: Json;
}

/** Result of one write of a batch. */
export type WriteResult =
  | { readonly kind: "committed" }
  /** Nothing was written; `row` is the current row. */
  | { readonly kind: "conflict"; readonly row: Row }
  | { readonly kind: "failed"; readonly effect: TableEffect };

/** A write that is queued or in flight. */
export interface PendingWrite {
  readonly write: ConditionalWrite;
  readonly settle: (result: WriteResult) => void;
}

/** Writes of one transaction, each to a different row. */
export interface Batch {
  readonly items: readonly PendingWrite[];
}

/** Rate and size of batches. */
export interface BatchOptions {
  readonly writesPerSecond?: number;
  readonly maxRows?: number;
}

/** Collects writes into batches, with one batch in flight at a time. */
export class Batcher {
  readonly #intervalMs: number;
  readonly #maxRows: number;
  #queue: PendingWrite[] = [];
  #inFlight = false;
  #nextAt = -Infinity;

  constructor(options: BatchOptions = {}) {
    this.#intervalMs = 1_000 /
      (options.writesPerSecond ?? VM_WRITES_PER_SECOND);
    this.#maxRows = options.maxRows ?? MAX_BATCH_ROWS;
  }

  /** Number of queued writes. */
  get length(): number {
    return this.#queue.length;
  }

  add(item: PendingWrite): void {
    this.#queue.push(item);
  }

  /** When the next batch may be sent; undefined while one is in flight or the queue is empty. */
  get dueAt(): number | undefined {
    return this.#inFlight || this.#queue.length === 0
      ? undefined
      : this.#nextAt;
  }

  /**
   * Takes the batch to send now. After an idle period the first write is sent
   * immediately; only under load does a write wait for the interval between
   * batches, at most 1 / writesPerSecond.
   */
  take(now: number): Batch | undefined {
    const dueAt = this.dueAt;
    if (dueAt === undefined || now < dueAt) {
      return undefined;
    }
    const keys = new Set<string>();
    const items: PendingWrite[] = [];
    const remaining: PendingWrite[] = [];
    for (const item of this.#queue) {
      const fits = items.length < this.#maxRows && !keys.has(item.write.key);
      // Two writes to one row would make the transaction conflict with itself;
      // the second stays in the queue, in order, for a later batch.
      keys.add(item.write.key);
      (fits ? items : remaining).push(item);
    }
    this.#queue = remaining;
    this.#inFlight = true;
    this.#nextAt = now + this.#intervalMs;
    return { items };
  }

  /** Handles a committed batch. */
  committed(batch: Batch): void {
    this.#inFlight = false;
    batch.items.forEach((item) => item.settle({ kind: "committed" }));
  }

  /** Handles a conflict: settles the conflicting writes and puts the others back at the head of the queue. */
  conflicted(batch: Batch, rows: readonly Row[]): void {
    this.#inFlight = false;
    const byKey = new Map(rows.map((row) => [row.key, row]));
    const unaffected = batch.items.filter(({ write }) => !byKey.has(write.key));
    this.#queue = [...unaffected, ...this.#queue];
    for (const { write, settle } of batch.items) {
      const row = byKey.get(write.key);
      if (row !== undefined) {
        settle({ kind: "conflict", row });
      }
    }
  }

  /** Handles a failed call. Each writer has to check whether its own write took effect. */
  failed(batch: Batch, effect: TableEffect): void {
    this.#inFlight = false;
    batch.items.forEach((item) => item.settle({ kind: "failed", effect }));
  }

  /** Fails all queued writes, none of which was sent. */
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
