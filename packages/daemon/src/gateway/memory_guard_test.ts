import { beforeEach, describe, expect, test, vi } from "vitest";
import type { EventLog } from "./events.ts";
import { MemoryGuard, type ProcessMemory } from "./memory_guard.ts";

const MEMORY_BYTES = 200e6;
/** Code, stacks and the allocator. */
const OTHER_BYTES = 50e6;
const LIVE_BYTES = 20e6;
const HEAP_LIMIT_BYTES = 160e6;

let live: number;
let garbage: number;
let collections: number;
/** Time that a collection takes. */
let collectMs: number;
let write: ReturnType<typeof vi.fn>;

const memory: ProcessMemory = {
  sizes: () => ({
    residentBytes: OTHER_BYTES + live + garbage,
    allocatedBytes: live + garbage,
    heapShare: (live + garbage) / HEAP_LIMIT_BYTES,
  }),
  collectGarbage() {
    collections += 1;
    garbage = 0;
    if (collectMs > 0) {
      vi.advanceTimersByTime(collectMs);
    }
  },
};

function guardOf(memoryBytes = MEMORY_BYTES): MemoryGuard {
  const log = { write } as unknown as EventLog;
  return new MemoryGuard(memoryBytes, { log, memory });
}

beforeEach(() => {
  live = LIVE_BYTES;
  garbage = 0;
  collections = 0;
  collectMs = 0;
  write = vi.fn();
});

describe("the guard of a VM's memory", () => {
  test("collects garbage before the process is near its memory", () => {
    const guard = guardOf();
    let peakBytes = 0;
    for (let now = 0; now < 1_000; now += 20) {
      garbage += 10e6;
      peakBytes = Math.max(peakBytes, memory.sizes().residentBytes);
      guard.check(now);
    }
    expect(peakBytes).toBeLessThan(MEMORY_BYTES * 0.65);
    expect(guard.isShort).toBe(false);
  });

  test("doesn't collect again and again what is in use", () => {
    const guard = guardOf();
    live += 60e6;
    for (let now = 0; now < 1_000; now += 20) {
      garbage += 1e5;
      guard.check(now);
    }
    expect(collections).toBe(1);
  });

  test("doesn't spend a large part of its time on garbage", () => {
    vi.useFakeTimers({ toFake: ["performance"] });
    collectMs = 40;
    const guard = guardOf();
    live += 45e6;
    guard.check(0);
    collections = 0;
    for (let now = 0; now < 10_000; now += 20) {
      garbage += 0.5e6;
      guard.check(now);
    }
    vi.useRealTimers();
    expect(collections * collectMs).toBeLessThan(10_000 / 15);
    expect(guard.isShort).toBe(false);
  });

  test("leaves a process alone that is small for its VM", () => {
    const guard = guardOf();
    garbage = 20e6;
    guard.check(0);
    expect(collections).toBe(0);
  });

  test("tells that memory is short, and that it is no more", () => {
    const guard = guardOf();
    live += 100e6;
    guard.check(1_000);
    expect(guard.isShort).toBe(true);
    live = LIVE_BYTES;
    guard.check(3_500);
    expect(guard.isShort).toBe(false);
    expect(write.mock.calls).toEqual([
      ["memory short", { residentBytes: 170e6 }],
      ["memory enough", { residentBytes: 70e6, forMs: 2_500 }],
    ]);
  });

  // V8 would end the process, however much memory the VM has.
  test("tells that memory is short when the heap is nearly full", () => {
    const guard = guardOf(10 * MEMORY_BYTES);
    live = HEAP_LIMIT_BYTES * 0.9;
    guard.check(0);
    expect(guard.isShort).toBe(true);
  });

  // It would refuse all requests for good.
  test("lets a process work that is too large for its VM from the start", () => {
    const guard = guardOf(1);
    live += 40e6;
    guard.check(0);
    expect(guard.isShort).toBe(false);
  });
});

test("the process's own sizes are read, and its garbage is collected", () => {
  const log = { write } as unknown as EventLog;
  const guard = new MemoryGuard(1, { log });
  const buffers = Array.from({ length: 20 }, () => Buffer.alloc(1e6, 1));
  guard.check(0);
  expect(guard.residentBytes).toBeGreaterThan(buffers.length * 1e6);
});
