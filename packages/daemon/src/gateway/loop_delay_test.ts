import { expect, test } from "vitest";
import { LoopDelay } from "./loop_delay.ts";

const PERIOD_MS = 20;

test("ticks in time are not late", () => {
  const delay = new LoopDelay(PERIOD_MS, 0);
  for (let now = PERIOD_MS; now < 1_000; now += PERIOD_MS + 3) {
    delay.ticked(now);
    expect(delay.isLate(now + PERIOD_MS)).toBe(false);
  }
});

test("a tick that is long due is late, and so is what follows it", () => {
  const delay = new LoopDelay(PERIOD_MS, 0);
  expect(delay.isLate(300)).toBe(true);
  delay.ticked(300);
  expect(delay.isLate(305)).toBe(true);
  delay.ticked(320);
  expect(delay.isLate(325)).toBe(false);
});
