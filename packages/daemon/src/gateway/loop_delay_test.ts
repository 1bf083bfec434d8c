import { expect, test } from "vitest";
import { LoopDelay } from "./loop_delay.ts";

const PERIOD_MS = 20;

test("ticks in time are not late", () => {
  const delay = new LoopDelay(PERIOD_MS);
  for (let now = PERIOD_MS; now < 1_000; now += PERIOD_MS + 3) {
    delay.ticked(now, PERIOD_MS);
    expect(delay.isLate(now + PERIOD_MS)).toBe(false);
  }
});

test("a tick that is long due is late, and so is what follows it", () => {
  const delay = new LoopDelay(PERIOD_MS);
  expect(delay.isLate(300)).toBe(true);
  delay.ticked(300, PERIOD_MS);
  expect(delay.isLate(305)).toBe(true);
  delay.ticked(320, PERIOD_MS);
  expect(delay.isLate(325)).toBe(false);
});

test("a tick that was announced for later is not late before", () => {
  const delay = new LoopDelay(PERIOD_MS);
  delay.ticked(PERIOD_MS, 100);
  expect(delay.isLate(PERIOD_MS + 190)).toBe(false);
  expect(delay.isLate(PERIOD_MS + 210)).toBe(true);
});
