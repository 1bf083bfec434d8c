/**
 * Detection of suspensions of a VM.
 *
 * @module
 */

import { expect, test } from "vitest";
import { SuspensionWatch } from "./suspension_watch.ts";

function watchWithClocks() {
  const clocks = { monotonic: 1_000, wall: 1_700_000_000_000 };
  return { clocks, watch: new SuspensionWatch(() => clocks) };
}

test("time that only the wall clock counts is suspended time", () => {
  // A suspended VM's monotonic clock stops, so data from before seems fresh.
  const { clocks, watch } = watchWithClocks();
  clocks.monotonic += 500;
  clocks.wall += 500;
  expect(watch.suspendedMs).toBe(0);
  clocks.wall += 3_000;
  expect(watch.suspendedMs).toBe(3_000);
  expect(watch.suspendedMs).toBe(3_000);
});

test("a wall clock that is set back doesn't reduce the suspended time", () => {
  const { clocks, watch } = watchWithClocks();
  clocks.wall += 3_000;
  expect(watch.suspendedMs).toBe(3_000);
  clocks.wall -= 2_000;
  expect(watch.suspendedMs).toBe(3_000);
  clocks.wall += 1_000;
  expect(watch.suspendedMs).toBe(4_000);
});

test("small differences between the clocks are ignored", () => {
  const { clocks, watch } = watchWithClocks();
  clocks.wall += 20;
  expect(watch.suspendedMs).toBe(0);
});
