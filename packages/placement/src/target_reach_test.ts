/**
 * When a VM concludes that it is cut off from all targets.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import {
  type ReachCheck,
  type ReachState,
  TargetReach,
} from "./target_reach.ts";

const KNOWN = 40;

interface Setup {
  readonly reach: TargetReach;
  readonly states: readonly ReachState[];
  /** Fails `count` targets at `now`. */
  fail(count: number, now: number): void;
  /** Gives all due checks this result; returns their number. */
  check(result: ReachCheck, now: number): number;
}

function setUp(known = KNOWN): Setup {
  const states: ReachState[] = [];
  const reach = new TargetReach((state) => states.push(state));
  return {
    reach,
    states,
    fail: (count, now) => {
      for (let index = 0; index < count; index++) {
        reach.failed(`t-${index}` as TargetId, { now, known });
      }
    },
    check: (result, now) => {
      const due = reach.takeDueChecks(now);
      for (let index = 0; index < due; index++) {
        reach.checked(result);
      }
      return due;
    },
  };
}

test("a VM whose targets all refuse connections is cut off once the checked ones failed", () => {
  const { fail, check, reach, states } = setUp();
  fail(3, 100);
  expect(reach.isCutOff).toBe(false);
  expect(check("failed", 100)).toBe(4);
  expect(states).toEqual(["in-doubt", "cut-off"]);
});

test("two failed targets raise no doubt", () => {
  const { fail, check } = setUp();
  fail(2, 100);
  expect(check("failed", 100)).toBe(0);
});

test("a VM that notices one failure a second has doubts after the third", () => {
  const { reach, states } = setUp();
  for (let index = 0; index < 3; index++) {
    expect(states).toEqual([]);
    reach.failed(`t-${index}` as TargetId, {
      now: index * 1_000,
      known: KNOWN,
    });
  }
  expect(states).toEqual(["in-doubt"]);
});

test("targets that fail many seconds apart raise no doubt", () => {
  const { reach, states } = setUp();
  for (let index = 0; index < 10; index++) {
    reach.failed(`t-${index}` as TargetId, {
      now: index * 3_000,
      known: KNOWN,
    });
  }
  expect(states).toEqual([]);
});

test("a VM with a single target can be cut off", () => {
  const { fail, check, reach } = setUp(1);
  fail(1, 100);
  check("failed", 100);
  expect(reach.isCutOff).toBe(true);
});

test("a lost zone does not make a VM look cut off: one checked target responds", () => {
  const { fail, reach, states } = setUp();
  fail(5, 100);
  expect(reach.takeDueChecks(100)).toBe(4);
  reach.checked("failed");
  reach.checked("responded");
  reach.checked("failed");
  reach.checked("failed");
  expect(states).toEqual(["in-doubt", "reached"]);
});

test("connections that live on while new ones are refused do not hide the cut", () => {
  const { fail, check, reach } = setUp();
  fail(3, 100);
  reach.responded(101);
  check("failed", 102);
  reach.responded(103);
  expect(reach.isCutOff).toBe(true);
});

test("checks that time out at busy targets prove nothing while other responses arrive", () => {
  const { fail, reach, states } = setUp();
  fail(3, 100);
  reach.takeDueChecks(100);
  reach.responded(400);
  for (let index = 0; index < 4; index++) {
    reach.checked("timed-out");
  }
  expect(states).toEqual(["in-doubt", "reached"]);
});

test("a VM that is too busy to tell does not count as cut off", () => {
  const { fail, check, states } = setUp();
  fail(3, 100);
  check("unknown", 100);
  expect(states).toEqual(["in-doubt", "reached"]);
});

test("a VM that is cut off checks again at intervals until a target responds", () => {
  const { fail, check, states } = setUp();
  fail(3, 100);
  check("failed", 100);
  expect(check("failed", 300)).toBe(0);
  expect(check("failed", 600)).toBe(2);
  expect(check("unknown", 1_100)).toBe(2);
  expect(check("responded", 1_600)).toBe(2);
  expect(states).toEqual(["in-doubt", "cut-off", "reached"]);
});

test("a VM that is cut off loses requests until a target responds", () => {
  // Guards against requests that are sent over links that are known to be lost.
  const { fail, check, reach } = setUp();
  reach.responded(90);
  fail(3, 100);
  expect(reach.losesRequests(100)).toBe(false);
  check("failed", 100);
  expect(reach.losesRequests(110)).toBe(true);
  check("responded", 700);
  expect(reach.losesRequests(710)).toBe(false);
});

test("a VM that is cut off uses the connections that were open before while targets respond on them", () => {
  // Guards against refusals while targets only accept no further connections.
  const { fail, check, reach } = setUp();
  fail(3, 100);
  check("failed", 100);
  reach.responded(200);
  expect(reach.isCutOff).toBe(true);
  expect(reach.losesRequests(300)).toBe(false);
  expect(reach.losesRequests(1_300)).toBe(true);
});

test("failed probes raise doubt while no target responds", () => {
  // Guards against a VM that was too busy to check its links when it lost them, and that sends nothing since.
  const { fail, check, reach, states } = setUp();
  reach.responded(50);
  fail(3, 100);
  check("unknown", 100);
  expect(states).toEqual(["in-doubt", "reached"]);
  const failProbes = (now: number) =>
    ["t-1", "t-2", "t-3"].forEach((id) =>
      reach.probeFailed(id as TargetId, { now, known: KNOWN })
    );
  failProbes(1_000);
  expect(reach.state).toBe("reached");
  failProbes(2_500);
  expect(reach.state).toBe("in-doubt");
  check("failed", 2_500);
  expect(reach.isCutOff).toBe(true);
});
