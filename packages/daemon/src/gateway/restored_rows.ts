/**
 * What is known of rows that a restored store has lost.
 *
 * A store that is restored from a copy lacks what was written since the copy was made,
 * until operators and targets have written it again. Read as they are, its rows would end
 * evacuations, use targets again that are leaving or gone, and remove targets that have
 * just started. So rows of before stay in use until something is written in their place.
 *
 * The row that was written last counts, also if its contents bear a lower number than
 * what was known: its writer may go on from the copy. It comes into use a moment later,
 * since the writer may also write again, in order, all that was lost.
 *
 * @module
 */

import type { StoredRow } from "./ports.ts";
import { SeenRows } from "./seen_rows.ts";
import { isSameRow } from "./stored_row.ts";

/** A row that is used in place of the restored one. */
interface HeldRow {
  /** Undefined if the row was removed. */
  readonly row: StoredRow | undefined;
  /** The store's row; undefined if there is none. */
  readonly current: StoredRow | undefined;
  readonly until: number;
  /** When a row that is older by its contents was first found to be written since the restore. */
  readonly settlingSince: number | undefined;
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
  /** Longest time for which an outdated row of the copy is not used in place of a later one. */
  readonly outdatedMs: number;
  /** Whether a row was written before another one with its key, by their contents. */
  isOlder(row: StoredRow, than: StoredRow): boolean;
}

/** How long a row that was removed is not used again if the copy has it: its writer may be gone. */
const REMOVED_MS = 30_000;
/** After this time without a further write, a row counts though it is older by its contents. */
const SETTLE_MS = 1_000;
/** The same from the first such write on; well below the bound of 2.5 s within which changes must be in force. */
const MAX_SETTLE_MS = 1_500;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class RestoredRows {
  readonly #options: RestoredRowsOptions;
  readonly #seen = new SeenRows();
  readonly #held = new Map<string, HeldRow>();
  /** Version of the store at the first read: which rows there were before isn't known. */
  #firstVersion: number | undefined;

  constructor(options: RestoredRowsOptions) {
    this.#options = options;
  }

  /** When the next row is no longer held; undefined if none is, or only until it is written again. */
  get dueAt(): number | undefined {
    const times = [...this.#held.values()].map(({ until }) => until);
    const dueAt = Math.min(...times);
    return Number.isFinite(dueAt) ? dueAt : undefined;
  }

  /** Keys of the rows that are held. */
  get heldKeys(): readonly string[] {
    return [...this.#held.keys()];
  }

  /** Rows were read, up to `version` of the store. Must be called after {@link restored} for those of the restored store. */
  rowsRead(rows: readonly StoredRow[], version = 0): void {
    this.#firstVersion ??= version;
    for (const row of rows) {
      this.#seen.add(row);
      const held = this.#held.get(row.key);
      if (row.value === undefined && held && held.current === undefined) {
        // The store lacked it already; its writer has removed it again.
        this.#held.delete(row.key);
      }
    }
  }

  /** The store was restored and has these rows now. */
  restored(
    rows: ReadonlyMap<string, StoredRow>,
    before: RowsBefore,
    now: number,
  ): void {
    const known = this.#effectiveRows(before.rows);
    const removed = new Map(before.removed);
    for (const [key, { row, current, settlingSince }] of this.#held) {
      const last = before.rows.get(key);
      if (row === undefined && last !== undefined) {
        removed.set(key, last);
      }
      const hasLastWrite = settlingSince !== undefined &&
        isSameRow(rows.get(key), current);
      if (!hasLastWrite) {
        this.#held.delete(key);
      }
    }
    this.#holdKnown(rows, known, now);
    this.#holdRemoved(rows, removed, now);
  }

  /** The rows to use at `now`, given those of the store. */
  merge(
    rows: ReadonlyMap<string, StoredRow>,
    now: number,
  ): ReadonlyMap<string, StoredRow> {
    for (const [key, held] of this.#held) {
      const current = rows.get(key);
      if (!isSameRow(current, held.current)) {
        this.#writtenSince(key, current, now);
      }
      if (now >= (this.#held.get(key)?.until ?? Infinity)) {
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
    const { isOlder, missingMs, outdatedMs } = this.#options;
    for (const [key, row] of known) {
      const current = rows.get(key);
      if (this.#held.has(key) || isSameRow(current, row)) {
        continue;
      }
      if (current === undefined) {
        this.#hold(key, { row, current, until: now + missingMs });
      } else if (this.#seen.has(current)) {
        this.#hold(key, { row, current, until: now + outdatedMs });
      } else if (isOlder(current, row)) {
        this.#holdUnseen(key, { row, current, now });
      }
    }
  }

  #holdRemoved(
    rows: ReadonlyMap<string, StoredRow>,
    removed: ReadonlyMap<string, StoredRow>,
    now: number,
  ): void {
    for (const [key, last] of removed) {
      const current = rows.get(key);
      const row = undefined;
      if (
        current === undefined || this.#held.has(key) ||
        this.#options.isOlder(last, current)
      ) {
        continue;
      }
      if (this.#seen.has(current) || isSameRow(current, last)) {
        this.#hold(key, { row, current, until: now + REMOVED_MS });
      } else {
        this.#holdUnseen(key, { row, current, now });
      }
    }
  }

  /** Keeps a row in place of one that this VM hasn't read: written since the restore, or before this VM's start. */
  #holdUnseen(
    key: string,
    { row, current, now }: {
      row: StoredRow | undefined;
      current: StoredRow;
      now: number;
    },
  ): void {
    if (current.version <= (this.#firstVersion ?? 0)) {
      const until = now + this.#options.missingMs;
      this.#hold(key, { row, current, until });
    } else {
      this.#settle(key, { row, current, since: now, now });
    }
  }

  /** The row in the store is another one than at its restore, or than at the last look. */
  #writtenSince(
    key: string,
    current: StoredRow | undefined,
    now: number,
  ): void {
    const { row, settlingSince } = this.#held.get(key)!;
    if (
      current === undefined || row === undefined ||
      !this.#options.isOlder(current, row)
    ) {
      this.#held.delete(key);
      return;
    }
    this.#settle(key, { row, current, since: settlingSince ?? now, now });
  }

  #hold(key: string, held: Omit<HeldRow, "settlingSince">): void {
    this.#held.set(key, { ...held, settlingSince: undefined });
  }

  /** Keeps a row only until its writer has had the time to write again what was lost. */
  #settle(
    key: string,
    { row, current, since, now }: {
      row: StoredRow | undefined;
      current: StoredRow;
      since: number;
      now: number;
    },
  ): void {
    const until = Math.min(now + SETTLE_MS, since + MAX_SETTLE_MS);
    this.#held.set(key, { row, current, until, settlingSince: since });
  }
}
