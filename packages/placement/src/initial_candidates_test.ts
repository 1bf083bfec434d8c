/**
 * Comparing the most likely targets first gives the same choice as comparing all of
 * them.
 *
 * @module
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { RegionId, TargetId, VmId, ZoneId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type { PlacementDecision } from "./placement.ts";
import { Steering } from "./steering.ts";
import { SERVICE, targetsIn } from "./testing.ts";

const TARGETS = [...targetsIn("north", 9), ...targetsIn("south", 9)];
/** Time between steps. */
const STEP_MS = 40;
/** Response time of a request. */
const RESPONSE_MS = 300;

function steering(initialCandidates?: number): Steering {
  const one = new Steering({
    vm: "vm-north" as VmId,
    location: { region: "north" as RegionId, zone: "north-1" as ZoneId },
    retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
    ...(initialCandidates === undefined ? {} : { initialCandidates }),
  });
  one.setVms(["north", "south"].map((name) => ({
    vm: `vm-${name}` as VmId,
    region: name as RegionId,
    hash: hashText(name),
  })));
  TARGETS.forEach((target) => one.setTarget(target));
  return one;
}

type Step =
  | { readonly kind: "answered"; readonly waiting: number }
  /** No connection to the chosen target can be established. */
  | { readonly kind: "lost" }
  /** All targets respond to their probes. */
  | { readonly kind: "back" };

const steps = fc.array(
  fc.oneof(
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant("answered" as const),
        waiting: fc.constantFrom(0, 2, 60, 400),
      }),
    },
    { weight: 6, arbitrary: fc.constant({ kind: "lost" as const }) },
    { weight: 1, arbitrary: fc.constant({ kind: "back" as const }) },
  ),
  { minLength: 30, maxLength: 120 },
);

const LOST: Step = { kind: "lost" };
const BACK: Step = { kind: "back" };

function answered(waiting: number): Step {
  return { kind: "answered", waiting };
}

function times(count: number, step: Step): readonly Step[] {
  return Array.from({ length: count }, () => step);
}

function decide(one: Steering, now: number): PlacementDecision {
  return one.place({
    service: SERVICE,
    kind: "view",
    priority: 0,
    object: 1,
    regions: [],
    arrivedAt: now,
    deadlineAt: now + 60_000,
    tried: new Set(),
  }, { now, ahead: 0 });
}

function apply(
  one: Steering,
  step: Step,
  { target, now }: { target: TargetId; now: number },
): void {
  switch (step.kind) {
    case "lost":
      one.markUnreachable(target, now);
      return;
    case "back":
      TARGETS.forEach(({ id }) => one.probeSucceeded(id, { now, coldMs: 0 }));
      return;
    case "answered":
      one.sent(target, now);
      one.written(target, now);
      one.ended(target, {
        kind: "answered",
        failed: false,
        object: 1,
        requestKind: "view",
        warmth: "unknown",
        load: { running: 3, waiting: step.waiting, slots: 3 },
      }, { now: now + RESPONSE_MS, writtenAt: now });
      return;
  }
}

/**
 * Two targets after the ninth are warm and have the same cost. A VM that compared
 * them in the order in which it used them would choose another one than its peers,
 * and both targets would be kept warm where one suffices.
 */
const TIED: readonly Step[] = [
  ...times(2, LOST),
  ...times(1, answered(400)),
  ...times(7, LOST),
  ...times(1, answered(0)),
  ...times(1, BACK),
  ...times(9, LOST),
  ...times(1, answered(0)),
  ...times(3, LOST),
  ...times(1, answered(0)),
  ...times(1, BACK),
  ...times(1, LOST),
  ...times(1, BACK),
  ...times(5, LOST),
  ...times(1, answered(2)),
  ...times(1, answered(0)),
  ...times(4, LOST),
  ...times(1, answered(60)),
  ...times(2, LOST),
  ...times(1, BACK),
  ...times(2, LOST),
  ...times(1, answered(0)),
  ...times(1, LOST),
  ...times(1, answered(0)),
  ...times(1, LOST),
  ...times(1, answered(0)),
  ...times(2, LOST),
];

test("chooses as if all targets were compared, whichever are full, lost or warm", () => {
  fc.assert(
    fc.property(steps, (steps) => {
      const both = [steering(), steering(Infinity)];
      steps.forEach((step, at) => {
        const now = at * STEP_MS;
        const [decision, reference] = both.map((one) => decide(one, now));
        expect(decision).toEqual(reference);
        const target = decision?.kind === "send"
          ? decision.target
          : TARGETS[0]!.id;
        both.forEach((one) => apply(one, step, { target, now }));
      });
    }),
    { numRuns: 400, examples: [[[...TIED]]] },
  );
});
