/**
 * Which ends of other VMs' processes are noticed.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { InstanceId } from "@poplarthread/ids";
import { memberNamed } from "./testing.ts";
import { VmRuns } from "./vm_runs.ts";

const FIRST = memberNamed("n-2", { instance: "n-2.a" as InstanceId });
const SECOND = memberNamed("n-2", { instance: "n-2.b" as InstanceId });

test.each(["stopped", "failed"] as const)(
  "an end that its process announces as %s counts once",
  (end) => {
    const runs = new VmRuns();
    runs.record(FIRST, undefined);
    expect(runs.record(FIRST, end).ends)
      .toEqual([{ instance: "n-2.a", end }]);
    expect(runs.record(FIRST, end).ends).toEqual([]);
    expect(runs.record(SECOND, undefined).ends).toEqual([]);
  },
);

test("a process that is replaced without a word does not end unnoticed", () => {
  const runs = new VmRuns();
  runs.record(FIRST, undefined);
  expect(runs.record(SECOND, undefined).ends)
    .toEqual([{ instance: "n-2.a", end: "unannounced" }]);
});

test("a VM that falls silent for a while and goes on has not ended", () => {
  const runs = new VmRuns();
  runs.record(FIRST, undefined);
  expect(runs.record(FIRST, undefined).ends).toEqual([]);
});

test("a delayed heartbeat of the process before does not speak for its VM", () => {
  // Guards against a VM that look-ups leave out because the process before it left.
  const runs = new VmRuns();
  runs.record(FIRST, "stopped");
  runs.record(SECOND, undefined);
  expect(runs.record(FIRST, "stopped"))
    .toEqual({ isReplaced: true, ends: [] });
  expect(runs.record(SECOND, undefined))
    .toEqual({ isReplaced: false, ends: [] });
});
