import { expect, test } from "vitest";
import type { RegionId, VmId } from "@poplarthread/ids";
import { SERVICE } from "../testing.ts";
import { HomeOwner } from "./home_owner.ts";
import type { DemandReport, OwnerTerm } from "./messages.ts";
import { homeTargets } from "./testing_homes.ts";

const VM = "vm-1" as VmId;
const OBJECTS = Array.from({ length: 600 }, (_, object) => object);

function reportOf(number: number): DemandReport {
  return {
    number,
    spanMs: 1_000,
    term: undefined,
    sequence: 0,
    namesEarlierHomes: true,
    objects: [],
    priorities: [],
    targets: [],
  };
}

// Guards against a burst of datagrams whenever an owner changes: every VM that learns
// of it late would get the whole table once for each part of its first report.
test("the parts of a report are answered with the missed changes once", () => {
  const owner = new HomeOwner({
    service: SERVICE,
    region: "north" as RegionId,
    term: "term" as OwnerTerm,
    startedAt: 0,
    bound: 2,
    roomOf: () => [],
  });
  owner.setTargets(homeTargets("north", 20));
  const queryOf = (object: number) =>
    ({ object, workMs: 100, wanted: "any" }) as const;
  OBJECTS.forEach((object) => owner.assign(queryOf(object), 0));
  owner.tick(0);
  owner.tick(1_000);
  const answers = [1, 2, 3].map((number) =>
    owner.receiveReport(reportOf(number), VM, 1_000)
  );
  expect(answers[0]!.length).toBeGreaterThan(0);
  expect(answers.slice(1)).toEqual([[], []]);
  // They may be lost, so the next report gets them again.
  expect(owner.receiveReport(reportOf(4), VM, 2_000)).toEqual(answers[0]);
});
