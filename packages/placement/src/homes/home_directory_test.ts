import { beforeEach, expect, test, vi } from "vitest";
import type { VmId } from "@poplarthread/ids";
import { SERVICE } from "../testing.ts";
import { HOME_TICK_MS } from "./home_agent.ts";
import { HomeDirectory } from "./home_directory.ts";
import type { HomeMessage, ObjectHomes, OwnerTerm } from "./messages.ts";

const OWNER = "vm-1" as VmId;
const REQUEST = { service: SERVICE, object: 7, workMs: 300 };
const [HOME, OTHER, UNKNOWN] = [101, 102, 999];

let directory: HomeDirectory;
const onHomes = vi.fn();
const onQueries = vi.fn();

beforeEach(() => {
  onHomes.mockClear();
  onQueries.mockClear();
  directory = new HomeDirectory({
    assign: () => undefined,
    onHomes,
    onQueries,
  });
  directory.setTargets(new Set([HOME, OTHER]));
  directory.follow(OWNER);
});

function update(
  homes: readonly ObjectHomes[],
  { sequence, after, term = "a" }: {
    sequence?: number;
    after: number;
    term?: string;
  },
): Extract<HomeMessage, { kind: "update" }> {
  return {
    kind: "update",
    service: SERVICE,
    term: term as OwnerTerm,
    sequence,
    after,
    homes,
    room: [],
  };
}

/** Receives an update that gives the request's object one home. */
function receiveHome(
  home: number,
  numbers: Parameters<typeof update>[1],
  from = OWNER,
): void {
  const homes = [{ object: REQUEST.object, targets: [home] }];
  directory.receive(update(homes, numbers), from, 0);
}

function knownHomes(now: number): readonly number[] {
  const lookup = directory.lookUp(REQUEST, now);
  return lookup.kind === "assigned" ? lookup.targets : [];
}

test("a request waits for the owner's answer, then uses it", () => {
  expect(directory.lookUp(REQUEST, 0)).toEqual({ kind: "pending", until: 15 });
  expect(directory.lookUp(REQUEST, 1).kind).toBe("pending");
  expect(directory.takeQueries()).toEqual([
    { object: 7, workMs: 300, wanted: "any" },
  ]);
  receiveHome(HOME, { after: 0 });
  expect(onHomes).toHaveBeenCalledOnce();
  expect(knownHomes(3)).toEqual([HOME]);
});

// Guards against requests that wait for an owner that is gone.
test("a request without an answer goes by the rendezvous order, and another asks again", () => {
  directory.lookUp(REQUEST, 0);
  directory.tick(100);
  expect(onHomes).toHaveBeenCalledOnce();
  expect(directory.unanswered).toBe(1);
  expect(directory.lookUp(REQUEST, 101).kind).toBe("unassigned");
  expect(directory.lookUp(REQUEST, 201).kind).toBe("pending");
  expect(onQueries).toHaveBeenCalledOnce();
});

test("homes on targets that this VM doesn't know are left out", () => {
  const homes = [{ object: 7, targets: [UNKNOWN, HOME] }];
  directory.receive(update(homes, { after: 0 }), OWNER, 0);
  expect(knownHomes(0)).toEqual([HOME]);
  directory.setTargets(new Set([OTHER]));
  expect(knownHomes(0)).toEqual([]);
});

test("another home is asked for at most every 300 ms", () => {
  receiveHome(HOME, { after: 0 });
  [0, 100, 299, 300].forEach((now) => directory.requestAnother(REQUEST, now));
  expect(directory.takeQueries().map(({ wanted }) => wanted)).toEqual([
    "another",
    "another",
  ]);
});

// Guards against homes that an owner assigned before it was replaced.
test("an update of a VM that is not the owner is ignored", () => {
  receiveHome(HOME, { after: 0 });
  receiveHome(OTHER, { after: 0 }, "vm-2" as VmId);
  expect(knownHomes(0)).toEqual([HOME]);
});

// Guards against a late update that undoes those of the owner's present term.
test("an update of the owner's earlier term is ignored", () => {
  receiveHome(OTHER, { after: 0, term: "a" });
  receiveHome(HOME, { after: 0, term: "b" });
  receiveHome(OTHER, { after: 5, sequence: 6, term: "a" });
  expect(knownHomes(0)).toEqual([HOME]);
});

// Guards against homes that have been replaced since.
test("an update that was overtaken by a later one is ignored", () => {
  receiveHome(HOME, { after: 0, sequence: 2 });
  receiveHome(OTHER, { after: 0, sequence: 1 });
  receiveHome(OTHER, { after: 1 });
  expect(knownHomes(0)).toEqual([HOME]);
});

// Guards against homes that stay unknown after a lost update.
test("a report names the last update that arrived without a gap", () => {
  receiveHome(HOME, { after: 0, sequence: 3 });
  receiveHome(OTHER, { after: 5, sequence: 6 });
  directory.demand.recordDemand(REQUEST, 0);
  const [report] = directory.takeReports(1_000);
  expect(report).toMatchObject({ term: "a", sequence: 3 });
  expect(knownHomes(0)).toEqual([OTHER]);
});

// Guards against a new owner that assigns other homes to all objects.
test("the first two reports of a term list the homes known before it", () => {
  knownHomes(0);
  receiveHome(HOME, { after: 0, sequence: 1 });
  directory.demand.recordDemand(REQUEST, 0);
  directory.takeReports(1_000);
  receiveHome(OTHER, { after: 0, sequence: 1, term: "b" });
  const reports = [1_100, 2_100, 3_100].flatMap((now) => {
    directory.demand.recordDemand(REQUEST, 0);
    return directory.takeReports(now);
  });
  expect(
    reports.map(({ namesEarlierHomes, objects }) => ({
      namesEarlierHomes,
      targets: objects[0]!.targets,
    })),
  ).toEqual([
    { namesEarlierHomes: true, targets: [HOME] },
    { namesEarlierHomes: true, targets: [HOME] },
    { namesEarlierHomes: false, targets: [OTHER] },
  ]);
});

test("what callers ask for is reported once a second, in messages that fit into datagrams", () => {
  directory.takeReports(0);
  directory.takeReports(1_000);
  for (let object = 0; object < 200; object++) {
    directory.demand.recordDemand({ ...REQUEST, object }, object % 2);
  }
  expect(directory.takeReports(1_900)).toEqual([]);
  const reports = directory.takeReports(2_000);
  expect(reports.flatMap(({ objects }) => objects)).toHaveLength(200);
  expect(reports.flatMap(({ priorities }) => priorities)).toHaveLength(2);
  reports.forEach(({ objects }) =>
    expect(objects.length).toBeLessThanOrEqual(100)
  );
  expect(directory.takeReports(3_000)).toEqual([]);
});

// Guards against a query for each request while the owner's table is full.
test("an object without homes is not asked for again for a while", () => {
  directory.lookUp(REQUEST, 0);
  directory.takeQueries();
  const homes = [{ object: REQUEST.object, targets: [] }];
  directory.receive(update(homes, { after: 0 }), OWNER, 5);
  for (let now = 5; now < 4_000; now += 100) {
    expect(directory.lookUp(REQUEST, now).kind).toBe("unassigned");
  }
  expect(directory.takeQueries()).toEqual([]);
  expect(directory.lookUp(REQUEST, 6_000).kind).toBe("pending");
});

// Guards against requests that wait for their objective: without an owner there is no
// tick that ends their wait.
test("requests do not wait for homes when there is no owner any more", () => {
  expect(directory.lookUp(REQUEST, 0).kind).toBe("pending");
  directory.follow(undefined);
  expect(onHomes).toHaveBeenCalledTimes(1);
});

test("without an answer requests wait for 15 ms and until the next tick", () => {
  expect(directory.lookUp(REQUEST, 0).kind).toBe("pending");
  directory.tick(HOME_TICK_MS);
  expect(onHomes).toHaveBeenCalledTimes(1);
  expect(directory.lookUp(REQUEST, HOME_TICK_MS).kind).toBe("unassigned");
});
