/**
 * Expected wait of queued requests.
 *
 * @module
 */

import { expect, test } from "vitest";
import { DrainRate } from "./drain_rate.ts";

const READ = 2;
const PURCHASE = 0;

/** One second in which `sent` requests were sent and `purchases` arrived. */
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

test("the expected wait of a read includes purchases that arrive meanwhile", () => {
  // Forty requests are sent each second, but thirty purchases arrive and go first.
  // If a read with nine others ahead of it expected all forty, it would be queued
  // until its deadline and then refused, with no time left for its caller to retry.
  const rate = afterOneSecond({ sent: 40, purchases: 30 });
  const position = { now: 990, ahead: 9 };
  expect(rate.waitMs(READ, position)).toBeCloseTo(1_000, -2);
  expect(rate.waitMs(PURCHASE, position)).toBeCloseTo(250, -2);
});

test("the expected wait is long if the queue does not drain", () => {
  const rate = afterOneSecond({ sent: 10, purchases: 10 });
  expect(rate.waitMs(READ, { now: 990, ahead: 0 })).toBeGreaterThan(1_500);
});
