import { describe, expect, test } from "vitest";
import { DEPLOYMENTS } from "./deployment.ts";
import {
  type Bar,
  holds,
  type Pattern,
  type PatternContext,
} from "./pattern.ts";
import * as faults from "./patterns_fault.ts";
import * as loads from "./patterns_load.ts";
import * as shifts from "./patterns_shift.ts";

const deployment = DEPLOYMENTS["hlasovka"]!;
const ctx: PatternContext = {
  deployment,
  work: deployment.work.slice(0, 1),
  schemes: ["steering", "central"],
  alternatives: [],
  seed: 7,
  quick: true,
};

/** Simulated time costs processor time: far above what a run needs, also on a
 * busy VM. */
const TIMEOUT_MS = 60_000;

/** Bars that miss, for a pattern at its quick size. */
function missed(pattern: Pattern): Bar[] {
  const { bars } = pattern(ctx);
  expect(bars.length).toBeGreaterThan(1);
  return bars.filter((bar) => !holds(bar));
}

describe("what callers of the portal get", { timeout: TIMEOUT_MS }, () => {
  test("in a burst: nearly what a central queue gives", () => {
    expect(missed(loads.burst)).toEqual([]);
  });

  // One caller sends half of all requests, or three quarters. With one queue
  // for all, everyone else would wait behind it.
  test("beside one caller with most of the load: their usual times", () => {
    expect(missed(loads.fewCallers)).toEqual([]);
  });

  // A target takes ten times as long as the others and still answers.
  test("beside a slow target: their usual times", () => {
    expect(missed(faults.slowTarget)).toEqual([]);
  });

  test("with long work among short: nearly what a central queue gives", () => {
    expect(missed(loads.longAmongShort)).toEqual([]);
  });

  // Twice as much comes as can be served, for as long as it lasts.
  test("in saturation: full use of the slots, and the first class whole", () => {
    expect(missed(loads.saturation)).toEqual([]);
  });

  // A region dies at once, and its callers go to the others.
  test("after the loss of a region: all that the others can carry", () => {
    expect(missed(shifts.regionLoss)).toEqual([]);
  });

  test("during a planned drain: every answer", () => {
    expect(missed(shifts.plannedDrain)).toEqual([]);
  });
});

test("the same seed gives the same figures", () => {
  const rows = (): unknown => shifts.plannedDrain(ctx).rows;
  expect(rows()).toEqual(rows());
});
