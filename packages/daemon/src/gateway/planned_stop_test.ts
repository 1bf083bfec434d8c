/**
 * Which requests a VM that stops still sends to targets.
 *
 * @module
 */

import { expect, test } from "vitest";
import { PlannedStop } from "./planned_stop.ts";

const STOP_MS = 6_000;
const BEGUN_AT = 10_000;

function begunStop(stopMs = STOP_MS): PlannedStop {
  const stop = new PlannedStop(stopMs);
  stop.begin(BEGUN_AT);
  return stop;
}

test("a VM that does not stop refuses nothing", () => {
  const stop = new PlannedStop(STOP_MS);
  expect(stop.hasBegun).toBe(false);
  expect(stop.refuses(Infinity, 1e9)).toBe(false);
});

test("requests are served while callers may have a look-up response that names the VM", () => {
  const stop = begunStop();
  expect(stop.hasBegun).toBe(true);
  expect(stop.refuses(BEGUN_AT + 60_000, BEGUN_AT + 2_999)).toBe(false);
  expect(stop.acceptMs).toBe(3_200);
});

test("afterwards a request is refused if it may end after the cut", () => {
  const stop = begunStop();
  const now = BEGUN_AT + 3_000;
  expect(stop.cutsAt).toBe(BEGUN_AT + 5_500);
  expect(stop.refuses(stop.cutsAt, now)).toBe(false);
  expect(stop.refuses(stop.cutsAt + 1, now)).toBe(true);
});

test("a stop shorter than the life of look-up responses refuses requests at its end", () => {
  const stop = begunStop(1_000);
  expect(stop.acceptMs).toBe(500);
  expect(stop.refuses(BEGUN_AT + 2_000, BEGUN_AT + 499)).toBe(false);
  expect(stop.refuses(BEGUN_AT + 2_000, BEGUN_AT + 500)).toBe(true);
});

test("a stop that is noticed late counts from when the order can have come", () => {
  // Else it refuses too late what it may cut, and is killed before it delivers what is ready.
  const stop = new PlannedStop(STOP_MS);
  stop.begin(BEGUN_AT, BEGUN_AT - 400);
  expect(stop.refuses(Infinity, BEGUN_AT + 2_599)).toBe(false);
  expect(stop.refuses(Infinity, BEGUN_AT + 2_600)).toBe(true);
  expect(stop.cutsAt).toBe(BEGUN_AT + 5_100);
  expect(stop.releasesAt).toBe(BEGUN_AT + 5_100);
  expect(stop.endsAt).toBe(BEGUN_AT + 5_400);
});

test("a stop that may have come long ago still waits for targets at work", () => {
  // It may also have come just now: then there is all the time.
  const stop = new PlannedStop(STOP_MS);
  stop.begin(BEGUN_AT, BEGUN_AT - 3_000);
  expect(stop.releasesAt).toBe(BEGUN_AT + 5_000);
  expect(stop.endsAt).toBe(BEGUN_AT + 5_300);
});

test("a stop that is noticed very late ends before the VM can be killed", () => {
  // Guards against waiting for targets and deliveries beyond the kill.
  const stop = new PlannedStop(STOP_MS);
  stop.begin(BEGUN_AT, BEGUN_AT - 700);
  expect(stop.releasesAt).toBe(BEGUN_AT + 5_000);
  expect(stop.endsAt).toBe(BEGUN_AT + 5_100);
});

test("a very short stop ends before the VM is killed", () => {
  // Guards against time for deliveries that reaches beyond the kill.
  expect(begunStop(1_000).endsAt).toBeLessThan(BEGUN_AT + 1_000);
});
