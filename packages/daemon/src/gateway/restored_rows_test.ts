/**
 * Which rows are used after the store was restored from a copy.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { StoredRow } from "./ports.ts";
import { RestoredRows } from "./restored_rows.ts";

const MISSING_MS = 2_000;

/** A row whose content is a number that rises with each write. */
function row(key: string, content: number, version: number): StoredRow {
  return { key, value: Buffer.from(String(content)), version };
}

function rowsOf(...rows: StoredRow[]): Map<string, StoredRow> {
  return new Map(rows.map((one) => [one.key, one]));
}

function contents(
  rows: ReadonlyMap<string, StoredRow>,
): Record<string, string> {
  return Object.fromEntries(
    [...rows].map(([key, { value }]) => [key, String(value)]),
  );
}

function create(): RestoredRows {
  return new RestoredRows({
    missingMs: MISSING_MS,
    isOlder: (one, than) => Number(one.value) < Number(than.value),
  });
}

const NONE = new Map<string, StoredRow>();

test("a row that the copy lacks is kept until it is written again", () => {
  const restored = create();
  const before = { rows: rowsOf(row("a", 1, 9)), removed: NONE };
  restored.restored(NONE, before, 0);
  expect(contents(restored.merge(NONE, 100))).toEqual({ a: "1" });
  expect(contents(restored.merge(rowsOf(row("a", 2, 5)), 200)))
    .toEqual({ a: "2" });
});

test("a row that is not written again is missing after a while", () => {
  const restored = create();
  restored.restored(NONE, { rows: rowsOf(row("a", 1, 9)), removed: NONE }, 0);
  expect(restored.dueAt).toBe(MISSING_MS);
  expect(contents(restored.merge(NONE, MISSING_MS))).toEqual({});
  expect(restored.dueAt).toBeUndefined();
});

test("an older row of the copy does not replace the one that is known", () => {
  const restored = create();
  const copy = rowsOf(row("a", 3, 4));
  restored.restored(copy, { rows: rowsOf(row("a", 5, 9)), removed: NONE }, 0);
  expect(contents(restored.merge(copy, 5_000))).toEqual({ a: "5" });
  expect(contents(restored.merge(rowsOf(row("a", 4, 5)), 5_100)))
    .toEqual({ a: "5" });
  expect(contents(restored.merge(rowsOf(row("a", 6, 6)), 5_200)))
    .toEqual({ a: "6" });
});

test("a row that was written again before the first read is used at once", () => {
  const restored = create();
  const now = rowsOf(row("a", 6, 5));
  restored.restored(now, { rows: rowsOf(row("a", 5, 9)), removed: NONE }, 0);
  expect(contents(restored.merge(now, 0))).toEqual({ a: "6" });
});

test("a removed row that the copy still has stays removed until it is written again", () => {
  const restored = create();
  const copy = rowsOf(row("a", 3, 4));
  const before = { rows: NONE, removed: rowsOf(row("a", 3, 4)) };
  restored.restored(copy, before, 0);
  expect(contents(restored.merge(copy, 5_000))).toEqual({});
  expect(contents(restored.merge(rowsOf(row("a", 3, 6)), 5_100)))
    .toEqual({ a: "3" });
});

test("a second restore before all is written again forgets nothing", () => {
  const restored = create();
  const copy = rowsOf(row("gone", 1, 1), row("a", 1, 2));
  restored.restored(copy, {
    rows: rowsOf(row("a", 5, 9)),
    removed: rowsOf(row("gone", 1, 1)),
  }, 0);
  restored.merge(copy, 100);
  restored.restored(copy, { rows: copy, removed: NONE }, 500);
  expect(contents(restored.merge(copy, 600))).toEqual({ a: "5" });
});
