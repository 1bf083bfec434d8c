import { expect, test } from "vitest";
import { hashText } from "./hash.ts";
import type { PlacementDecision } from "./placement.ts";
import { requestFor, steeringIn, targetOf, targetsIn } from "./testing.ts";

const RUN_MS = 100;

/** Decisions on requests for one object whose home reports `load` in each response. */
function decisionsWith(load: { readonly pace?: number }): PlacementDecision[] {
  const steering = steeringIn("north", targetsIn("north", 8));
  let now = 0;
  return Array.from({ length: 40 }, () => {
    const request = requestFor("object", { now });
    const decision = steering.place(request, { now, ahead: 0 });
    const target = targetOf(decision);
    steering.sent(target, now);
    steering.ended(target, {
      kind: "answered",
      failed: false,
      object: hashText("object"),
      load: { running: 3, waiting: 0, slots: 3, ...load },
      requestKind: request.kind,
      warmth: "warm",
    }, { now: now + RUN_MS, writtenAt: now });
    now += RUN_MS;
    return decision;
  });
}

// Guards against other placements for services that have no homes by load.
test("the pace that a target reports is not weighed without homes by load", () => {
  expect(decisionsWith({ pace: 4 })).toEqual(decisionsWith({}));
});
