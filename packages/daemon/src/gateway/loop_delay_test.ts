import { expect, test } from "vitest";
import { LoopDelay } from "./loop_delay.ts";

const PERIOD_MS = 20;

test("reports no delay while ticks are on time", () => {
  const delay = new LoopDelay(PERIOD_MS);
  for (let now = PERIOD_MS; now < 1_000; now += PERIOD_MS + 3) {
    delay.recordTick(now, PERIOD_MS);
    expect(delay.isDelayed(now + PERIOD_MS)).toBe(false);
  }
});

test("reports a delay while a tick is overdue, and until the next tick on time", () => {
  const delay = new LoopDelay(PERIOD_MS);
  expect(delay.isDelayed(300)).toBe(true);
  delay.recordTick(300, PERIOD_MS);
  expect(delay.isDelayed(305)).toBe(true);
  delay.recordTick(320, PERIOD_MS);
  expect(delay.isDelayed(325)).toBe(false);
});

test("reports no delay before a tick with a longer period is overdue", () => {
  const delay = new LoopDelay(PERIOD_MS);
  delay.recordTick(PERIOD_MS, 100);
  expect(delay.isDelayed(PERIOD_MS + 190)).toBe(false);
  expect(delay.isDelayed(PERIOD_MS + 210)).toBe(true);
});

test("a signal that is handled on time has arrived just now", () => {
  const delay = new LoopDelay(PERIOD_MS);
  delay.recordTick(PERIOD_MS, PERIOD_MS);
  expect(delay.earliestArrival(35)).toBe(35);
});

test("a signal that is handled after a delay may have arrived when the delay began", () => {
  // A VM would count the time until it is killed from too late a moment.
  const delay = new LoopDelay(PERIOD_MS);
  delay.recordTick(PERIOD_MS, PERIOD_MS);
  expect(delay.earliestArrival(400)).toBe(PERIOD_MS);
  delay.recordTick(400, PERIOD_MS);
  expect(delay.earliestArrival(401)).toBe(PERIOD_MS);
  delay.recordTick(420, PERIOD_MS);
  expect(delay.earliestArrival(421)).toBe(421);
});

test("a signal that waits behind the input of a delay may have arrived when the delay began", () => {
  // Guards against a stop that counts from the first tick after a suspension.
  const delay = new LoopDelay(PERIOD_MS);
  delay.recordTick(PERIOD_MS, PERIOD_MS);
  delay.recordTick(420, PERIOD_MS);
  expect(delay.earliestArrival(640)).toBe(PERIOD_MS);
});
