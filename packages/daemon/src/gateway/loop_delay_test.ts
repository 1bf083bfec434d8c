import { expect, test } from "vitest";
import { LoopDelay } from "./loop_delay.ts";

const PERIOD_MS = 20;

test("reports no delay while ticks are on time", () => {
  const delay = new LoopDelay(PERIOD_MS);
  for (let now = PERIOD_MS; now < 1_000; now += PERIOD_MS + 3) {
    delay.ticked(now, PERIOD_MS);
    expect(delay.isLate(now + PERIOD_MS)).toBe(false);
  }
});

test("reports a delay while a tick is overdue, and until the next tick on time", () => {
  const delay = new LoopDelay(PERIOD_MS);
  expect(delay.isLate(300)).toBe(true);
  delay.ticked(300, PERIOD_MS);
  expect(delay.isLate(305)).toBe(true);
  delay.ticked(320, PERIOD_MS);
  expect(delay.isLate(325)).toBe(false);
});

test("reports no delay before a tick with a longer period is overdue", () => {
  const delay = new LoopDelay(PERIOD_MS);
  delay.ticked(PERIOD_MS, 100);
  expect(delay.isLate(PERIOD_MS + 190)).toBe(false);
  expect(delay.isLate(PERIOD_MS + 210)).toBe(true);
});
