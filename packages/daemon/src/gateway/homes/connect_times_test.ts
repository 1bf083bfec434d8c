/**
 * Requests that have no time to connect first.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { ServiceId } from "@poplarthread/ids";
import type { Route } from "../configuration.ts";
import { ConnectTimes } from "./connect_times.ts";

const WARM_MS = 260;

function routeTo(service: string, latencyObjectiveMs: number): Route {
  return {
    name: `to-${service}`,
    latencyObjectiveMs,
    split: [{ service: service as ServiceId, weight: 1 }],
  } as unknown as Route;
}

function exceeds(roundTripMs: number, ...routes: readonly Route[]): boolean {
  const times = new ConnectTimes(() => WARM_MS);
  times.setRoutes(routes);
  return times.exceedsObjective("portal" as ServiceId, roundTripMs);
}

test("a short objective leaves no time to connect to another region", () => {
  expect(exceeds(110, routeTo("portal", 500))).toBe(true);
});

test("near targets and long objectives need no open connection", () => {
  expect(exceeds(3, routeTo("portal", 500))).toBe(false);
  expect(exceeds(110, routeTo("portal", 800))).toBe(false);
});

test("the shortest objective of the service's routes counts, no other service's", () => {
  const long = routeTo("portal", 2_000);
  expect(exceeds(110, long, routeTo("docket", 500))).toBe(false);
  expect(exceeds(110, long, routeTo("portal", 500))).toBe(true);
});
