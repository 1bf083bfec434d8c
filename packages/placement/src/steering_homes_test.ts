/**
 * Placement of requests whose objects have assigned homes.
 *
 * @module
 */

import { beforeEach, expect, test, vi } from "vitest";
import type { RegionId, TargetId, VmId, ZoneId } from "@poplarthread/ids";
import type { HomesLookup, HomeSource } from "./homes/home_source.ts";
import { Steering } from "./steering.ts";
import { requestFor, targetsIn } from "./testing.ts";

const TARGETS = targetsIn("north", 12);
const HOME = TARGETS[7]!;
const SECOND_HOME = TARGETS[9]!;

let lookup: HomesLookup;
let steering: Steering;
const source = {
  lookUp: () => lookup,
  has: () => true,
  requestAnother: vi.fn(),
  recordDemand: vi.fn(),
  recordResponse: vi.fn(),
  recordRefusal: vi.fn(),
} satisfies HomeSource;

function assigned(...homes: readonly { readonly hash: number }[]): HomesLookup {
  return { kind: "assigned", targets: homes.map(({ hash }) => hash) };
}

function place(now: number) {
  return steering.place(requestFor("o", { now }), { now, ahead: 0 });
}

/** A request is answered by a target, where `waiting` others then wait. */
function answered(id: TargetId, now: number, waiting = 0): void {
  steering.sent(id, now - 100);
  steering.written(id, now - 100);
  steering.ended(id, {
    kind: "answered",
    failed: false,
    object: requestFor("o", { now }).object,
    load: { running: waiting > 0 ? 3 : 0, waiting, slots: 3 },
    requestKind: "view",
    warmth: "unknown",
  }, { now, writtenAt: now - 100 });
}

beforeEach(() => {
  vi.clearAllMocks();
  steering = new Steering({
    vm: "vm-north" as VmId,
    location: { region: "north" as RegionId, zone: "north-1" as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
    homes: source,
  });
  TARGETS.forEach((target) => steering.setTarget(target));
});

test("a request goes to the assigned home, whatever its rendezvous order", () => {
  lookup = assigned(HOME, SECOND_HOME);
  expect(place(0)).toMatchObject({ target: HOME.id, via: "home" });
});

test("a busy home is passed over for a warm one", () => {
  lookup = assigned(HOME, SECOND_HOME);
  answered(HOME.id, 1_000, 1);
  answered(SECOND_HOME.id, 1_000);
  expect(place(1_000)).toMatchObject({
    target: SECOND_HOME.id,
    via: "second-home",
  });
});

// Guards against a refusal for overload while the owner is asked.
test("a request waits for the owner's answer, and no longer", () => {
  lookup = { kind: "pending", until: 1_015 };
  expect(place(1_000)).toEqual({ kind: "wait", for: "homes" });
  expect(place(1_015)).toMatchObject({ kind: "send", via: "unassigned" });
});

// Guards against cold runs side by side for one object.
test("a request waits while another VM's warms the home, but not for long", () => {
  lookup = {
    kind: "assigned",
    targets: [HOME.hash],
    askedElsewhereAt: 1_000,
  };
  expect(place(1_600)).toEqual({ kind: "wait", for: "homes" });
  expect(place(5_000)).toMatchObject({ target: HOME.id });
  steering.addWarmPair({
    object: requestFor("o", { now: 0 }).object!,
    target: HOME.hash,
  }, 1_600);
  expect(place(1_600)).toMatchObject({ target: HOME.id });
});

test("a request does not wait for a run that has just begun: its own ends sooner", () => {
  lookup = {
    kind: "assigned",
    targets: [HOME.hash],
    askedElsewhereAt: 1_000,
  };
  expect(place(1_100)).toMatchObject({ target: HOME.id });
});

// Guards against homes added because cold runs make all of them look busy.
test("one more home is asked for only when all are warm and busy", () => {
  lookup = assigned(HOME);
  answered(HOME.id, 1_000, 9);
  place(1_000);
  expect(source.requestAnother).toHaveBeenCalledTimes(1);
  lookup = assigned(HOME, SECOND_HOME);
  place(1_000);
  expect(source.requestAnother).toHaveBeenCalledTimes(1);
});

test("loads that other VMs observed count as its own", () => {
  lookup = assigned(HOME, SECOND_HOME);
  answered(HOME.id, 1_000);
  answered(SECOND_HOME.id, 1_000);
  const loads = [{ target: HOME.hash, requests: 4, pace: undefined }];
  steering.recordPeerLoads(loads, 1_000);
  expect(place(1_000)).toMatchObject({ target: SECOND_HOME.id });
});

test("of two warm homes the one on a machine at the usual pace is used", () => {
  lookup = assigned(HOME, SECOND_HOME);
  answered(HOME.id, 1_000);
  answered(SECOND_HOME.id, 1_000);
  const loads = [{ target: HOME.hash, requests: 0, pace: 2.5 }];
  steering.recordPeerLoads(loads, 1_000);
  expect(place(1_000)).toMatchObject({ target: SECOND_HOME.id });
});
