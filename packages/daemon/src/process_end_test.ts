/**
 * How the process ends when it cannot go on.
 *
 * @module
 */

import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { type EndReport, ProcessEnd } from "./process_end.ts";

class TestProcess extends EventEmitter {
  readonly steps: string[] = [];

  exit(code: number): void {
    this.steps.push(`exit ${code}`);
  }
}

function setUp(report?: () => never) {
  const process = new TestProcess();
  const reports: EndReport[] = [];
  const end = new ProcessEnd({
    process,
    report: report ?? ((report) => {
      process.steps.push("report");
      reports.push(report);
    }),
  });
  return { process, reports, end };
}

test.each(["uncaughtException", "unhandledRejection"] as const)(
  "an end by an %s does not go without its reason",
  (origin) => {
    const { process, reports } = setUp();
    const err = new Error("no such part");
    process.emit("uncaughtException", err, origin);
    expect(process.steps).toEqual(["report", "exit 1"]);
    expect(reports).toMatchObject([{ reason: "no such part", origin }]);
    expect(reports[0]!.stack).toContain("process_end_test");
  },
);

test("a stack of any length makes a line of bounded length", () => {
  const { reports, end } = setUp();
  const err = new Error("deep");
  err.stack = "x".repeat(100_000);
  end.failed(err);
  expect(reports[0]!.stack).toHaveLength(2_000);
});

test("a report that cannot be written does not keep the process", () => {
  const { process, end } = setUp(() => {
    throw new Error("no log");
  });
  expect(() => end.failed("reason")).toThrow("no log");
  expect(process.steps).toEqual(["exit 1"]);
});

test.each([
  ["stops", () => Promise.resolve()],
  ["cannot stop", () => Promise.reject(new Error("stuck"))],
])("an end in order waits for what runs and %s", async (_how, stop) => {
  const { process, end } = setUp();
  end.failedInOrder(new Error("restarts do not help"), {
    stop: () => {
      process.steps.push("stop");
      return stop();
    },
  });
  await new Promise((resolve) => setImmediate(resolve));
  expect(process.steps).toEqual(["report", "stop", "exit 1"]);
});
