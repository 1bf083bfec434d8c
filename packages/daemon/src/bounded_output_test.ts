/**
 * Tests of the log output with a reader that stalls and one that keeps up.
 *
 * @module
 */

import { mkdtempSync, openSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { BoundedOutput } from "./bounded_output.ts";
import { createLog } from "./log.ts";

test("lines are dropped when the reader stalls, and memory stays bounded", () => {
  // The program that collects the log hangs while requests keep coming. If every
  // line were buffered, the daemon's memory would grow until it is killed.
  const stalled = new Writable({ write: () => undefined });
  const output = new BoundedOutput(stalled);
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
  expect(output.droppedLines).toBeGreaterThan(1_000);
  expect(stalled.writableLength).toBeLessThan(2_000_000);
});

test("a reader that keeps up receives every line", () => {
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
  expect(output.droppedLines).toBe(0);
});

test("the last line of a process is written though the reader has stalled", () => {
  // Guards against an end without its reason: what waits for the reader is lost with the process.
  const file = join(mkdtempSync(join(tmpdir(), "output-")), "log");
  const stalled = Object.assign(new Writable({ write: () => undefined }), {
    fd: openSync(file, "w"),
  });
  const output = new BoundedOutput(stalled);
  output.write("waits\n");
  output.beginEnd();
  output.write("last\n");
  expect(readFileSync(file, "utf8")).toBe("\nlast\n");
});
