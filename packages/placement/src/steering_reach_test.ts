/**
 * What a VM that reaches no target does with what it sees of them.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { Steering } from "./steering.ts";
import { requestFor, targetsIn } from "./testing.ts";

const TARGETS = targetsIn("north", 6);

/** A VM that fails to connect to any target, and whose checks fail. */
function cutOffVm(othersReachTargets: boolean): Steering {
  const steering = new Steering({
    vm: "vm-north" as VmId,
    location: { region: "north" as RegionId, zone: "north-1" as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
    othersReachTargets: () => othersReachTargets,
  });
  TARGETS.forEach((target) => steering.setTarget(target));
  TARGETS.forEach(({ id }) => steering.markUnreachable(id, 0));
  steering.reachChecksDue(0).forEach(() => steering.reachChecked("failed"));
  expect(steering.isCutOff).toBe(true);
  TARGETS.forEach(({ id }) => steering.markUnreachable(id, 100));
  return steering;
}

function place(steering: Steering, now: number) {
  return steering.place(requestFor("a", { now }), { now, ahead: 0 });
}

test("targets that other VMs reach stay in use", () => {
  const steering = cutOffVm(true);
  expect(place(steering, 200).kind).toBe("send");
  expect(steering.probesDue(2_000)).toEqual([]);
});

test("requests for targets that no VM reaches are refused at once", () => {
  const steering = cutOffVm(false);
  expect(place(steering, 200)).toMatchObject({
    kind: "refuse",
    reason: "no-target",
  });
});

test("of targets that no VM reaches, the first one that answers its probe is used", () => {
  const steering = cutOffVm(false);
  expect(steering.probesDue(2_000).length).toBe(TARGETS.length);
  steering.probeSucceeded(TARGETS[4]!.id, { now: 2_100, coldMs: 0 });
  expect(place(steering, 2_200)).toMatchObject({ target: TARGETS[4]!.id });
  expect(steering.isCutOff).toBe(false);
});

test("requests that targets left unanswered until their deadlines raise doubt", () => {
  // Guards against a VM that knows no response times yet and waits for silent targets.
  const steering = new Steering({
    vm: "vm-north" as VmId,
    location: { region: "north" as RegionId, zone: "north-1" as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
  });
  TARGETS.forEach((target) => steering.setTarget(target));
  const abandon = (now: number) =>
    TARGETS.slice(0, 3).forEach(({ id }) =>
      steering.ended(id, { kind: "abandoned" }, { now, writtenAt: 100 })
    );
  abandon(500);
  expect(steering.reach).toBe("reached");
  abandon(2_000);
  expect(steering.reach).toBe("in-doubt");
});

test("failures of all targets that neither leave nor ask for rest raise doubt", () => {
  // Guards against a VM that refuses its callers until the rest of its targets is over, and then finds out that it is cut off.
  const steering = new Steering({
    vm: "vm-north" as VmId,
    location: { region: "north" as RegionId, zone: "north-1" as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
  });
  TARGETS.forEach((target) => steering.setTarget(target));
  TARGETS.slice(2, 5).forEach(({ id }) => steering.backOff(id, 2_000));
  steering.setTarget({ ...TARGETS[5]!, isLeaving: true });
  steering.markUnreachable(TARGETS[0]!.id, 100);
  expect(steering.reach).toBe("reached");
  steering.markUnreachable(TARGETS[1]!.id, 200);
  expect(steering.reach).toBe("in-doubt");
});
