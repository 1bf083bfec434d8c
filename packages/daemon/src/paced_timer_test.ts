import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { PacedTimer } from "./paced_timer.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("work is done as seldom as it asks for", () => {
  let done = 0;
  const timer = new PacedTimer(() => {
    done += 1;
    return 100;
  });
  timer.dueIn(0);
  vi.advanceTimersByTime(1_000);
  expect(done).toBe(11);
  timer.close();
});

test("work that becomes urgent is done earlier, and once", () => {
  // A request begins to wait right after the work was done. Were it looked at only
  // at the end of the long pause, its caller would wait that much longer.
  const doneAt: number[] = [];
  const timer = new PacedTimer((now) => {
    doneAt.push(now);
    return 100;
  });
  const start = performance.now();
  timer.dueIn(100);
  vi.advanceTimersByTime(10);
  timer.dueIn(20);
  timer.dueIn(50);
  vi.advanceTimersByTime(110);
  expect(doneAt.map((at) => at - start)).toEqual([30]);
  timer.close();
});

test("a closed timer does no work", () => {
  const work = vi.fn(() => 10);
  const timer = new PacedTimer(work);
  timer.dueIn(10);
  timer.close();
  timer.dueIn(5);
  vi.advanceTimersByTime(100);
  expect(work).not.toHaveBeenCalled();
});
