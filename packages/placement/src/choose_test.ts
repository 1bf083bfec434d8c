/**
 * How placement spreads objects over targets.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { RegionId, TargetId, ZoneId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import { homeShares } from "./home_shares.ts";
import type { PlacementDecision } from "./placement.ts";
import type { Steering } from "./steering.ts";
import {
  requestFor,
  steeringIn,
  targetIn,
  targetOf,
  targetsIn,
} from "./testing.ts";

function place(steering: Steering, object: string, now = 0): PlacementDecision {
  return steering.place(requestFor(object, { now }), { now, ahead: 0 });
}

function answer(steering: Steering, target: TargetId, options: {
  object: string;
  now: number;
  waiting?: number;
}): void {
  const { object, now, waiting = 0 } = options;
  steering.ended(target, {
    kind: "answered",
    failed: false,
    object: hashText(object),
    requestKind: "view",
    warmth: "unknown",
    load: { running: 1, waiting, slots: 3 },
  }, { now, writtenAt: now - 100 });
}

const OBJECTS = Array.from({ length: 40 }, (_, at) => `object ${at}`);

describe("the home of an object", () => {
  test("is the same for all VMs of a region, in any order of their lists", () => {
    const targets = targetsIn("north", 8);
    const first = steeringIn("north", targets);
    const second = steeringIn("north", targets.toReversed());
    for (const object of OBJECTS) {
      expect(targetOf(place(first, object))).toBe(
        targetOf(place(second, object)),
      );
    }
  });

  test("moves for few objects when a target goes", () => {
    const targets = targetsIn("north", 8);
    const before = steeringIn("north", targets);
    const after = steeringIn("north", targets.slice(1));
    const moved = OBJECTS.filter((object) =>
      targetOf(place(before, object)) !== targetOf(place(after, object))
    );
    const lost = OBJECTS.filter((object) =>
      targetOf(place(before, object)) === targets[0]!.id
    );
    expect(moved).toEqual(lost);
  });

  test("keeps its requests while it is full, though others stand idle", () => {
    // Ten VMs ask for the same objects and their homes fill for a moment. Sent to
    // any idle target, each request would run three times as long there and make
    // that target forget another object: soon all targets are cold and full, and
    // callers wait for seconds at a load that half of the slots could carry.
    const targets = targetsIn("north", 8);
    const steering = steeringIn("north", targets);
    const home = targetOf(place(steering, "draft"));
    for (let sent = 0; sent < 6; sent++) {
      steering.sent(home, 0);
    }
    expect(place(steering, "draft").kind).toBe("wait");
  });

  test("is helped out by one agreed target when its queue is long", () => {
    const targets = targetsIn("north", 8);
    const steerings = [
      steeringIn("north", targets),
      steeringIn("north", targets.toReversed()),
    ];
    const helpers = steerings.map((steering) => {
      const home = targetOf(place(steering, "draft"));
      steering.sent(home, 0);
      answer(steering, home, { object: "draft", now: 100, waiting: 12 });
      return targetOf(place(steering, "draft", 101));
    });
    expect(helpers[0]).toBe(helpers[1]);
    expect(helpers[0]).not.toBe(
      targetOf(place(steerings[0]!, "draft", 60_000)),
    );
  });

  test("lies in another region for what a small region has no room for", () => {
    // A third of the callers live in a region with two of twenty-two targets. If
    // all their objects had a home there, its targets would be the slowest and
    // the fullest while others stand idle.
    const targets = [...targetsIn("north", 20), ...targetsIn("south", 2)];
    const steering = steeringIn("south", targets);
    const local = OBJECTS.filter((object) =>
      targetOf(place(steering, object)).startsWith("south")
    );
    expect(local.length).toBeGreaterThan(0);
    expect(local.length).toBeLessThan(OBJECTS.length / 2);
  });
});

describe("a region that loses half of its targets", () => {
  test("is home to fewer objects until it has them back", () => {
    // A zone is evacuated. If the rest of its region had to serve all of the region's
    // objects, its requests would wait and be refused for as long as that lasts, while
    // targets of other regions stand idle.
    const targets = [
      ...targetsIn("north", 8),
      ...targetsIn("south", 4),
      ...targetsIn("south", 4).map((target) => ({
        ...target,
        id: `b-${target.id}` as TargetId,
        hash: hashText(`b-${target.id}`),
        zone: "south-2" as ZoneId,
      })),
    ];
    const steering = steeringIn("south", targets);
    const local = () =>
      OBJECTS.filter((object) =>
        targetOf(place(steering, object)).includes("south")
      ).length;
    expect(local()).toBe(OBJECTS.length);
    steering.setEvacuated(new Set(["south-2"]));
    const kept = local();
    expect(kept).toBeLessThan(OBJECTS.length);
    expect(kept).toBeGreaterThan(OBJECTS.length / 2);
    steering.setEvacuated(new Set());
    expect(local()).toBe(OBJECTS.length);
  });
});

describe("a request that finds no room", () => {
  test("is told to come back at half of its time at the latest", () => {
    // Its home stays full longer than expected, since more urgent requests keep
    // coming. Held to the end of its time, it is refused when its caller has none
    // left to try again.
    const steering = steeringIn("north", targetsIn("north", 1));
    const home = targetOf(place(steering, "draft"));
    for (let sent = 0; sent < 6; sent++) {
      steering.sent(home, 0);
    }
    const at = (now: number) =>
      steering.place(
        { ...requestFor("draft", { now: 0 }), answerBy: 2_000 },
        { now, ahead: 0 },
      );
    expect(at(10).kind).toBe("wait");
    const decision = at(990);
    expect(decision).toMatchObject({ kind: "refuse", reason: "overload" });
  });
});

describe("shares of regions", () => {
  test("make the targets of all regions equally busy", () => {
    const regions = (values: Record<string, number>) =>
      new Map(Object.entries(values) as [RegionId, number][]);
    expect(homeShares({
      slots: regions({ north: 36, south: 30, east: 6 }),
      vms: regions({ north: 3, south: 3, east: 3 }),
    })).toMatchInlineSnapshot(`
      Map {
        "north" => 1,
        "south" => 1,
        "east" => 0.25,
      }
    `);
  });
});

describe("targets that must not be used", () => {
  test("get nothing while their zone is evacuated, they leave, or no route allows them", () => {
    const steering = steeringIn("north", [
      targetIn("north", "n"),
      targetIn("south", "s"),
      { ...targetIn("north", "leaving"), leaving: true },
    ]);
    steering.setEvacuated(new Set(["north-1"]));
    expect(targetOf(place(steering, "a"))).toBe("s");
    const decision = steering.place({
      ...requestFor("a", { now: 0 }),
      object: undefined,
      regions: ["north" as RegionId],
    }, { now: 0, ahead: 0 });
    expect(decision).toMatchObject({ kind: "refuse", reason: "no-target" });
  });
});
