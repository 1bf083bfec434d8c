/**
 * A copy of a subject's rows, and copies of the copy.
 *
 * @module
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { StoredRow } from "./ports.ts";
import { RowCopy } from "./row_copy.ts";

/** Keys written or removed in turn, and when the second copy follows. */
const history = fc.array(
  fc.record({
    key: fc.constantFrom("a", "b", "c", "d"),
    isRemoved: fc.boolean(),
    follows: fc.boolean(),
  }),
  { maxLength: 60 },
);

/** Brings `copy` up to what `source` has, as a VM does that asks another. */
function follow(copy: RowCopy, source: RowCopy): void {
  const changes = source.changesAfter(copy.position ?? -1)!;
  const page = { rows: changes.rows, version: changes.position };
  if (changes.isWhole) {
    copy.replace(page);
  } else {
    copy.advance(page);
  }
}

test("a copy of a copy holds the same rows, however seldom it follows", () => {
  fc.assert(fc.property(history, (steps) => {
    const source = new RowCopy();
    const copy = new RowCopy();
    source.replace({ rows: [], version: 0 });
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

test("who is behind what is remembered of removals is given everything", () => {
  // A VM was cut off while many targets went. If it were told only what changed
  // and the removals were forgotten, it would go on sending to targets that are gone.
  const source = new RowCopy();
  const value = Buffer.from("x");
  source.replace({ rows: [{ key: "old", value, version: 1 }], version: 1 });
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

test("nothing is told before anything was read", () => {
  expect(new RowCopy().changesAfter(0)).toBeUndefined();
});

test("VMs that follow from the same version are told the same rows, computed once", () => {
  // A relay of 64 VMs is asked for each change by all of them. Were the rows gone
  // through for each, it would spend its processor on that instead of on requests.
  const source = new RowCopy();
  const value = Buffer.from("x");
  source.replace({ rows: [], version: 0 });
  source.advance({ rows: [{ key: "a", value, version: 1 }], version: 1 });
  const first = source.changesAfter(0)!;
  expect(source.changesAfter(0)!.rows).toBe(first.rows);
  source.advance({ rows: [{ key: "b", value, version: 2 }], version: 2 });
  expect(source.changesAfter(0)!.rows.map(({ key }) => key)).toEqual([
    "a",
    "b",
  ]);
});
