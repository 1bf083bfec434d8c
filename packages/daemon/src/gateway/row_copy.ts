/**
 * A copy of one subject's rows that can list the changes since an earlier version.
 *
 * @module
 */

import type { RowsPage, StoredRow } from "./ports.ts";
import { sizeOf } from "./row_bounds.ts";
import type { VersionedValue } from "./value_patch.ts";

/** Removed rows that are kept. A VM that missed more removals gets all rows again. */
const MAX_REMOVED_ROWS = 1_000;

/** Values with fewer bytes are sent as they are. */
export const MIN_LARGE_BYTES = 4_096;
/** Earlier large values that are kept for each key: VMs that follow changes in quick succession are a few behind. */
const MAX_EARLIER_VALUES = 4;

/** A version of one of the store's histories; see {@link RowsPage.era}. */
export interface StoreVersion {
  readonly era: number;
  readonly version: number;
}

/** The changes after a version. Sent to other VMs as JSON. */
export interface RowChanges {
  /** The history that the versions belong to. */
  readonly era: number;
  /** A full snapshot: rows that are not listed do not exist. */
  readonly isWhole: boolean;
  /** Rows in the order of their versions, removed ones included. */
  readonly rows: readonly StoredRow[];
  /** Version up to which all changes are included. */
  readonly position: number;
}

/** See the module's comment. */
export class RowCopy {
  readonly #rows = new Map<string, StoredRow>();
  /** Versions at which rows were removed, oldest first. */
  readonly #removed = new Map<string, StoredRow>();
  /** The removed rows as they were last. */
  readonly #lastRows = new Map<string, StoredRow>();
  /** Large values of before, oldest first. */
  readonly #earlier = new Map<string, readonly VersionedValue[]>();
  /** Removals up to this version are no longer kept. */
  #removalsSince = 0;
  #position: number | undefined;
  #era: number | undefined;
  #newest = 0;
  /**
   * Computed changes by the version that they follow; cleared when the rows change.
   * Nearly all of the dozens of VMs that use a relay request the same changes.
   */
  readonly #changesCache = new Map<number, RowChanges>();

  /** All rows, by key. */
  get rows(): ReadonlyMap<string, StoredRow> {
    return this.#rows;
  }

  /** Rows that were removed since the last full snapshot, as they were last. */
  get lastRows(): ReadonlyMap<string, StoredRow> {
    return this.#lastRows;
  }

  /** Size of all rows, with what is kept of removed and earlier ones. */
  get bytes(): number {
    const earlier = [...this.#earlier.values()].flat();
    return sizeOf(this.#rows.values()) + sizeOf(this.#lastRows.values()) +
      earlier.reduce((sum, { value }) => sum + value.length, 0);
  }

  /** Version up to which all changes are included; undefined if all rows must be read. */
  get position(): number | undefined {
    return this.#position;
  }

  /** The store's history that the rows belong to; undefined if none were read. */
  get era(): number | undefined {
    return this.#era;
  }

  /** Version of the newest row seen. */
  get newest(): number {
    return this.#newest;
  }

  /** Resets the position, so that all rows are read again; the rows stay in use until then. */
  requireFullRead(): void {
    this.#position = undefined;
  }

  /** Replaces all rows by the first full snapshot of another history. */
  begin(page: Omit<RowsPage, "isTruncated">): void {
    this.#newest = 0;
    this.#rows.clear();
    this.#earlier.clear();
    this.replace(page);
  }

  /** Replaces all rows by a full snapshot. */
  replace({ rows, version, era }: Omit<RowsPage, "isTruncated">): void {
    this.#changesCache.clear();
    if (era !== this.#era) {
      this.#era = era;
      this.#newest = 0;
      this.#rows.clear();
      this.#earlier.clear();
    }
    this.#rows.forEach((row) => this.#keepEarlier(row));
    this.#rows.clear();
    this.#removed.clear();
    this.#lastRows.clear();
    this.#removalsSince = version;
    this.#position = version;
    rows.forEach((row) => this.#apply(row));
  }

  /** Applies changes of the same history; those that another source has brought already are passed over. */
  advance({ rows, version }: Pick<RowsPage, "rows" | "version">): void {
    this.#changesCache.clear();
    rows.filter((row) => row.version >= this.#versionOf(row.key))
      .forEach((row) => this.#apply(row));
    this.#position = Math.max(version, this.#position ?? 0);
  }

  /** Versions of the rows with large values, by key. */
  get largeRows(): Readonly<Record<string, number>> {
    const large = [...this.#rows.values()].filter(isLarge);
    return Object.fromEntries(large.map(({ key, version }) => [key, version]));
  }

  /** A large value that a row has or had; undefined if it is no longer known. */
  largeValue(key: string, version: number): VersionedValue | undefined {
    const row = this.#rows.get(key);
    return row?.version === version && isLarge(row)
      ? row
      : this.#earlier.get(key)?.find((one) => one.version === version);
  }

  /**
   * The changes after a version, or a full snapshot if it belongs to another history;
   * undefined if the position is unknown.
   */
  changesAfter(after: StoreVersion): RowChanges | undefined {
    if (this.#position === undefined || this.#era === undefined) {
      return undefined;
    }
    const version = after.era === this.#era ? after.version : -1;
    let changes = this.#changesCache.get(version);
    if (changes === undefined) {
      changes = this.#computeChanges(version, {
        era: this.#era,
        version: this.#position,
      });
      this.#changesCache.set(version, changes);
    }
    return changes;
  }

  #computeChanges(
    version: number,
    { era, version: position }: StoreVersion,
  ): RowChanges {
    const isWhole = version < this.#removalsSince;
    // A row beyond the position, seen while the rows were read page by page, is left
    // out until the position has reached it: a VM that requests changes after the
    // position would otherwise get it again with every response.
    const isDue = (row: StoredRow) =>
      isWhole || (row.version > version && row.version <= position);
    const rows = [...this.#rows.values(), ...this.#removed.values()]
      .filter(isDue)
      .toSorted((a, b) => a.version - b.version);
    return { era, isWhole, rows, position };
  }

  #keepEarlier(row: StoredRow): void {
    if (!isLarge(row)) {
      return;
    }
    const others = (this.#earlier.get(row.key) ?? [])
      .filter(({ version }) => version !== row.version);
    const values = [...others, { version: row.version, value: row.value }];
    this.#earlier.set(row.key, values.slice(-MAX_EARLIER_VALUES));
  }

  #versionOf(key: string): number {
    return (this.#rows.get(key) ?? this.#removed.get(key))?.version ?? 0;
  }

  #apply(row: StoredRow): void {
    this.#newest = Math.max(this.#newest, row.version);
    this.#removed.delete(row.key);
    this.#lastRows.delete(row.key);
    const last = this.#rows.get(row.key);
    if (last !== undefined && last.version < row.version) {
      this.#keepEarlier(last);
    }
    if (row.value !== undefined) {
      this.#rows.set(row.key, row);
      return;
    }
    if (last !== undefined) {
      this.#lastRows.set(row.key, last);
    }
    this.#rows.delete(row.key);
    this.#removed.set(row.key, row);
    if (this.#removed.size > MAX_REMOVED_ROWS) {
      const [oldest] = this.#removed.values();
      this.#removed.delete(oldest!.key);
      this.#lastRows.delete(oldest!.key);
      this.#earlier.delete(oldest!.key);
      this.#removalsSince = oldest!.version;
    }
  }
}

function isLarge(
  row: StoredRow,
): row is StoredRow & { readonly value: Buffer } {
  return row.value !== undefined && row.value.length >= MIN_LARGE_BYTES;
}
