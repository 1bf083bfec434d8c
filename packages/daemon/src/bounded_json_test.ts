/**
 * JSON from others that would fill the heap.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { JsonTooComplexError, parseJson } from "./bounded_json.ts";

/** As long as the longest response. */
const BYTES = 4_000_000;

function repeated(part: string): string {
  return part.repeat(BYTES / part.length);
}

test.each([
  ["nested lists", repeated("[")],
  ["nested objects", repeated('{"a":')],
  ["empty objects", `[${repeated("{},")}1]`],
  ["numbers", `[${repeated("1,")}1]`],
  ["empty strings", `[${repeated('"",')}1]`],
])("millions of %s are not parsed", (_what, text) => {
  // Their objects would fill the heap of a small VM, and end the process.
  expect(() => parseJson(Buffer.from(text))).toThrow(JsonTooComplexError);
});

test("long strings count as one value each, whatever is in them", () => {
  const value = [repeated(',[{"\\'), repeated("\\"), "x"];
  expect(parseJson(Buffer.from(JSON.stringify(value)))).toEqual(value);
});

test("a list of 100,000 levels is parsed or refused, and ends nothing", () => {
  expect(parseJson(Buffer.from("[".repeat(100_000) + "]".repeat(100_000))))
    .toHaveLength(1);
});
