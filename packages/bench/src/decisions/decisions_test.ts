import { describe, expect, test } from "vitest";
import { DEPLOYMENTS } from "./deployment.ts";
import {
  type Check,
  passes,
  type Pattern,
  type PatternContext,
} from "./pattern.ts";
import * as faults from "./patterns_fault.ts";
import * as loads from "./patterns_load.ts";
import * as shifts from "./patterns_shift.ts";

const deployment = DEPLOYMENTS["hlasovka"]!;
const ctx: PatternContext = {
  deployment,
  workloads: deployment.workloads.slice(0, 1),
  schemes: ["steering", "central"],
  alternatives: [],
  seed: 7,
  quick: true,
};

/** Simulating takes processor time; this is far above what a run needs, even on
 * a busy VM. */
const TIMEOUT_MS = 60_000;

/** Checks that a pattern fails in a quick run. */
function failedChecks(pattern: Pattern): Check[] {
  const { checks } = pattern(ctx);
  expect(checks.length).toBeGreaterThan(1);
  return checks.filter((check) => !passes(check));
}

describe("service to callers of the portal", { timeout: TIMEOUT_MS }, () => {
  test("in a burst: p99 and goodput close to a central queue", () => {
    expect(failedChecks(loads.burst)).toEqual([]);
  });

  // One caller sends half or three quarters of all requests. With a single
  // shared queue, all other callers would wait behind its requests.
  test("beside one dominant caller: the others keep their p99", () => {
    expect(failedChecks(loads.hotCaller)).toEqual([]);
  });

  // One target takes ten times as long as the others but still responds.
  test("beside a slow target: requests at the others keep their p99", () => {
    expect(failedChecks(faults.slowTarget)).toEqual([]);
  });

  test("with some long requests: p99 and goodput close to a central queue", () => {
    expect(failedChecks(loads.longAmongShort)).toEqual([]);
  });

  // Twice the load that can be served, for the full run.
  test("in saturation: goodput close to a central queue, also of the top class", () => {
    expect(failedChecks(loads.saturation)).toEqual([]);
  });

  // A region fails at once, and its callers use the remaining regions.
  test("after the loss of a region: full use of the others, no overload", () => {
    expect(failedChecks(shifts.regionLoss)).toEqual([]);
  });

  test("during a planned drain: no request is cut or refused", () => {
    expect(failedChecks(shifts.plannedDrain)).toEqual([]);
  });
});

test("the same seed gives the same rows", () => {
  const rows = (): unknown => shifts.plannedDrain(ctx).rows;
  expect(rows()).toEqual(rows());
});
