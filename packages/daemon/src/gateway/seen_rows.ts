/**
 * Which rows of the platform's store this VM has read, so that a row of a copy that the
 * store was restored from is told apart from one that was written since.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { StoredRow } from "./ports.ts";

/** Rows kept for each key: at several changes a second, more than a copy of some seconds is old. */
const MAX_ROWS_PER_KEY = 32;
/** Keys kept, several times as many as there are targets. */
const MAX_KEYS = 5_000;

/** See the module comment. */
export class SeenRows {
  /** Marks of the rows by key; the keys that were read last come last. */
  readonly #marks = new Map<string, Set<string>>();

  /** A row was read. */
  add(row: StoredRow): void {
    if (row.value === undefined) {
      return;
    }
    const marks = this.#marks.get(row.key) ?? new Set();
    this.#marks.delete(row.key);
    this.#marks.set(row.key, marks);
    marks.add(markOf(row));
    removeOldest(marks, MAX_ROWS_PER_KEY);
    removeOldest(this.#marks, MAX_KEYS);
  }

  /** Whether the row was read before. Versions are given out again, so that contents count as well. */
  has(row: StoredRow): boolean {
    return this.#marks.get(row.key)?.has(markOf(row)) ?? false;
  }
}

function markOf({ version, value }: StoredRow): string {
  const digest = createHash("sha1").update(value ?? "").digest("base64");
  return `${version} ${digest}`;
}

function removeOldest(
  kept: Set<string> | Map<string, unknown>,
  max: number,
): void {
  if (kept.size > max) {
    const [oldest] = kept.keys();
    kept.delete(oldest!);
  }
}
