/**
 * Requests that cold targets receive from all VMs together.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { targetIn } from "./testing.ts";
import { Fleet } from "./testing_fleet.ts";

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

  test("receives at least half of what it tolerates when a third of the VMs is lost", () => {
    const target = targetIn("north", "t-0");
    const fleet = new Fleet(9, [target]);
    fleet.vms.forEach(({ steering }) => steering.markCold(target.id, 60_000));
    fleet.vms.slice(6).forEach((vm) => fleet.stop(vm));
    fleet.run(10_000, 400);
    expect(fleet.rate(target.id, 0)).toBeGreaterThan(target.coldPerSecond / 2);
  });
});
