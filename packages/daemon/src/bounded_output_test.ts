/**
 * What happens to the log when nobody reads it.
 *
 * @module
 */

import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { BoundedOutput } from "./bounded_output.ts";
import { createLog } from "./log.ts";

test("a reader that stops reading costs lines, not memory or time", () => {
  // The program that collects the log hangs, and callers go on asking. Lines that
  // were kept for it would fill the daemon's memory until it is killed.
  const stuck = new Writable({ write: () => undefined });
  const output = new BoundedOutput(stuck);
  const log = createLog({
    level: "info",
    vm: "vm-1",
    instance: "vm-1.a",
    stream: output,
  });
  const reason = "x".repeat(1_000);
  for (let line = 0; line < 5_000; line++) {
    log.info("request ended", { reason });
  }
  expect(output.dropped).toBeGreaterThan(1_000);
  expect(stuck.writableLength).toBeLessThan(2_000_000);
});

test("lines reach a reader that keeps up", () => {
  const lines: string[] = [];
  const reader = new Writable({
    write: (line, _encoding, done) => {
      lines.push(String(line));
      done();
    },
  });
  const output = new BoundedOutput(reader);
  output.write("one\n");
  output.write("two\n");
  expect(lines).toEqual(["one\n", "two\n"]);
  expect(output.dropped).toBe(0);
});
