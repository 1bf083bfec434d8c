/**
 * Which targets can be homes.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";
import { hashText } from "@poplarthread/placement";
import type { RegisteredTarget } from "../ports.ts";
import { HomeTargetWatch } from "./home_target_watch.ts";
import { type HomeTargets, homeTargets } from "./home_targets.ts";

const NORTH = "north-1" as ZoneId;
const ZONES = {
  regions: new Map([[NORTH, "north" as RegionId]]),
  evacuated: new Set<ZoneId>(),
};

function known(
  id: string,
  overrides: Partial<RegisteredTarget> = {},
  isLeaving = false,
) {
  const target: RegisteredTarget = {
    id: id as TargetId,
    service: "portal" as ServiceId,
    address: "t:1",
    zone: NORTH,
    slots: 3,
    isLeaving,
    coldMs: 0,
    startedAt: 7,
    ...overrides,
  };
  return { target, isLeaving };
}

/** Hashes of a service's targets; undefined if it has no homes by load. */
function hashes(targets: HomeTargets, service = "portal") {
  return targets.get(service as ServiceId)?.map(({ hash }) => hash);
}

test("a service has homes by load if its targets state their start, the leaving ones included", () => {
  const other = { service: "shop" as ServiceId };
  const withStart = [known("t-1"), known("t-2", {}, true)];
  const withoutStart = known("t-3", { ...other, startedAt: undefined }, true);
  const targets = homeTargets(
    [...withStart, known("t-4", other), withoutStart],
    ZONES,
  );
  expect(hashes(targets)).toEqual([hashText("t-1")]);
  expect(hashes(targets, "shop")).toBeUndefined();
});

test("leaving targets, evacuated ones and those of unknown zones cannot be homes", () => {
  const evacuated = "north-2" as ZoneId;
  const targets = homeTargets([
    known("t-1"),
    known("t-2", {}, true),
    known("t-3", { zone: evacuated }),
    known("t-4", { zone: "nowhere" as ZoneId }),
  ], {
    regions: new Map([...ZONES.regions, [evacuated, "north" as RegionId]]),
    evacuated: new Set([evacuated]),
  });
  expect([...targets.values()]).toEqual([[{
    hash: hashText("t-1"),
    region: "north",
    slots: 3,
    startedAt: 7,
  }]]);
});

test("a few targets without a start time cannot be homes, and end them only when they are many", () => {
  // One entry of another version would otherwise end the homes of the whole service,
  // and with it the caches of all its targets.
  const mixed = (without: number) =>
    Array.from(
      { length: 20 },
      (_, at) => known(`t-${at}`, at < without ? { startedAt: undefined } : {}),
    );
  let targets = homeTargets(mixed(3), ZONES);
  expect(hashes(targets)).toBeUndefined();
  const counts = [2, 4, 5, 3].map((without) => {
    targets = homeTargets(mixed(without), ZONES, targets);
    return hashes(targets)?.length;
  });
  expect(counts).toEqual([18, 16, undefined, undefined]);
});

test("of many changes in a short time the first and the last are reported, and of none nothing", () => {
  // A rollout changes the list many times a second; homes computed at each change would
  // take up the VM's processor.
  let targets = [known("t-1")];
  const reported: (readonly number[] | undefined)[] = [];
  const watch = new HomeTargetWatch({
    known: () => targets,
    zones: () => ZONES,
    changed: (changed) => reported.push(hashes(changed)),
  });
  for (let now = 0; now < 100; now += 10) {
    targets = [...targets, known(`t-${targets.length + 1}`)];
    watch.markOutdated();
    watch.update(now);
  }
  watch.update(300);
  watch.markOutdated();
  watch.update(600);
  expect(reported.map((hashes) => hashes?.length)).toEqual([2, 11]);
});
