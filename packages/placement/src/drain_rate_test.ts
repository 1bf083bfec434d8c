/**
 * How long waiting is expected to take.
 *
 * @module
 */

import { expect, test } from "vitest";
import { DrainRate } from "./drain_rate.ts";

const READ = 2;
const PURCHASE = 0;

/** A second in which `sent` requests went and `purchases` came. */
function afterOneSecond(counts: { sent: number; purchases: number }) {
  const rate = new DrainRate();
  for (let at = 0; at < counts.sent; at++) {
    rate.sent(at * 1_000 / counts.sent);
  }
  for (let at = 0; at < counts.purchases; at++) {
    rate.arrived(PURCHASE, at * 1_000 / counts.purchases);
  }
  return rate;
}

test("a read waits for the purchases that come meanwhile, too", () => {
  // Forty requests go each second, but thirty purchases come and go first. A read
  // behind nine others that counts with all forty is held for its whole time and
  // refused at its end, when its caller has none left to try again.
  const rate = afterOneSecond({ sent: 40, purchases: 30 });
  const place = { now: 990, ahead: 9 };
  expect(rate.waitMs(READ, place)).toBeCloseTo(1_000, -2);
  expect(rate.waitMs(PURCHASE, place)).toBeCloseTo(250, -2);
});

test("where nothing goes, nobody is told to wait", () => {
  const rate = afterOneSecond({ sent: 10, purchases: 10 });
  expect(rate.waitMs(READ, { now: 990, ahead: 0 })).toBeGreaterThan(1_500);
});
