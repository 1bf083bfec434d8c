/**
 * When a VM has too little processor time.
 *
 * @module
 */

import { expect, test } from "vitest";
import { ProcessorShortage } from "./processor_shortage.ts";

const TICK_MS = 20;

/** Ticks for `ms`, each `lateMs` late; returns the time afterwards. */
function run(
  shortage: ProcessorShortage,
  { from, ms, lateMs, acceptWaitMs = 0 }: {
    from: number;
    ms: number;
    lateMs: number;
    acceptWaitMs?: number;
  },
): number {
  let now = from;
  while (now < from + ms) {
    now += TICK_MS + lateMs;
    shortage.recordTick(now, { lateMs, acceptWaitMs });
  }
  return now;
}

function setUp() {
  const changes: boolean[] = [];
  const shortage = new ProcessorShortage(0, (isShort) => changes.push(isShort));
  return { changes, shortage };
}

test("a VM that runs for a tenth of the time is short within two seconds", () => {
  const { shortage } = setUp();
  run(shortage, { from: 0, ms: 2_000, lateMs: 180 });
  expect(shortage.isShort).toBe(true);
});

test("a VM that runs for half of the time, in turns, is not", () => {
  // Guards against a VM that leaves out itself where a quota of processor time is usual.
  const { shortage } = setUp();
  let now = 0;
  for (let turn = 0; turn < 100; turn++) {
    now = run(shortage, { from: now, ms: 40, lateMs: 2 });
    now = run(shortage, { from: now, ms: 1, lateMs: 40 });
  }
  expect(shortage.isShort).toBe(false);
});

test("a VM that was suspended once is not short", () => {
  const { changes, shortage } = setUp();
  const now = run(shortage, { from: 0, ms: 1_000, lateMs: 1 });
  shortage.recordTick(now + 300, { lateMs: 280, acceptWaitMs: 0 });
  run(shortage, { from: now + 300, ms: 1_000, lateMs: 1 });
  expect(changes).toEqual([]);
});

test("a shortage lasts until ticks come in time again", () => {
  const { changes, shortage } = setUp();
  let now = run(shortage, { from: 0, ms: 6_000, lateMs: 180 });
  expect(changes).toEqual([true]);
  now = run(shortage, { from: now, ms: 500, lateMs: 1 });
  expect(changes).toEqual([true]);
  run(shortage, { from: now, ms: 3_000, lateMs: 1 });
  expect(changes).toEqual([true, false]);
});

test("a VM whose ticks come in time but whose callers wait is short", () => {
  // Guards against a VM that is slow in all it does and not suspended.
  const { shortage } = setUp();
  run(shortage, { from: 0, ms: 2_000, lateMs: 5, acceptWaitMs: 300 });
  expect(shortage.isShort).toBe(true);
});

test("a burst of connections that are accepted soon makes no VM short", () => {
  const { shortage } = setUp();
  let now = 0;
  for (let burst = 0; burst < 10; burst++) {
    now = run(shortage, { from: now, ms: 100, lateMs: 5, acceptWaitMs: 120 });
    now = run(shortage, { from: now, ms: 400, lateMs: 5 });
  }
  expect(shortage.isShort).toBe(false);
});
