/**
 * Differences between two values of a row.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { diffValues, patchValue } from "./value_patch.ts";

/** Bytes with and without ends of pieces. */
const bytes = fc.array(
  fc.oneof(
    fc.constantFrom("{}", '{"a":1}', '{"b":2}', "}", ","),
    fc.string(),
  ),
  { maxLength: 30 },
).map((parts) => Buffer.from(parts.join("")));

function patched(base: Buffer, value: Buffer): Buffer {
  const patch = diffValues({ version: 1, value: base }, value);
  return patchValue(base, JSON.parse(JSON.stringify(patch)));
}

test("a patched value is the one that it was made for", () => {
  fc.assert(fc.property(bytes, bytes, (base, value) => {
    expect(patched(base, value).equals(value)).toBe(true);
  }));
});

test("a patch for another value is not applied", () => {
  const base = Buffer.from('{"a":1},{"b":2}');
  const value = Buffer.from('{"a":1}');
  const patch = diffValues({ version: 1, value: base }, value);
  expect(() => patchValue(Buffer.from('{"c":3},{"b":2}'), patch))
    .toThrow("differs");
});

test("one changed route of 1,400 is a patch of some hundred bytes", () => {
  const routes = (changed: string) =>
    Array.from({ length: 1_400 }, (_, index) => ({
      prefix: `/${(index * 7_919).toString(36)}/`,
      service: index === 700 ? changed : "portal",
    }));
  const [base, value] = ["portal", "docket"].map((service, index) =>
    Buffer.from(
      JSON.stringify({ version: index, routes: routes(service), last: index }),
    )
  );
  const patch = diffValues({ version: 1, value: base! }, value!);
  expect(JSON.stringify(patch).length).toBeLessThan(500);
});

test("a small patch for a value of a gigabyte is not applied", () => {
  // The value would fill the memory of the VM that applies it.
  const base = Buffer.alloc(1_000_000);
  const parts = Array.from(
    { length: 1_000 },
    (): [number, number] => [0, base.length],
  );
  expect(() => patchValue(base, { base: 1, parts, digest: "" }))
    .toThrow("too large");
});
