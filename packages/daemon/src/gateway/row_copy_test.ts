/**
 * Copies of a subject's rows, and copies made from a copy.
 *
 * @module
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { StoredRow } from "./ports.ts";
import { RowCopy } from "./row_copy.ts";

/** Writes and removals of keys, and after which of them the second copy is updated. */
const history = fc.array(
  fc.record({
    key: fc.constantFrom("a", "b", "c", "d"),
    isRemoved: fc.boolean(),
    follows: fc.boolean(),
  }),
  { maxLength: 60 },
);

/** Updates `copy` from `source`, as a VM does with the changes of its relay. */
function follow(copy: RowCopy, source: RowCopy): void {
  const changes = source.changesAfter({
    era: copy.era ?? 0,
    version: copy.position ?? -1,
  })!;
  const { era, rows, position: version } = changes;
  const page = { era, rows, version };
  if (changes.isWhole) {
    copy.replace(page);
  } else {
    copy.advance(page);
  }
}

test("a copy of a copy holds the same rows, however rarely it is updated", () => {
  fc.assert(fc.property(history, (steps) => {
    const source = new RowCopy();
    const copy = new RowCopy();
    source.replace({ rows: [], version: 0, era: 0 });
    steps.forEach(({ key, isRemoved, follows }, at) => {
      const version = at + 1;
      const value = isRemoved ? undefined : Buffer.from(String(at));
      const row: StoredRow = { key, value, version };
      source.advance({ rows: [row], version });
      if (follows) {
        follow(copy, source);
      }
    });
    follow(copy, source);
    expect(new Map(copy.rows)).toEqual(new Map(source.rows));
    expect(copy.newest).toBeLessThanOrEqual(source.newest);
  }));
});

test("a copy that is behind the kept removals gets all rows", () => {
  // A VM was partitioned while many targets were removed. If it got only changes, without
  // removals that are no longer kept, it would keep sending to targets that are gone.
  const source = new RowCopy();
  const value = Buffer.from("x");
  source.replace({
    rows: [{ key: "old", value, version: 1 }],
    version: 1,
    era: 0,
  });
  const copy = new RowCopy();
  follow(copy, source);
  source.advance({
    rows: [{ key: "old", value: undefined, version: 2 }],
    version: 2,
  });
  for (let version = 3; version < 1_200; version++) {
    source.advance({
      rows: [{ key: `k-${version}`, value: undefined, version }],
      version,
    });
  }
  follow(copy, source);
  expect([...copy.rows.keys()]).toEqual([]);
});

test("there are no changes before the first read", () => {
  expect(new RowCopy().changesAfter({ era: 0, version: 0 })).toBeUndefined();
});

test("changes after the same version are computed once", () => {
  // A relay of 64 VMs gets a request from each of them for every change. If it searched
  // all rows each time, that would take the processor time that callers' requests need.
  const source = new RowCopy();
  const value = Buffer.from("x");
  source.replace({ rows: [], version: 0, era: 0 });
  source.advance({ rows: [{ key: "a", value, version: 1 }], version: 1 });
  const first = source.changesAfter({ era: 0, version: 0 })!;
  expect(source.changesAfter({ era: 0, version: 0 })!.rows).toBe(first.rows);
  source.advance({ rows: [{ key: "b", value, version: 2 }], version: 2 });
  expect(
    source.changesAfter({ era: 0, version: 0 })!.rows.map(({ key }) => key),
  ).toEqual([
    "a",
    "b",
  ]);
});

test("a copy of another history of the store gets all rows", () => {
  // The store was restored from a copy and gives versions out again, so that a version of
  // before says nothing about the rows of now.
  const source = new RowCopy();
  const value = Buffer.from("x");
  source.replace({
    rows: [{ key: "a", value, version: 3 }],
    version: 3,
    era: 2,
  });
  expect(source.changesAfter({ era: 1, version: 9 })).toMatchObject({
    era: 2,
    isWhole: true,
    position: 3,
  });
  expect(source.newest).toBe(3);
  source.replace({ rows: [], version: 1, era: 3 });
  expect(source.newest).toBe(0);
});

test("changes that a slower source brings later don't undo newer ones", () => {
  // Two sources are asked at a time; the one that was asked first may come last.
  const copy = new RowCopy();
  const row = (key: string, version: number, text?: string): StoredRow => ({
    key,
    version,
    value: text === undefined ? undefined : Buffer.from(text),
  });
  copy.replace({ rows: [row("a", 1, "old")], version: 1, era: 0 });
  copy.advance({ rows: [row("a", 4, "new"), row("b", 5)], version: 5 });
  copy.advance({
    rows: [row("b", 2, "old"), row("a", 3, "older")],
    version: 3,
  });
  expect([...copy.rows.values()].map(({ value }) => String(value)))
    .toEqual(["new"]);
  expect(copy.position).toBe(5);
});
