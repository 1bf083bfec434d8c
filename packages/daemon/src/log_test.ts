/**
 * Tests of the log's lines.
 *
 * @module
 */

import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { createLog } from "./log.ts";

function logLines(level: string) {
  const lines: string[] = [];
  const stream = new Writable({
    write: (line, _encoding, done) => {
      lines.push(String(line));
      done();
    },
  });
  const log = createLog({ level, vm: "vm-1", instance: "vm-1.a", stream });
  return { lines, log };
}

test("a line is one JSON object with its fields sorted by name", () => {
  // Programs that collect the log read a line as one object, and people compare lines.
  const { lines, log } = logLines("info");
  log.info("probe failed", { target: "t-1", reason: 'a "quoted"\nreason' });
  expect(lines).toHaveLength(1);
  expect(lines[0]!.indexOf("\n")).toBe(lines[0]!.length - 1);
  const line = JSON.parse(lines[0]!) as Record<string, unknown>;
  expect(Object.keys(line)).toEqual(Object.keys(line).toSorted());
  expect(line).toMatchObject({
    level: "info",
    message: "probe failed",
    vm: "vm-1",
    instance: "vm-1.a",
    target: "t-1",
    reason: 'a "quoted"\nreason',
    timestamp: expect.stringMatching(/^\d{4}-\d\d-\d\dT[\d:.]+Z$/),
  });
});

test.each([
  ["error", ["error"]],
  ["warn", ["error", "warn"]],
  ["info", ["error", "warn", "info"]],
  ["debug", ["error", "warn", "info", "debug"]],
])("at level %s only lines of %s are written", (level, written) => {
  // A level that lets too much through would make logging a load of its own.
  const { lines, log } = logLines(level);
  log.error("one");
  log.warn("two");
  log.info("three");
  log.debug("four");
  expect(lines.map((line) => JSON.parse(line).level)).toEqual(written);
  expect(log.isDebugEnabled).toBe(level === "debug");
});
