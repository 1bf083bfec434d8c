/**
 * Targets in need, whose limits hold for all VMs together.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { TargetLimits } from "./target_limits.ts";
import { targetIn, targetsIn } from "./testing.ts";
import { Fleet, REGIONS } from "./testing_fleet.ts";

/** Every VM shares the limit from this long after it was first named, in milliseconds. */
const CONTACT_MS = 4_000;
/** The bound holds in any span of this length, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time until VMs hear of each other's limits, in milliseconds. */
const NEWS_MS = 600;

function bound(perSecond: number): number {
  return Math.round(1.5 * perSecond * WINDOW_MS / 1_000) + 5;
}

const LIMITED = targetIn("north", "t-0");
const FLEETS = [1, 9, 195].flatMap((size) =>
  [0.4, 1, 2.6, 12].map((perSecond) => ({ size, perSecond }))
);

/** The most requests in any window of VMs that had been told. */
function mostTold(fleet: Fleet): number {
  return fleet.most(LIMITED.id, {
    from: CONTACT_MS,
    windowMs: WINDOW_MS,
    onlyTold: true,
  });
}

/** Plays with fleets and limits of all sizes; their only target has named its limit at 0. */
function expectHeld(play: (fleet: Fleet) => void): void {
  for (const { size, perSecond } of FLEETS) {
    const fleet = new Fleet(size, [LIMITED]);
    fleet.limits.set(LIMITED.id, perSecond);
    play(fleet);
    expect(
      mostTold(fleet),
      `${size} VMs, ${perSecond} a second`,
    ).toBeLessThanOrEqual(bound(perSecond));
  }
}

describe("a limit that a target names", () => {
  test("holds over all VMs together", () => {
    expectHeld((fleet) => fleet.play(30_000, 200));
  });

  test("holds while each VM is cut off from all others", () => {
    expectHeld((fleet) => {
      fleet.play(8_000, 200);
      fleet.meet((vm) => [vm]);
      fleet.play(12_000, 200);
      fleet.meet(() => fleet.vms);
      fleet.play(8_000, 200);
    });
  });

  test("holds while regions are cut off from each other", () => {
    expectHeld((fleet) => {
      fleet.play(8_000, 200);
      fleet.meet(({ region }) =>
        fleet.vms.filter((other) => other.region === region)
      );
      fleet.play(12_000, 200);
    });
  });

  test("holds while VMs start anew in turn", () => {
    expectHeld((fleet) => {
      fleet.play(5_000, 200);
      const { vms } = fleet;
      for (let at = 0; at < 15 && vms.length > 1; at++) {
        const vm = vms[at * 7 % vms.length]!;
        fleet.stop(vm);
        fleet.play(1_000, 200);
        fleet.start(vm);
      }
    });
  });

  test("is used by half at least, and nobody is refused while others serve", () => {
    for (const size of [1, 9]) {
      const [limited, ...others] = targetsIn("north", 4);
      const fleet = new Fleet(size, [limited!, ...others]);
      fleet.limits.set(limited!.id, 4);
      fleet.play(20_000, 60);
      expect(fleet.rate(limited!.id, CONTACT_MS)).toBeGreaterThan(4 / 2);
      expect(fleet.refused).toBe(0);
    }
  });

  test("is used by half at least where all targets of a service have one", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 6));
    const fleet = new Fleet(9, targets);
    targets.forEach(({ id }) => fleet.limits.set(id, 2));
    fleet.play(20_000, 200);
    const rates = targets.map(({ id }) => fleet.rate(id, CONTACT_MS));
    const sum = rates.reduce((total, rate) => total + rate, 0);
    expect(sum).toBeGreaterThan(targets.length * 2 / 2);
  });

  test("ends with the first answer that names none", () => {
    const fleet = new Fleet(1, [LIMITED]);
    fleet.limits.set(LIMITED.id, 1);
    fleet.play(5_000, 20);
    fleet.limits.clear();
    fleet.play(5_000, 20);
    expect(fleet.rate(LIMITED.id, 8_000)).toBeGreaterThan(10);
  });

  test("does not outlast its target's life", () => {
    const fleet = new Fleet(1, [LIMITED]);
    const { steering } = fleet.vms[0]!;
    for (const end of ["restarted", "removeTarget"] as const) {
      steering.limitNamed(LIMITED.id, { perSecond: 1, at: 0 });
      steering[end](LIMITED.id);
      expect(steering.limitedTargets).toBe(0);
    }
  });

  test("spares its target the first request of each of many VMs", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 4));
    const [limited] = targets;
    const fleet = new Fleet(195, targets);
    fleet.newsMs = NEWS_MS;
    fleet.play(2_000, 150);
    const before = fleet.rate(limited!.id, 0);
    fleet.limits.set(limited!.id, 1);
    fleet.play(8_000, 150);
    expect(fleet.rate(limited!.id, 3_000)).toBeLessThan(before / 3);
  });

  test("ends on all VMs when one has learned of its end", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 4));
    const fleet = new Fleet(195, targets);
    fleet.newsMs = NEWS_MS;
    targets.forEach(({ id }) => fleet.limits.set(id, 2));
    fleet.play(8_000, 150);
    expect(fleet.refused).toBeGreaterThan(0);
    fleet.limits.clear();
    fleet.play(3_000, 150);
    fleet.refused = 0;
    fleet.play(5_000, 150);
    expect(fleet.refused).toBe(0);
  });

  test("is the one that its target named last, in whatever order VMs tell it", () => {
    const limits = new TargetLimits();
    expect(limits.named(LIMITED.id, { perSecond: 2, at: 100 })).toBe(true);
    expect(limits.named(LIMITED.id, { perSecond: undefined, at: 200 }))
      .toBe(true);
    expect(limits.named(LIMITED.id, { perSecond: 2, at: 150 })).toBe(false);
    expect(limits.has(LIMITED.id)).toBe(false);
  });
});
