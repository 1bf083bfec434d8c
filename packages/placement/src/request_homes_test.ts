/**
 * Placing requests whose objects have assigned homes.
 *
 * @module
 */

import { beforeEach, expect, test } from "vitest";
import type { RegionId, TargetId, VmId, ZoneId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type {
  HomeRequest,
  HomesLookup,
  HomeSource,
} from "./homes/home_source.ts";
import type { PlacementDecision, PlacementRequest } from "./placement.ts";
import { Steering } from "./steering.ts";
import { requestFor, SERVICE, targetsIn } from "./testing.ts";

const TARGETS = targetsIn("north", 8);
const OBJECT = "object";
/** In rendezvous order the object prefers others. */
const [HOME, SECOND, OTHER] = ["north-0", "north-1", "north-2"] as const;

/** Homes as set by the test; records what it is asked for. */
class FakeSource implements HomeSource {
  lookup: HomesLookup = { kind: "unassigned" };
  readonly demand: [HomeRequest, number][] = [];
  readonly refusedPriorities: number[] = [];
  requestedMore = 0;

  has = () => true;
  lookUp = () => this.lookup;
  requestAnother = () => void (this.requestedMore += 1);
  recordDemand = (request: HomeRequest, priority: number) =>
    void this.demand.push([request, priority]);
  recordResponse = () => {};
  recordRefusal = (_service: string, priority: number) =>
    void this.refusedPriorities.push(priority);
}

let source: FakeSource;
let steering: Steering;

beforeEach(() => {
  source = new FakeSource();
  steering = new Steering({
    vm: "vm-north" as VmId,
    location: { region: "north" as RegionId, zone: "north-1" as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
    homes: source,
  });
  const hash = hashText("vm-north");
  steering.setVms([{
    vm: "vm-north" as VmId,
    region: "north" as RegionId,
    hash,
  }]);
  TARGETS.forEach((target) => steering.setTarget(target));
});

function assign(...names: string[]): void {
  source.lookup = { kind: "assigned", targets: names.map(hashText) };
}

function place(
  overrides: Partial<PlacementRequest> = {},
  now = 0,
): PlacementDecision {
  const request = { ...requestFor(OBJECT, { now }), ...overrides };
  return steering.place(request, { now, ahead: 0 });
}

/** Target and how it was chosen, or why the request waits. */
function outcome(decision: PlacementDecision): readonly unknown[] {
  switch (decision.kind) {
    case "send":
      return [decision.target, decision.via];
    case "wait":
      return ["wait", decision.for];
    default:
      return [decision.kind];
  }
}

/** Requests keep all slots of a target busy, and others wait for them. */
function fill(name: string): void {
  for (let at = 0; at < 60; at++) {
    steering.sent(name as TargetId, 0);
  }
}

/** A target has just handled a request for the object. */
function warm(name: string, now: number): void {
  steering.sent(name as TargetId, 0);
  steering.ended(name as TargetId, {
    kind: "answered",
    failed: false,
    object: hashText(OBJECT),
    load: undefined,
    requestKind: "view",
    warmth: "warm",
  }, { now, writtenAt: 0 });
}

test("a request goes to the preferred home, whichever target that is", () => {
  for (const { id } of TARGETS) {
    assign(id, SECOND);
    expect(outcome(place())).toEqual([id, "home"]);
  }
});

test("a request goes to another home while the preferred one is busy", () => {
  assign(HOME, SECOND);
  fill(HOME);
  expect(outcome(place())).toEqual([SECOND, "second-home"]);
  expect(source.requestedMore).toBe(0);
});

test("a home that has the object cached comes before the preferred one that hasn't", () => {
  assign(HOME, SECOND);
  warm(SECOND, 10);
  expect(outcome(place({}, 10))).toEqual([SECOND, "second-home"]);
});

test("a request goes elsewhere while all homes are busy, and another home is asked for", () => {
  assign(HOME, SECOND);
  [HOME, SECOND].forEach((name) => warm(name, 10));
  [HOME, SECOND].forEach(fill);
  const [target, via] = outcome(place({}, 10));
  expect(via).toBe("other");
  expect([HOME, SECOND]).not.toContain(target);
  expect(source.requestedMore).toBe(1);
});

test("no further home is asked for while one is still to be warmed", () => {
  assign(HOME, SECOND);
  warm(HOME, 10);
  [HOME, SECOND].forEach(fill);
  expect(outcome(place({}, 10))[1]).toBe("other");
  expect(source.requestedMore).toBe(0);
});

test("a home that was tried is not used, and another one is not asked for because of it", () => {
  assign(HOME);
  const tried = new Set([HOME as TargetId]);
  expect(outcome(place({ tried }))[1]).toBe("other");
  expect(source.requestedMore).toBe(0);
});

test("a home that is gone, leaving or of another service is not used", () => {
  assign("gone", HOME, SECOND, OTHER);
  steering.setTarget({ ...TARGETS[0]!, isLeaving: true });
  const service = "shop" as typeof SERVICE;
  steering.setTarget({ ...TARGETS[1]!, service });
  expect(outcome(place())[0]).toBe(OTHER);
});

test("a request waits for homes no longer than until the answer is due", () => {
  source.lookup = { kind: "pending", until: 15 };
  expect(outcome(place({}, 14))).toEqual(["wait", "homes"]);
  expect(outcome(place({}, 15))[1]).toBe("unassigned");
});

test("a request without an object uses no homes", () => {
  source.lookup = { kind: "pending", until: 15 };
  const request = { object: undefined };
  expect(place(request)).toMatchObject({ kind: "send", via: undefined });
  steering.admitted({ ...requestFor(OBJECT, { now: 0 }), ...request });
  expect(source.demand).toEqual([]);
});

test("demand is recorded with the object and its priority", () => {
  steering.admitted({ ...requestFor(OBJECT, { now: 0 }), priority: 2 });
  expect(source.demand).toEqual([[
    { service: SERVICE, object: hashText(OBJECT), workMs: expect.any(Number) },
    2,
  ]]);
});
