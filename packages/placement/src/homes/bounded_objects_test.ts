/**
 * Callers that name a new object in each request. What VMs keep and send for objects
 * must not grow with the rate of their requests, nor objects in regular use suffer.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { RegionId } from "@poplarthread/ids";
import { MAX_KNOWN_OBJECTS, MAX_OWNED_OBJECTS } from "./bounded_objects.ts";
import { ChangeLog } from "./change_log.ts";
import { HomeDirectory } from "./home_directory.ts";
import { HomeTable } from "./home_table.ts";
import { HomeFleet, homeTargets, vmsIn } from "./testing_homes.ts";

const OBJECTS = 50_000;
const TARGETS = homeTargets("north", 20);

function newTable(): HomeTable {
  const table = new HomeTable({ region: "north" as RegionId, bound: 2 });
  table.setTargets(TARGETS);
  return table;
}

function report(table: HomeTable, object: number, requests: number): void {
  table.recordDemand({ object, requests, workMs: 100, targets: [] }, 0);
}

test("the owner's table keeps objects in regular use, and drops others first", () => {
  const table = newTable();
  report(table, 1, 1);
  report(table, 1, 1);
  const home = table.homesOf(1);
  for (let object = 100; object < OBJECTS; object++) {
    report(table, object, 1);
  }
  expect(table.size).toBe(MAX_OWNED_OBJECTS);
  expect(table.changesSince(0)).toHaveLength(MAX_OWNED_OBJECTS);
  expect(table.homesOf(1)).toEqual(home);
  expect(table.targets.homes).toBe(MAX_OWNED_OBJECTS);
});

test("an object gets no homes while the table is full of objects in regular use", () => {
  const table = newTable();
  for (let object = 0; object < MAX_OWNED_OBJECTS; object++) {
    report(table, object, 2);
  }
  const query = { object: OBJECTS, workMs: 100, wanted: "any" } as const;
  expect(table.assign(query, 0).targets).toEqual([]);
  expect(table.homesOf(OBJECTS)).toBeUndefined();
});

test("changes of objects that are gone are not kept", () => {
  const log = new ChangeLog<{ sequence: number }>();
  for (let at = 0; at < OBJECTS; at++) {
    const record = { sequence: 0 };
    log.add(record, 10);
    log.remove(record);
  }
  expect(log.length).toBeLessThan(200);
  expect(log.since(0)).toEqual([]);
});

test("a VM's copy keeps objects in regular use, and drops others first", () => {
  const queried: number[] = [];
  const directory = new HomeDirectory({
    assign: ({ object }) => {
      queried.push(object);
      return { object, targets: [7] };
    },
    onQueries: () => {},
    onHomes: () => {},
  });
  directory.setTargets(new Set([7]));
  const request = { service: "portal" as never, workMs: 100 };
  directory.lookUp({ ...request, object: 1 }, 0);
  directory.lookUp({ ...request, object: 1 }, 2_000);
  for (let object = 100; object < OBJECTS; object++) {
    directory.lookUp({ ...request, object }, 2_000);
  }
  expect(directory.size).toBe(MAX_KNOWN_OBJECTS);
  queried.length = 0;
  directory.lookUp({ ...request, object: 1 }, 2_000);
  expect(queried).not.toContain(1);
});

test("a caller of new objects cannot make an owner send without bound", () => {
  const vms = vmsIn("north", 3);
  const fleet = new HomeFleet(vms, TARGETS);
  const [first, other] = vms.map(({ vm }) => vm);
  let updates = 0;
  fleet.isLost = ({ message }) => {
    const isBroadcast = message.kind === "update" &&
      message.sequence !== undefined;
    updates += isBroadcast ? 1 : 0;
    return false;
  };
  let sent = 0;
  fleet.run(2_000, () => fleet.request(other!, "regular"));
  const home = fleet.homesOf(other!, "regular");
  updates = 0;
  const seconds = 10;
  fleet.run(seconds * 1_000, () => {
    fleet.request(other!, "regular");
    for (const end = sent + OBJECTS / seconds / 10; sent < end; sent++) {
      fleet.request(first!, `new-${sent}`);
    }
  });
  const owned = [...fleet.agents.values()].flatMap((agent) => agent.owned());
  expect(owned[0]!.objects).toBeLessThanOrEqual(MAX_OWNED_OBJECTS);
  expect(fleet.homesOf(other!, "regular")).toEqual(home);
  // Eight datagrams each 300 ms, and the owner sends itself none.
  expect(updates / seconds / (vms.length - 1)).toBeLessThan(30);
});
