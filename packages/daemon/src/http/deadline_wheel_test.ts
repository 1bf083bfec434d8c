import { expect, test } from "vitest";
import { DeadlineWheel, type Expiring, TICK_MS } from "./deadline_wheel.ts";

function expiringAt(expiresAt: number): Expiring {
  return { expiresAt, expire: () => undefined };
}

test("a deadline is due within the time that is left to it", () => {
  const wheel = new DeadlineWheel(0);
  wheel.add(expiringAt(250));
  expect(wheel.dueWithin(100)).toBe(false);
  wheel.advance(160);
  expect(wheel.dueWithin(100)).toBe(true);
});

test("nothing is due after a deadline has passed or was taken out", () => {
  const wheel = new DeadlineWheel(0);
  const taken = expiringAt(40);
  wheel.add(taken);
  wheel.add(expiringAt(50));
  wheel.delete(taken);
  wheel.advance(50 + TICK_MS);
  expect(wheel.dueWithin(1_000)).toBe(false);
});
