/**
 * Which rows are used after the store was restored from a copy.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { StoredRow } from "./ports.ts";
import { RestoredRows } from "./restored_rows.ts";

const MISSING_MS = 2_000;
const OUTDATED_MS = 30_000;
/** Writers write again what was lost within this time. */
const SETTLE_MS = 1_000;
/** The users' `config_apply_s` and `drain_timeout_s`. */
const APPLY_MS = 2_500;

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

function create(outdatedMs = OUTDATED_MS): RestoredRows {
  return new RestoredRows({
    missingMs: MISSING_MS,
    outdatedMs,
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
  restored.rowsRead([row("a", 3, 4), row("a", 5, 9)]);
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
  restored.rowsRead([...copy.values(), row("a", 5, 9)]);
  restored.restored(copy, {
    rows: rowsOf(row("a", 5, 9)),
    removed: rowsOf(row("gone", 1, 1)),
  }, 0);
  restored.merge(copy, 100);
  restored.restored(copy, { rows: copy, removed: NONE }, 500);
  expect(contents(restored.merge(copy, 600))).toEqual({ a: "5" });
});

/** A VM that has read row `a` with contents 3 and 5, of which the copy has the first. */
function restoredWithOutdated(outdatedMs = OUTDATED_MS): RestoredRows {
  const restored = create(outdatedMs);
  restored.rowsRead([row("a", 3, 4), row("a", 5, 9)]);
  const before = { rows: rowsOf(row("a", 5, 9)), removed: NONE };
  restored.restored(rowsOf(row("a", 3, 4)), before, 0);
  return restored;
}

test("an outdated row of the copy that nobody writes again is never used if none may be", () => {
  const restored = restoredWithOutdated(Infinity);
  expect(restored.dueAt).toBeUndefined();
  expect(restored.heldKeys).toEqual(["a"]);
  expect(contents(restored.merge(rowsOf(row("a", 3, 4)), 86_400_000)))
    .toEqual({ a: "5" });
});

test("a row written after the restore comes into use in time, whatever its number", () => {
  const restored = restoredWithOutdated(Infinity);
  const written = rowsOf(row("a", 4, 5));
  expect(contents(restored.merge(written, 5_000))).toEqual({ a: "5" });
  expect(restored.dueAt).toBe(5_000 + SETTLE_MS);
  expect(contents(restored.merge(written, 5_000 + SETTLE_MS)))
    .toEqual({ a: "4" });
});

test("a row of the copy from before this VM's first read is not used while its writer may write it again", () => {
  const restored = create(Infinity);
  restored.rowsRead([row("a", 5, 9)], 10);
  const copy = rowsOf(row("a", 3, 4));
  restored.restored(copy, { rows: rowsOf(row("a", 5, 9)), removed: NONE }, 0);
  expect(contents(restored.merge(copy, MISSING_MS - 1))).toEqual({ a: "5" });
  expect(contents(restored.merge(copy, MISSING_MS))).toEqual({ a: "3" });
});

test("rows that are written again in order take nothing back", () => {
  const restored = restoredWithOutdated();
  expect(contents(restored.merge(rowsOf(row("a", 4, 5)), 5_000)))
    .toEqual({ a: "5" });
  expect(contents(restored.merge(rowsOf(row("a", 5, 6)), 5_900)))
    .toEqual({ a: "5" });
  expect(contents(restored.merge(rowsOf(row("a", 5, 6)), 7_000)))
    .toEqual({ a: "5" });
});

test("rows that go on from the copy at short intervals come into use in time", () => {
  const restored = restoredWithOutdated();
  let contentsAt: Record<string, string> = {};
  for (let at = 0; at <= APPLY_MS - SETTLE_MS; at += 500) {
    contentsAt = contents(
      restored.merge(rowsOf(row("a", 4, 5 + at)), 5_000 + at),
    );
  }
  expect(contentsAt).toEqual({ a: "4" });
});

test("a row that was written before the first read comes into use in time, whatever its number", () => {
  const restored = create();
  restored.rowsRead([row("a", 3, 4), row("a", 5, 9)]);
  const written = rowsOf(row("a", 4, 5));
  restored.restored(written, {
    rows: rowsOf(row("a", 5, 9)),
    removed: NONE,
  }, 0);
  expect(contents(restored.merge(written, 0))).toEqual({ a: "5" });
  expect(contents(restored.merge(written, APPLY_MS - SETTLE_MS)))
    .toEqual({ a: "4" });
});

test("a row that goes on from the copy is not given up for an earlier one of a second copy", () => {
  const restored = restoredWithOutdated();
  const written = rowsOf(row("a", 4, 5));
  restored.rowsRead([row("a", 4, 5)]);
  restored.merge(written, 5_000);
  restored.merge(written, 5_000 + SETTLE_MS);
  const second = rowsOf(row("a", 5, 9));
  restored.restored(second, { rows: written, removed: NONE }, 9_000);
  expect(contents(restored.merge(second, 12_000))).toEqual({ a: "4" });
});

test("a second restore does not prolong the wait for a row that it still has", () => {
  const restored = restoredWithOutdated(Infinity);
  const written = rowsOf(row("a", 4, 5));
  restored.rowsRead([row("a", 4, 5)]);
  restored.merge(written, 5_000);
  restored.restored(written, { rows: written, removed: NONE }, 5_500);
  expect(contents(restored.merge(written, 5_500))).toEqual({ a: "5" });
  expect(contents(restored.merge(written, 5_000 + SETTLE_MS)))
    .toEqual({ a: "4" });
});

test("a row that a second restore loses is used in time when it is written anew", () => {
  const restored = restoredWithOutdated(Infinity);
  const copy = rowsOf(row("a", 3, 4));
  restored.rowsRead([row("a", 3, 4), row("a", 4, 5)]);
  restored.merge(rowsOf(row("a", 4, 5)), 5_000);
  restored.restored(
    copy,
    { rows: rowsOf(row("a", 4, 5)), removed: NONE },
    5_500,
  );
  expect(contents(restored.merge(copy, 60_000))).toEqual({ a: "5" });
  const anew = rowsOf(row("a", 4, 6));
  restored.merge(anew, 60_100);
  expect(contents(restored.merge(anew, 60_100 + SETTLE_MS)))
    .toEqual({ a: "4" });
});
