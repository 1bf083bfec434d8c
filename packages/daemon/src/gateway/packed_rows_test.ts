/**
 * Packing rows for the way to other VMs.
 *
 * @module
 */

import fc from "fast-check";
import { gzipSync } from "node:zlib";
import { expect, test } from "vitest";
import { packRows, unpackRows } from "./packed_rows.ts";

const row = fc.record({
  key: fc.string(),
  version: fc.nat(),
  value: fc.option(
    fc.uint8Array({ maxLength: 64 }).map((bytes) => Buffer.from(bytes)),
    { nil: undefined },
  ),
});

test("rows arrive unchanged, removed ones and any bytes included", () => {
  fc.assert(
    fc.property(fc.array(row), (rows) => {
      expect(unpackRows(packRows(rows))).toEqual(rows);
    }),
    { seed: 57 },
  );
});

test.each([
  ["bytes that are not compressed", Buffer.from("[]\n")],
  [
    "a packet cut short",
    packRows([
      { key: "a", version: 1, value: Buffer.alloc(5_000, "abc") },
    ]).subarray(0, 40),
  ],
  [
    "values shorter than listed",
    gzipSync('[{"key":"a","version":1,"bytes":9}]\nabc'),
  ],
  [
    "values longer than listed",
    gzipSync('[{"key":"a","version":1,"bytes":1}]\nabc'),
  ],
  [
    "zeros of 40 MB in some 40 KB",
    gzipSync(
      Buffer.concat([
        Buffer.from('[{"key":"a","version":1,"bytes":40000000}]\n'),
        Buffer.alloc(40_000_000),
      ]),
    ),
  ],
  ["a list of something else", gzipSync('{"key":"a"}\n')],
])("%s are not taken for rows", (_what, packed) => {
  // A row with a part of another one's bytes would be applied.
  expect(() => unpackRows(packed)).toThrow("cannot be unpacked");
});

test("a row that stays in use keeps no other row's bytes in memory", () => {
  // A VM follows changes for days, and keeps a few rows of each response.
  const rows = [
    { key: "a", version: 1, value: Buffer.alloc(8) },
    { key: "b", version: 2, value: Buffer.alloc(1_000_000) },
  ];
  const [small] = unpackRows(packRows(rows));
  expect(small!.value!.buffer.byteLength).toBeLessThan(100_000);
});
