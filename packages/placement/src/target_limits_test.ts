/**
 * Limits reported by overloaded targets, which hold for all VMs together.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { TargetLimits } from "./target_limits.ts";
import { targetIn, targetsIn } from "./testing.ts";
import { Fleet, REGIONS } from "./testing_fleet.ts";

/** Time after a limit is first reported from which on all VMs share it. */
const SETTLED_AFTER_MS = 4_000;
/** The bound holds in any window of this length. */
const WINDOW_MS = 4_000;
/** Time until VMs receive each other's limit updates. */
const UPDATE_DELAY_MS = 600;

function maxRequests(perSecond: number): number {
  return Math.round(1.5 * perSecond * WINDOW_MS / 1_000) + 5;
}

const LIMITED = targetIn("north", "t-0");
const FLEETS = [1, 9, 195].flatMap((size) =>
  [0.4, 1, 2.6, 12].map((perSecond) => ({ size, perSecond }))
);

/**
 * The highest number of requests in any window from VMs that had been informed of
 * the limit.
 */
function maxInformed(fleet: Fleet): number {
  return fleet.maxInWindow(LIMITED.id, {
    from: SETTLED_AFTER_MS,
    windowMs: WINDOW_MS,
    onlyInformed: true,
  });
}

/**
 * Checks the bound in fleets and with limits of several sizes; each fleet's only
 * target has a limit from time 0 on.
 */
function expectLimitHolds(run: (fleet: Fleet) => void): void {
  for (const { size, perSecond } of FLEETS) {
    const fleet = new Fleet(size, [LIMITED]);
    fleet.limits.set(LIMITED.id, perSecond);
    run(fleet);
    expect(
      maxInformed(fleet),
      `${size} VMs, limit of ${perSecond} requests per second`,
    ).toBeLessThanOrEqual(maxRequests(perSecond));
  }
}

describe("a limit that a target reports", () => {
  test("holds over all VMs together", () => {
    expectLimitHolds((fleet) => fleet.run(30_000, 200));
  });

  test("holds while each VM is cut off from all others", () => {
    expectLimitHolds((fleet) => {
      fleet.run(8_000, 200);
      fleet.setReachable((vm) => [vm]);
      fleet.run(12_000, 200);
      fleet.setReachable(() => fleet.vms);
      fleet.run(8_000, 200);
    });
  });

  test("holds while regions are cut off from each other", () => {
    expectLimitHolds((fleet) => {
      fleet.run(8_000, 200);
      fleet.setReachable(({ region }) =>
        fleet.vms.filter((other) => other.region === region)
      );
      fleet.run(12_000, 200);
    });
  });

  test("holds while VMs restart one after the other", () => {
    expectLimitHolds((fleet) => {
      fleet.run(5_000, 200);
      const { vms } = fleet;
      for (let at = 0; at < 15 && vms.length > 1; at++) {
        const vm = vms[at * 7 % vms.length]!;
        fleet.stop(vm);
        fleet.run(1_000, 200);
        fleet.start(vm);
      }
    });
  });

  test("is used at least by half, and no request is refused while other targets can serve it", () => {
    for (const size of [1, 9]) {
      const [limited, ...others] = targetsIn("north", 4);
      const fleet = new Fleet(size, [limited!, ...others]);
      fleet.limits.set(limited!.id, 4);
      fleet.run(20_000, 60);
      expect(fleet.rate(limited!.id, SETTLED_AFTER_MS)).toBeGreaterThan(4 / 2);
      expect(fleet.refused).toBe(0);
    }
  });

  test("is used at least by half if all targets of a service have one", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 6));
    const fleet = new Fleet(9, targets);
    targets.forEach(({ id }) => fleet.limits.set(id, 2));
    fleet.run(20_000, 200);
    const rates = targets.map(({ id }) => fleet.rate(id, SETTLED_AFTER_MS));
    const sum = rates.reduce((total, rate) => total + rate, 0);
    expect(sum).toBeGreaterThan(targets.length * 2 / 2);
  });

  test("ends with the first response that reports none", () => {
    const fleet = new Fleet(1, [LIMITED]);
    fleet.limits.set(LIMITED.id, 1);
    fleet.run(5_000, 20);
    fleet.limits.clear();
    fleet.run(5_000, 20);
    expect(fleet.rate(LIMITED.id, 8_000)).toBeGreaterThan(10);
  });

  test("ends when its target restarts or is removed", () => {
    const fleet = new Fleet(1, [LIMITED]);
    const { steering } = fleet.vms[0]!;
    for (const end of ["restarted", "removeTarget"] as const) {
      steering.updateLimit(LIMITED.id, { perSecond: 1, at: 0 });
      steering[end](LIMITED.id);
      expect(steering.limitedTargets).toBe(0);
    }
  });

  test("is known to VMs that have not sent a request to its target yet", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 4));
    const [limited] = targets;
    const fleet = new Fleet(195, targets);
    fleet.updateDelayMs = UPDATE_DELAY_MS;
    fleet.run(2_000, 150);
    const before = fleet.rate(limited!.id, 0);
    fleet.limits.set(limited!.id, 1);
    fleet.run(8_000, 150);
    expect(fleet.rate(limited!.id, 3_000)).toBeLessThan(before / 3);
  });

  test("ends on all VMs when one VM receives its end", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 4));
    const fleet = new Fleet(195, targets);
    fleet.updateDelayMs = UPDATE_DELAY_MS;
    targets.forEach(({ id }) => fleet.limits.set(id, 2));
    fleet.run(8_000, 150);
    expect(fleet.refused).toBeGreaterThan(0);
    fleet.limits.clear();
    fleet.run(3_000, 150);
    fleet.refused = 0;
    fleet.run(5_000, 150);
    expect(fleet.refused).toBe(0);
  });

  test("is the one reported last, in whatever order VMs receive the reports", () => {
    const limits = new TargetLimits();
    expect(limits.update(LIMITED.id, { perSecond: 2, at: 100 })).toBe(true);
    expect(limits.update(LIMITED.id, { perSecond: undefined, at: 200 }))
      .toBe(true);
    expect(limits.update(LIMITED.id, { perSecond: 2, at: 150 })).toBe(false);
    expect(limits.has(LIMITED.id)).toBe(false);
  });
});
