/**
 * Placement of short and long requests on shared targets, and when a target counts
 * as full.
 *
 * @module
 */

import { beforeEach, describe, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type { PlacementDecision, Warmth } from "./placement.ts";
import type { Steering } from "./steering.ts";
import { requestFor, steeringIn, targetOf, targetsIn } from "./testing.ts";

/** Times of a short and a long kind with and without the object cached. */
const TIMES_MS = {
  short: { warm: 43, unwarmed: 144 },
  long: { warm: 264, unwarmed: 880 },
} as const;
type Kind = keyof typeof TIMES_MS;

let steering: Steering;
let now: number;

beforeEach(() => {
  steering = steeringIn("north", targetsIn("north", 8));
  now = 0;
});

function place(kind: Kind, object: string): PlacementDecision {
  return steering.place(requestFor(object, { now, kind }), { now, ahead: 0 });
}

/** Simulates a target's response; `waiting` other requests wait there. */
function respond(target: TargetId, options: {
  kind: Kind;
  object: string;
  warmth: Exclude<Warmth, "unknown">;
  waiting?: number;
}): void {
  const { kind, object, warmth, waiting = 0 } = options;
  const writtenAt = now;
  steering.sent(target, writtenAt);
  now += TIMES_MS[kind][warmth];
  steering.ended(target, {
    kind: "answered",
    failed: false,
    object: hashText(object),
    load: { running: waiting > 0 ? 3 : 0, waiting, slots: 3 },
    requestKind: kind,
    warmth,
  }, { now, writtenAt });
}

function learnTimes(): void {
  for (let round = 0; round < 20; round++) {
    for (const kind of ["short", "long"] as const) {
      const object = `${kind} object`;
      const home = targetOf(place(kind, object));
      respond(home, { kind, object, warmth: "warm" });
      respond(home, { kind, object, warmth: "unwarmed" });
    }
  }
}

describe("two kinds that share targets", () => {
  // A short and a long kind have their homes on targets with a long queue. The
  // short request completes elsewhere before a slot at home would be free, at the
  // cost of 100 ms of a slot; the long one would occupy a slot for 600 ms longer.
  // With the same cost for both kinds, the short request would wait and its
  // response be late.
  test("leave a full home target depending on the cost for their kind", () => {
    learnTimes();
    const homes = { short: "", long: "" };
    for (const kind of ["short", "long"] as const) {
      const object = `${kind} object`;
      const home = targetOf(place(kind, object));
      homes[kind] = home;
      respond(home, { kind, object, warmth: "warm", waiting: 3 });
    }
    expect(targetOf(place("short", "short object"))).not.toBe(homes.short);
    expect(place("long", "long object")).not.toMatchObject({
      kind: "send",
      target: expect.not.stringMatching(homes.long),
    });
  });
});

describe("a target", () => {
  // Another VM's requests were at the target when it last responded. The estimate
  // from that report decays to a hundredth of a request, but never to zero. If that
  // occupied the last place, requests would wait beside a free one.
  test("has capacity when the reported load of other VMs has decayed", () => {
    const home = targetOf(place("short", "draft"));
    respond(home, {
      kind: "short",
      object: "draft",
      warmth: "warm",
      waiting: 1,
    });
    now += 7_000;
    for (let sent = 0; sent < 4; sent++) {
      steering.sent(home, now);
    }
    expect(place("short", "draft")).toMatchObject({
      kind: "send",
      target: home,
    });
  });

  test("has no capacity for a sixth request on three slots", () => {
    const home = targetOf(place("short", "draft"));
    for (let sent = 0; sent < 5; sent++) {
      steering.sent(home, now);
    }
    expect(place("short", "draft").kind).toBe("wait");
  });
});
