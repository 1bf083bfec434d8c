import fc from "fast-check";
import { beforeEach, describe, expect, test } from "vitest";
import type { RegionId } from "@poplarthread/ids";
import { HomeTable } from "./home_table.ts";
import type { ObjectDemand } from "./messages.ts";
import { homeTargets } from "./testing_homes.ts";

const NORTH = "north" as RegionId;
const BOUND = 2;
const SWEEP_MS = 1_000;
const TARGETS = homeTargets("north", 20);

let table: HomeTable;
let now: number;

beforeEach(() => {
  table = newTable();
});

function newTable(): HomeTable {
  now = 0;
  const created = new HomeTable({ region: NORTH, bound: BOUND });
  created.setTargets(TARGETS);
  created.sweep(now, { isRecovering: false });
  return created;
}

function demandFor(
  object: number,
  { perSecond = 1, workMs = 300 }: { perSecond?: number; workMs?: number } = {},
): ObjectDemand {
  return { object, requests: perSecond, workMs, targets: [] };
}

/** Reports the same demand each second. */
function play(seconds: number, demands: readonly ObjectDemand[]): void {
  for (let second = 0; second < seconds; second++) {
    now += SWEEP_MS;
    demands.forEach((demand) => table.recordDemand(demand, now));
    table.sweep(now, { isRecovering: false });
  }
}

function homesOf(object: number): readonly number[] {
  return table.homesOf(object)?.targets ?? [];
}

function loadsOf(targets = TARGETS): readonly number[] {
  return targets.map(({ hash }) => table.targets.loadOf(hash));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

const objectNumbers = fc.uniqueArray(fc.nat(2 ** 32 - 1), {
  minLength: 1,
  maxLength: 120,
});

describe("targets are unevenly asked for", () => {
  test("no target gets more objects than the bound allows", () => {
    fc.assert(fc.property(objectNumbers, (objects) => {
      table = newTable();
      objects.forEach((object) =>
        table.assign({ object, workMs: 300, wanted: "any" }, now)
      );
      const counts = TARGETS.map(({ hash }) =>
        objects.filter((object) => homesOf(object).includes(hash)).length
      );
      const limit = Math.ceil(BOUND * objects.length / TARGETS.length);
      expect(Math.max(...counts)).toBeLessThanOrEqual(limit);
    }));
  });

  test("no target stays loaded beyond the bound while others have room", () => {
    const rates = fc.array(fc.integer({ min: 1, max: 3 }), {
      minLength: 20,
      maxLength: 100,
    });
    fc.assert(
      fc.property(rates, (perSeconds) => {
        table = newTable();
        play(
          60,
          perSeconds.map((perSecond, at) =>
            demandFor(at * 7_919, { perSecond, workMs: 200 })
          ),
        );
        const loads = loadsOf();
        const limit = Math.max(0.5, BOUND * 1.2 * mean(loads));
        expect(Math.max(...loads)).toBeLessThanOrEqual(limit);
      }),
      { numRuns: 30 },
    );
  });

  test("an object's home is not on a target that is loaded beyond the bound", () => {
    const query = { object: 7, workMs: 300, wanted: "any" } as const;
    const [first] = table.assign(query, now).targets;
    table = newTable();
    const loaded = { ...demandFor(1, { perSecond: 4 }), targets: [first!] };
    const others = Array.from({ length: 40 }, (_, at) => demandFor(100 + at));
    table.adopt(loaded, now);
    play(20, [loaded, ...others]);
    expect(table.targets.loadOf(first!)).toBeGreaterThan(0.35);
    expect(table.assign(query, now).targets).not.toContain(first);
  });

  test("the loads of targets are the sum of their objects' work", () => {
    const demands = Array.from({ length: 50 }, (_, at) => demandFor(at * 31));
    play(60, demands);
    const busySlots = mean(loadsOf()) * 3 * TARGETS.length;
    expect(busySlots).toBeCloseTo(50 * 0.3, 1);
  });
});

test("targets that become slow get less work", () => {
  const slow = TARGETS.slice(0, 3);
  const demands = Array.from(
    { length: 60 },
    (_, at) => demandFor(at * 7_919, { perSecond: 2 }),
  );
  play(10, demands);
  for (let second = 0; second < 40; second++) {
    table.targets.observe(slow.map(({ hash }) => ({
      target: hash,
      pace: 2.5,
      requests: 6,
    })));
    play(1, demands);
  }
  const slots = new Map(
    table.targets.shares().map(({ target, busySlots }) => [target, busySlots]),
  );
  const busyOn = (targets: typeof TARGETS) =>
    mean(targets.map(({ hash }) => slots.get(hash) ?? 0));
  expect(busyOn(slow)).toBeLessThan(0.8 * busyOn(TARGETS.slice(3)));
  expect(Math.max(...loadsOf(slow))).toBeLessThanOrEqual(1);
});

describe("an object is asked for more than one target should give", () => {
  const hot = demandFor(1, { perSecond: 12 });

  test("it gets more homes, and loses them when it is asked for less", () => {
    play(20, [hot]);
    expect(homesOf(1)).toHaveLength(3);
    play(60, [demandFor(1)]);
    expect(homesOf(1)).toHaveLength(1);
  });

  test("it gets one more at a time when its homes are too busy", () => {
    const query = { object: 1, workMs: 300, wanted: "another" } as const;
    table.assign({ ...query, wanted: "any" }, now);
    table.assign(query, now);
    table.assign(query, now + 100);
    expect(homesOf(1)).toHaveLength(2);
    [1, 2, 3].forEach((at) => table.assign(query, now + at * 1_000));
    expect(homesOf(1)).toHaveLength(4);
  });
});

test("an object that nobody uses is dropped", () => {
  play(5, [demandFor(1), demandFor(2)]);
  play(20, [demandFor(2)]);
  expect(homesOf(1)).toEqual([]);
  expect(homesOf(2)).toHaveLength(1);
  play(1, [demandFor(1)]);
  const changed = table.changesSince(0).map(({ object }) => object);
  expect(changed).toEqual([2, 1]);
});

test("a crowded target's object gets its new home before it loses the old one", () => {
  const objects = [1, 2, 3];
  const [crowded] = TARGETS;
  const demands = objects.map((object) => ({
    ...demandFor(object, { perSecond: 3 }),
    targets: [crowded!.hash],
  }));
  demands.forEach((demand) => table.adopt(demand, now));
  const seen = new Set<string>();
  for (let second = 0; second < 30; second++) {
    play(1, demands);
    objects.forEach((object) => {
      const homes = homesOf(object);
      const isFirst = homes[0] === crowded!.hash;
      seen.add(`${homes.length} ${isFirst ? "old first" : "new first"}`);
    });
  }
  expect([...seen]).toEqual([
    "1 old first",
    "2 old first",
    "2 new first",
    "1 new first",
  ]);
  expect(table.targets.loadOf(crowded!.hash)).toBeLessThan(1);
});

describe("targets end", () => {
  const demands = Array.from({ length: 40 }, (_, at) => demandFor(at));

  test("objects of a target that is gone get another home at once", () => {
    play(5, demands);
    const [gone, ...others] = TARGETS;
    const moved = demands.filter(({ object }) =>
      homesOf(object).includes(gone!.hash)
    );
    const before = table.sequence;
    table.setTargets(others);
    expect(moved.length).toBeGreaterThan(0);
    const changed = table.changesSince(before).map(({ object }) => object);
    expect(changed).toEqual(moved.map(({ object }) => object));
    demands.forEach(({ object }) => {
      expect(homesOf(object)).toHaveLength(1);
      expect(homesOf(object)).not.toContain(gone!.hash);
    });
  });

  // Guards against keeping second homes on a target that has lost its cache.
  test("objects of a target that restarts under its id are assigned again", () => {
    const [restarted, other] = TARGETS.map(({ hash }) => hash);
    table.adopt({ ...demandFor(1), targets: [restarted!, other!] }, now);
    const before = table.sequence;
    table.setTargets(
      TARGETS.map((target, at) =>
        at === 0 ? { ...target, startedAt: 9 } : target
      ),
    );
    expect(homesOf(1)).toEqual([other]);
    expect(table.changesSince(before)).toHaveLength(1);
  });
});

// Guards against dropping homes that VMs use but have not reported yet.
test("a new owner neither moves nor drops homes", () => {
  const [crowded] = TARGETS.map(({ hash }) => hash);
  const demands = [1, 2, 3, 4].map((object) => ({
    ...demandFor(object, { perSecond: 4 }),
    targets: [crowded!],
  }));
  const unused = { ...demandFor(5), targets: [crowded!] };
  table.adopt(unused, now);
  demands.forEach((demand) => table.adopt(demand, now));
  const { sequence } = table;
  for (let at = 1; at <= 40; at++) {
    demands.forEach((demand) => table.recordDemand(demand, at * SWEEP_MS));
    table.sweep(at * SWEEP_MS, { isRecovering: true });
  }
  expect(table.targets.crowded()).toContain(crowded);
  expect(table.sequence).toBe(sequence);
});

describe("a region has few targets and many callers", () => {
  const OTHERS = homeTargets("south", 180);
  const demands = Array.from({ length: 200 }, (_, at) => demandFor(at * 7_919));

  function shareAtHome(): number {
    const home = new Set(TARGETS.map(({ hash }) => hash));
    const atHome = demands.filter(({ object }) =>
      home.has(homesOf(object)[0]!)
    );
    return atHome.length / demands.length;
  }

  beforeEach(() => {
    table.setTargets([...TARGETS, ...OTHERS]);
    table.targets.setVms(
      new Map([[NORTH, 10], ["south" as RegionId, 20]]),
    );
  });

  test("it gives homes there to the objects that its targets can bear", () => {
    play(10, demands);
    // A tenth of the targets for a third of the work, 1.3 times the mean at most.
    expect(shareAtHome()).toBeGreaterThan(0.3);
    expect(shareAtHome()).toBeLessThan(0.45);
  });

  test("it keeps its objects at home while others are as busy", () => {
    table.targets.setRemote(
      "south" as RegionId,
      OTHERS.map(({ hash }) => ({ target: hash, busySlots: 2.5 })),
      0,
    );
    table.targets.setRemote("south" as RegionId, [], 6_000);
    demands.slice(0, 100).forEach((demand) => table.recordDemand(demand, now));
    expect(
      demands.slice(0, 100).every(({ object }) =>
        TARGETS.some(({ hash }) => hash === homesOf(object)[0])
      ),
    ).toBe(true);
  });
});
