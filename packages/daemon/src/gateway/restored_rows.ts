/**
 * What is known of rows that a restored store has lost.
 *
 * A store that is restored from a copy lacks what was written since the copy was made,
 * until operators and targets have written it again. Read as they are, its rows would end
 * evacuations, use targets again that are leaving or gone, and remove targets that have
 * just started. So rows of before stay in use until they are written again.
 *
 * @module
 */

import type { StoredRow } from "./ports.ts";

/** A row that is used in place of the restored one. */
interface HeldRow {
  /** Undefined if the row was removed. */
  readonly row: StoredRow | undefined;
  /** Version of the restored row; undefined if there is none. */
  readonly restoredVersion: number | undefined;
  readonly until: number;
}

/** The rows before the store was restored. */
export interface RowsBefore {
  readonly rows: ReadonlyMap<string, StoredRow>;
  /** Removed rows as they were last. */
  readonly removed: ReadonlyMap<string, StoredRow>;
}

/** Options of {@link RestoredRows}. */
export interface RestoredRowsOptions {
  /** How long a row is kept that the restored store lacks, in milliseconds. */
  readonly missingMs: number;
  /** Whether a row was written before another one with its key, by their contents. */
  isOlder(row: StoredRow, than: StoredRow): boolean;
}

/** Longest time for which a restored row that is outdated is not used: its writer may be gone. */
const OUTDATED_MS = 30_000;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class RestoredRows {
  readonly #options: RestoredRowsOptions;
  readonly #held = new Map<string, HeldRow>();

  constructor(options: RestoredRowsOptions) {
    this.#options = options;
  }

  /** When the next row is no longer held; undefined if none is held. */
  get dueAt(): number | undefined {
    const times = [...this.#held.values()].map(({ until }) => until);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** The store was restored and has these rows now. */
  restored(
    rows: ReadonlyMap<string, StoredRow>,
    before: RowsBefore,
    now: number,
  ): void {
    const known = this.#effectiveRows(before.rows);
    const removed = new Map(before.removed);
    for (const [key, { row }] of this.#held) {
      const last = before.rows.get(key);
      if (row === undefined && last !== undefined) {
        removed.set(key, last);
      }
    }
    this.#held.clear();
    this.#holdKnown(rows, known, now);
    this.#holdRemoved(rows, removed, now);
  }

  /** The rows to use at `now`, given those of the store. */
  merge(
    rows: ReadonlyMap<string, StoredRow>,
    now: number,
  ): ReadonlyMap<string, StoredRow> {
    for (const [key, held] of this.#held) {
      if (now >= held.until || this.#isWrittenAgain(rows.get(key), held)) {
        this.#held.delete(key);
      }
    }
    return this.#effectiveRows(rows);
  }

  #effectiveRows(
    rows: ReadonlyMap<string, StoredRow>,
  ): ReadonlyMap<string, StoredRow> {
    if (this.#held.size === 0) {
      return rows;
    }
    const merged = new Map(rows);
    for (const [key, { row }] of this.#held) {
      if (row === undefined) {
        merged.delete(key);
      } else {
        merged.set(key, row);
      }
    }
    return merged;
  }

  #holdKnown(
    rows: ReadonlyMap<string, StoredRow>,
    known: ReadonlyMap<string, StoredRow>,
    now: number,
  ): void {
    const { isOlder, missingMs } = this.#options;
    for (const [key, row] of known) {
      const restored = rows.get(key);
      if (restored === undefined) {
        this.#hold(key, row, { restored, until: now + missingMs });
      } else if (isOlder(restored, row)) {
        this.#hold(key, row, { restored, until: now + OUTDATED_MS });
      }
    }
  }

  #holdRemoved(
    rows: ReadonlyMap<string, StoredRow>,
    removed: ReadonlyMap<string, StoredRow>,
    now: number,
  ): void {
    for (const [key, last] of removed) {
      const restored = rows.get(key);
      if (restored !== undefined && !this.#options.isOlder(last, restored)) {
        this.#hold(key, undefined, { restored, until: now + OUTDATED_MS });
      }
    }
  }

  #hold(
    key: string,
    row: StoredRow | undefined,
    { restored, until }: { restored: StoredRow | undefined; until: number },
  ): void {
    this.#held.set(key, { row, restoredVersion: restored?.version, until });
  }

  #isWrittenAgain(
    current: StoredRow | undefined,
    { row, restoredVersion }: HeldRow,
  ): boolean {
    if (current?.version === restoredVersion) {
      return false;
    }
    return current === undefined || row === undefined ||
      !this.#options.isOlder(current, row);
  }
}
