/**
 * Credit of accounts over all VMs.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { RegionId, VmId } from "@poplarthread/ids";
import {
  CreditBucket,
  creditLimit,
  creditOwners,
  OWNER_SHARES,
  scaleLimit,
} from "./account_credit.ts";
import { hashText } from "./hash.ts";

const BOUND = { windowMs: 5_000, overage: 0.1, slack: 20 };
const REGIONS = 3;

function allowed(quota: { perSecond: number; burst: number }): number {
  return (quota.perSecond * 5 + quota.burst) * 1.1 + 20;
}

/**
 * The times at which requests are granted credit by any owner, while each owner is
 * asked all the time.
 */
function grants(
  quota: { perSecond: number; burst: number },
  { lengthMs, restartsAt }: { lengthMs: number; restartsAt: readonly number[] },
): readonly number[] {
  const limit = creditLimit(quota, BOUND);
  const owners = Array.from({ length: REGIONS }, () => OWNER_SHARES).flat()
    .map((share) => ({
      limit: scaleLimit(limit, share / REGIONS),
      bucket: new CreditBucket(0),
    }));
  const times: number[] = [];
  for (let now = 0; now < lengthMs; now += 10) {
    for (const owner of owners) {
      if (restartsAt.includes(now)) {
        owner.bucket = new CreditBucket(now);
      }
      while (owner.bucket.take(owner.limit, now)) {
        times.push(now);
      }
    }
  }
  return times;
}

function maxInWindow(times: readonly number[]): number {
  let from = 0;
  let max = 0;
  times.forEach((time, to) => {
    while (time - times[from]! >= BOUND.windowMs) {
      from += 1;
    }
    max = Math.max(max, to - from + 1);
  });
  return max;
}

describe("credit of an account", () => {
  test("stays within the bound in any window, whatever is requested and whenever owners restart", () => {
    fc.assert(
      fc.property(
        fc.record({
          perSecond: fc.integer({ min: 1, max: 300 }),
          burst: fc.integer({ min: 0, max: 300 }),
        }),
        fc.array(fc.integer({ min: 0, max: 1_200 }), { maxLength: 5 }),
        (quota, restarts) => {
          const restartsAt = restarts.map((at) => at * 10);
          const times = grants(quota, { lengthMs: 12_000, restartsAt });
          expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(quota));
        },
      ),
      { numRuns: 200 },
    );
  });

  test("sustains the full quota of an account", () => {
    const quota = { perSecond: 60, burst: 60 };
    const times = grants(quota, { lengthMs: 30_000, restartsAt: [] });
    const late = times.filter((time) => time >= 10_000).length;
    expect(late / 20).toBeGreaterThanOrEqual(quota.perSecond);
  });

  test("reports when there will be credit again", () => {
    const limit = { perSecond: 4, maxCredit: 2 };
    const bucket = new CreditBucket(0);
    expect(bucket.scheduleRetry(limit, 0)).toBe(250);
    expect(bucket.take(limit, 240)).toBe(false);
    expect(bucket.take(limit, 260)).toBe(true);
  });

  test("is deducted from the lender when it is lent, and no bucket exceeds its maximum", () => {
    const limit = { perSecond: 10, maxCredit: 10 };
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            stepMs: fc.integer({ min: 0, max: 300 }),
            asked: fc.integer({ min: 1, max: 20 }),
            isLost: fc.boolean(),
          }),
          { maxLength: 40 },
        ),
        (loans) => {
          const [lender, borrower] = [new CreditBucket(0), new CreditBucket(0)];
          let now = 0;
          let granted = 0;
          for (const { stepMs, asked, isLost } of loans) {
            now += stepMs;
            const lent = lender.lend(limit, { asked, now });
            if (!isLost) {
              borrower.addBorrowed(limit, { lent, now });
            }
            while (borrower.take(limit, now)) {
              granted += 1;
            }
          }
          while (lender.take(limit, now)) {
            granted += 1;
          }
          expect(granted).toBeLessThanOrEqual(2 * now / 1_000 * 10 + 1e-6);
        },
      ),
    );
  });

  test("is scheduled for refused requests one after the other", () => {
    // Fifty callers are refused at once. With the same delay for all of them, they
    // would return together, and all but one would be refused again.
    const limit = { perSecond: 10, maxCredit: 5 };
    const bucket = new CreditBucket(0);
    const promised = Array.from(
      { length: 50 },
      () => bucket.scheduleRetry(limit, 0),
    );
    expect(promised.slice(0, 3)).toEqual([100, 200, 300]);
    for (const at of promised) {
      expect(bucket.take(limit, at)).toBe(true);
    }
  });
});

test("all VMs compute the same owners, and the second one becomes first if the first one is lost", () => {
  const vms = Array.from({ length: 22 }, (_, at) => ({
    vm: `vm-${at}` as VmId,
    region: "north" as RegionId,
    hash: hashText(`vm-${at}`),
  }));
  const owners = creditOwners("anna", vms);
  expect(creditOwners("anna", vms.toReversed())).toEqual(owners);
  const remaining = vms.filter((vm) => vm !== owners[0]);
  expect(creditOwners("anna", remaining)[0]).toBe(owners[1]);
});
