import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { PacedTimer } from "./paced_timer.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("work runs at the interval that it returns", () => {
  let runs = 0;
  const timer = new PacedTimer(() => {
    runs += 1;
    return 100;
  });
  timer.scheduleWithin(0);
  vi.advanceTimersByTime(1_000);
  expect(runs).toBe(11);
  timer.close();
});

test("work that becomes urgent runs earlier, and only once", () => {
  // A request starts to wait right after a run. If the work didn't look at it before
  // the long interval is over, its caller would wait that much longer.
  const ranAt: number[] = [];
  const timer = new PacedTimer((now) => {
    ranAt.push(now);
    return 100;
  });
  const start = performance.now();
  timer.scheduleWithin(100);
  vi.advanceTimersByTime(10);
  timer.scheduleWithin(20);
  timer.scheduleWithin(50);
  vi.advanceTimersByTime(110);
  expect(ranAt.map((at) => at - start)).toEqual([30]);
  timer.close();
});

test("a closed timer does no work", () => {
  const work = vi.fn(() => 10);
  const timer = new PacedTimer(work);
  timer.scheduleWithin(10);
  timer.close();
  timer.scheduleWithin(5);
  vi.advanceTimersByTime(100);
  expect(work).not.toHaveBeenCalled();
});
