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

function respond(steering: Steering, target: TargetId, options: {
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
  test("is the same for all VMs of a region, whatever the order of their target lists", () => {
    const targets = targetsIn("north", 8);
    const first = steeringIn("north", targets);
    const second = steeringIn("north", targets.toReversed());
    for (const object of OBJECTS) {
      expect(targetOf(place(first, object))).toBe(
        targetOf(place(second, object)),
      );
    }
  });

  test("moves only for objects whose home was the removed target", () => {
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

  test("keeps its requests while it is full, although other targets are idle", () => {
    // Ten VMs request the same objects, and their home targets are full for a
    // moment. If requests went to any idle target, each would take three times as
    // long there and evict another object from that target's cache. Soon all
    // targets would be full of requests on uncached objects, and callers would wait
    // for seconds at half load.
    const targets = targetsIn("north", 8);
    const steering = steeringIn("north", targets);
    const home = targetOf(place(steering, "draft"));
    for (let sent = 0; sent < 6; sent++) {
      steering.sent(home, 0);
    }
    expect(place(steering, "draft").kind).toBe("wait");
  });

  test("shares its requests with the same second target on all VMs when its queue is long", () => {
    const targets = targetsIn("north", 8);
    const steerings = [
      steeringIn("north", targets),
      steeringIn("north", targets.toReversed()),
    ];
    const helpers = steerings.map((steering) => {
      const home = targetOf(place(steering, "draft"));
      steering.sent(home, 0);
      respond(steering, home, { object: "draft", now: 100, waiting: 12 });
      return targetOf(place(steering, "draft", 101));
    });
    expect(helpers[0]).toBe(helpers[1]);
    expect(helpers[0]).not.toBe(
      targetOf(place(steerings[0]!, "draft", 60_000)),
    );
  });

  test("is in another region for objects that a small region has no capacity for", () => {
    // A third of the callers are in a region with two of twenty-two targets. If all
    // their objects had a home there, its targets would be the slowest and busiest
    // while others are idle.
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
  test("is home to fewer objects until the targets are usable again", () => {
    // A zone is evacuated. If the other targets of its region had to serve all of
    // the region's objects, requests would wait and be refused until the evacuation
    // ends, while targets of other regions are idle.
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

describe("a request without a target that has capacity", () => {
  test("is refused with Retry-After when half of its time has passed at the latest", () => {
    // The home target stays full longer than expected because more urgent requests
    // keep arriving. If the request were queued until its deadline and then
    // refused, its caller would have no time left for a retry.
    const steering = steeringIn("north", targetsIn("north", 1));
    const home = targetOf(place(steering, "draft"));
    for (let sent = 0; sent < 6; sent++) {
      steering.sent(home, 0);
    }
    const at = (now: number) =>
      steering.place(
        { ...requestFor("draft", { now: 0 }), deadlineAt: 2_000 },
        { now, ahead: 0 },
      );
    expect(at(10).kind).toBe("wait");
    const decision = at(990);
    expect(decision).toMatchObject({ kind: "refuse", reason: "overload" });
  });
});

describe("home shares of regions", () => {
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

describe("unusable targets", () => {
  test("receive nothing while their zone is evacuated, while leaving, or if the route excludes their region", () => {
    const steering = steeringIn("north", [
      targetIn("north", "n"),
      targetIn("south", "s"),
      { ...targetIn("north", "leaving"), isLeaving: true },
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
