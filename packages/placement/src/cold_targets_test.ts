/**
 * What cold targets get from all VMs together.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { targetIn } from "./testing.ts";
import { Fleet } from "./testing_fleet.ts";

describe("a cold target", () => {
  /** The most requests in a second that it bears, as deployments bound it. */
  const most = (perSecond: number) => perSecond * 1.5 + 5;

  test.each([9, 195])(
    "gets no more than it bears while %i VMs are cut off from each other",
    (size) => {
      const target = targetIn("north", "t-0");
      const fleet = new Fleet(size, [target]);
      fleet.play(1_000, 20);
      fleet.vms.forEach(({ steering }) => steering.markCold(target.id, 60_000));
      fleet.meet((vm) => [vm]);
      fleet.play(20_000, 400);
      expect(fleet.most(target.id, { from: 1_000, windowMs: 1_000 }))
        .toBeLessThanOrEqual(most(target.coldPerSecond));
    },
  );

  test("gets half of what it bears at least where a third of the VMs is lost", () => {
    const target = targetIn("north", "t-0");
    const fleet = new Fleet(9, [target]);
    fleet.vms.forEach(({ steering }) => steering.markCold(target.id, 60_000));
    fleet.vms.slice(6).forEach((vm) => fleet.stop(vm));
    fleet.play(10_000, 400);
    expect(fleet.rate(target.id, 0)).toBeGreaterThan(target.coldPerSecond / 2);
  });
});
