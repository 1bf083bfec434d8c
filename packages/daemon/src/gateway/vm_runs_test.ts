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
const THIRD = memberNamed("n-2", { instance: "n-2.c" as InstanceId });
const SECOND = memberNamed("n-2", { instance: "n-2.b" as InstanceId });

test.each(["stopped", "failed"] as const)(
  "an end that its process announces as %s counts once",
  (end) => {
    const runs = new VmRuns();
    runs.record(FIRST, { now: 0 });
    expect(runs.record(FIRST, { announced: end, now: 0 }).ends)
      .toEqual([{ instance: "n-2.a", end }]);
    expect(runs.record(FIRST, { announced: end, now: 0 }).ends).toEqual([]);
    expect(runs.record(SECOND, { now: 0 }).ends).toEqual([]);
  },
);

test("a process that is replaced without a word does not end unnoticed", () => {
  const runs = new VmRuns();
  runs.record(FIRST, { now: 0 });
  expect(runs.record(SECOND, { now: 0 }).ends)
    .toEqual([{ instance: "n-2.a", end: "unannounced" }]);
});

test("a VM that falls silent for a while and goes on has not ended", () => {
  const runs = new VmRuns();
  runs.record(FIRST, { now: 0 });
  expect(runs.record(FIRST, { now: 0 }).ends).toEqual([]);
});

test("a delayed heartbeat of the process before does not speak for its VM", () => {
  // Guards against a VM that look-ups leave out because the process before it left.
  const runs = new VmRuns();
  runs.record(FIRST, { announced: "stopped", now: 0 });
  runs.record(SECOND, { now: 0 });
  expect(runs.record(FIRST, { announced: "stopped", now: 0 }))
    .toEqual({ isReplaced: true, ends: [] });
  expect(runs.record(SECOND, { now: 0 }))
    .toEqual({ isReplaced: false, ends: [] });
});

test("a delayed heartbeat of the process before last does not hide the VM", () => {
  const runs = new VmRuns();
  const heard = [FIRST, SECOND, THIRD, FIRST, THIRD].map((member) =>
    runs.record(member, { now: 0 })
  );
  expect(heard.map(({ isReplaced }) => isReplaced))
    .toEqual([false, false, false, true, false]);
  expect(heard.flatMap(({ ends }) => ends.map(({ instance }) => instance)))
    .toEqual(["n-2.a", "n-2.b"]);
});

test("a process that was taken for replaced is the current one once the other is silent", () => {
  const runs = new VmRuns();
  runs.record(SECOND, { now: 0 });
  runs.record(FIRST, { now: 10 });
  expect(runs.record(SECOND, { now: 1_000 }).isReplaced).toBe(true);
  expect(runs.record(SECOND, { now: 4_000 }).isReplaced).toBe(false);
  expect(runs.record(SECOND, { now: 4_100 }).isReplaced).toBe(false);
});
