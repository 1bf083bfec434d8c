/**
 * How long responses will still arrive.
 *
 * @module
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Arrival } from "../json_exchange.ts";
import { type OpenCall, OpenCalls } from "./open_calls.ts";

const READ = { kind: "read", waitedMs: 400, arrivingMs: 400 } as const;

let calls: OpenCalls;
let longArrivals: number;

beforeEach(() => {
  vi.useFakeTimers();
  longArrivals = 0;
  calls = new OpenCalls({
    arrivingLong: () => longArrivals += 1,
    ended: () => undefined,
  });
});

afterEach(() => {
  vi.useRealTimers();
});

/** A call of the store that stays open. */
function open(): OpenCall {
  let opened: OpenCall | undefined;
  void calls.make(undefined, (call) => {
    opened = call;
    return new Promise(() => undefined);
  });
  return opened!;
}

function arrival(overrides: Partial<Arrival>): () => Arrival {
  return () => ({
    forMs: 300,
    bytes: 30_000,
    totalBytes: undefined,
    ...overrides,
  });
}

test("the end of a long response is foreseen from its rate", () => {
  const call = open();
  call.begun(arrival({ totalBytes: 90_000 }));
  vi.advanceTimersByTime(200);
  expect(calls.longArrival).toEqual({ forMs: 300, leftMs: 600 });
  expect(longArrivals).toBe(1);
});

test("a response without a length is taken to be as long as the last large one", () => {
  const earlier = open();
  earlier.begun(arrival({}));
  vi.advanceTimersByTime(200);
  expect(calls.longArrival).toEqual({ forMs: 300, leftMs: undefined });
  earlier.requestEnded({ ...READ, bytes: 450_000 });
  open().begun(arrival({ bytes: 150_000 }));
  vi.advanceTimersByTime(200);
  expect(calls.longArrival).toEqual({ forMs: 300, leftMs: 600 });
});

test("nothing is foreseen of a response that has just begun", () => {
  const call = open();
  call.begun(arrival({ totalBytes: 90_000 }));
  vi.advanceTimersByTime(199);
  expect(calls.longArrival).toBeUndefined();
  call.requestEnded({ ...READ, bytes: 90_000 });
  vi.advanceTimersByTime(1_000);
  expect(longArrivals).toBe(0);
});

test("whoever is told of a long arrival finds it, though timers may fire early", () => {
  // Nobody would be told a second time.
  const seen: unknown[] = [];
  calls = new OpenCalls({
    arrivingLong: () => seen.push(calls.longArrival),
    ended: () => undefined,
  });
  open().begun(arrival({ forMs: 199.8, bytes: 50_000, totalBytes: 100_000 }));
  vi.advanceTimersByTime(200);
  expect(seen).toEqual([{ forMs: 199.8, leftMs: 199.8 }]);
});
