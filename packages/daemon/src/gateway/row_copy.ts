/**
 * A copy of one subject's rows, which can tell others what changed.
 *
 * @module
 */

import type { RowsPage, StoredRow } from "./ports.ts";

/** Removed rows that are remembered; who missed more reads everything again. */
const MOST_REMOVED = 1_000;

/** What changed after a version. */
export interface RowChanges {
  /** The rows are all that there are, and others are gone. */
  readonly isWhole: boolean;
  /** Rows by version, removed ones among them. */
  readonly rows: readonly StoredRow[];
  /** Version up to which the rows are known. */
  readonly position: number;
}

/** See the module's comment. */
export class RowCopy {
  readonly #rows = new Map<string, StoredRow>();
  /** Versions at which rows were removed, oldest first. */
  readonly #removed = new Map<string, StoredRow>();
  /** Removals before this version are not remembered. */
  #removalsFrom = 0;
  #position: number | undefined;
  #newest = 0;
  /**
   * What was told by the version it follows, until the rows change. A VM that passes
   * news on to dozens of others is asked for the same changes by nearly all of them.
   */
  readonly #told = new Map<number, RowChanges>();

  /** All rows, by key. */
  get rows(): ReadonlyMap<string, StoredRow> {
    return this.#rows;
  }

  /** Version up to which the rows are known; undefined where nothing was read yet. */
  get position(): number | undefined {
    return this.#position;
  }

  /** Version of the newest row that was seen. */
  get newest(): number {
    return this.#newest;
  }

  /** Everything has to be read again; until then the rows stay in use. */
  loseHistory(): void {
    this.#position = undefined;
  }

  /** Takes in the whole table. */
  replace({ rows, version }: Pick<RowsPage, "rows" | "version">): void {
    this.#told.clear();
    this.#rows.clear();
    this.#removed.clear();
    this.#removalsFrom = version;
    this.#position = version;
    rows.forEach((row) => this.#apply(row));
  }

  /** Takes in changes after the position. */
  advance({ rows, version }: Pick<RowsPage, "rows" | "version">): void {
    this.#told.clear();
    rows.forEach((row) => this.#apply(row));
    this.#position = Math.max(version, this.#position ?? 0);
  }

  /** What changed after `version`; undefined where nothing was read yet. */
  changesAfter(version: number): RowChanges | undefined {
    if (this.#position === undefined) {
      return undefined;
    }
    let changes = this.#told.get(version);
    if (changes === undefined) {
      changes = this.#computeChanges(version, this.#position);
      this.#told.set(version, changes);
    }
    return changes;
  }

  #computeChanges(version: number, position: number): RowChanges {
    const isWhole = version < this.#removalsFrom;
    // A row beyond the position, seen while the table was read page by page, is
    // told when the position has reached it: who asks again after the position
    // would be given it again and again until then.
    const isDue = (row: StoredRow) =>
      isWhole || (row.version > version && row.version <= position);
    const rows = [...this.#rows.values(), ...this.#removed.values()]
      .filter(isDue)
      .toSorted((a, b) => a.version - b.version);
    return { isWhole, rows, position };
  }

  #apply(row: StoredRow): void {
    this.#newest = Math.max(this.#newest, row.version);
    this.#removed.delete(row.key);
    if (row.value !== undefined) {
      this.#rows.set(row.key, row);
      return;
    }
    this.#rows.delete(row.key);
    this.#removed.set(row.key, row);
    if (this.#removed.size > MOST_REMOVED) {
      const [oldest] = this.#removed.values();
      this.#removed.delete(oldest!.key);
      this.#removalsFrom = oldest!.version;
    }
  }
}
