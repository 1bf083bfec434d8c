import { expect, test } from "vitest";
import { DeadlineWheel, type Expiring, TICK_MS } from "./deadline_wheel.ts";

function expiringAt(expiresAt: number): Expiring {
  return { expiresAt, expire: () => undefined };
}

test("an entry is due within the time left until its deadline", () => {
  const wheel = new DeadlineWheel(0);
  wheel.add(expiringAt(250));
  expect(wheel.dueWithin(100)).toBe(false);
  wheel.advance(160);
  expect(wheel.dueWithin(100)).toBe(true);
});

test("nothing is due once all entries have expired or were deleted", () => {
  const wheel = new DeadlineWheel(0);
  const deleted = expiringAt(40);
  wheel.add(deleted);
  wheel.add(expiringAt(50));
  wheel.delete(deleted);
  wheel.advance(50 + TICK_MS);
  expect(wheel.dueWithin(1_000)).toBe(false);
});
