/**
 * Requests that cold targets receive from all VMs together.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { targetIn } from "./testing.ts";
import { Fleet } from "./testing_fleet.ts";

/** How long VMs are down, and hear nobody after their start. */
const RESTART_MS = 300;
const UNHEARD_MS = 2_000;

describe("a cold target", () => {
  /**
   * The highest number of requests in one second that deployments allow for a cold
   * target.
   */
  const maxPerSecond = (perSecond: number) => perSecond * 1.5 + 5;

  test.each([9, 195])(
    "receives no more than it tolerates while %i VMs are cut off from each other",
    (size) => {
      const target = targetIn("north", "t-0");
      const fleet = new Fleet(size, [target]);
      fleet.run(1_000, 20);
      fleet.vms.forEach(({ steering }) => steering.markCold(target.id, 60_000));
      fleet.setReachable((vm) => [vm]);
      fleet.run(20_000, 400);
      expect(fleet.maxInWindow(target.id, { from: 1_000, windowMs: 1_000 }))
        .toBeLessThanOrEqual(maxPerSecond(target.coldPerSecond));
    },
  );

  test.each([9, 66, 195])(
    "receives no more than it tolerates when %i VMs restart at once and hear nobody yet",
    (size) => {
      // Guards against a share of the rate that each process uses anew.
      for (let round = 0; round < 20; round++) {
        const target = targetIn("north", `t-${round}`);
        const fleet = new Fleet(size, [target]);
        const markCold = () =>
          fleet.vms.forEach(({ steering }) =>
            steering.markCold(target.id, 60_000)
          );
        markCold();
        fleet.run(2_000, 400);
        fleet.now += RESTART_MS;
        fleet.vms.forEach((vm) => fleet.start(vm));
        markCold();
        fleet.setReachable((vm) => [vm]);
        fleet.run(UNHEARD_MS, 400);
        fleet.setReachable(() => fleet.vms);
        fleet.run(1_000, 400);
        expect(fleet.maxInWindow(target.id, { from: 0, windowMs: 1_000 }))
          .toBeLessThanOrEqual(maxPerSecond(target.coldPerSecond));
      }
    },
  );

  test("receives at least half of what it tolerates when a third of the VMs is lost", () => {
    const target = targetIn("north", "t-0");
    const fleet = new Fleet(9, [target]);
    fleet.vms.forEach(({ steering }) => steering.markCold(target.id, 60_000));
    fleet.vms.slice(6).forEach((vm) => fleet.stop(vm));
    fleet.run(10_000, 400);
    expect(fleet.rate(target.id, 0)).toBeGreaterThan(target.coldPerSecond / 2);
  });
});
