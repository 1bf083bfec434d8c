/**
 * What a VM does about changes that peers have and it lacks.
 *
 * @module
 */

import { beforeEach, expect, test } from "vitest";
import type { VmId } from "@poplarthread/ids";
import { Lag } from "./lag.ts";

const RELAY = "vm-1" as VmId;
const OTHER = "vm-2" as VmId;

let lag: Lag;

beforeEach(() => {
  lag = new Lag();
  lag.missed(7, 0);
});

/** The steps at these times, in milliseconds. */
function stepsAt(
  times: readonly number[],
  { relay = RELAY, isArriving = false }: {
    readonly relay?: VmId | undefined;
    readonly isArriving?: boolean;
  } = {},
) {
  return times.map((now) =>
    lag.nextStep({ now, relay, isArriving, calledAt: 0 })
  );
}

/** What becomes of a call of the store that was made at `calledAt`. */
function storeStepAt(now: number, calledAt: number) {
  const isArriving = false;
  return lag.nextStep({ now, relay: undefined, isArriving, calledAt });
}

test("a response that is arriving is never given up", () => {
  expect(stepsAt([300, 5_000, 50_000], { isArriving: true }))
    .toEqual(["wait", "wait", "wait"]);
});

test("a relay that brings nothing is asked again, and left after a second", () => {
  expect(stepsAt([300, 600, 900, 1_100]))
    .toEqual(["ask-again", "wait", "ask-again", "start-over"]);
});

test("a relay that is reading the change itself is kept", () => {
  stepsAt([300]);
  lag.progressed(900);
  expect(stepsAt([1_200, 1_600])).toEqual(["ask-again", "wait"]);
  expect(stepsAt([1_901])).toEqual(["start-over"]);
});

test("the next relay is asked at once", () => {
  expect(stepsAt([300])).toEqual(["ask-again"]);
  expect(stepsAt([400], { relay: OTHER })).toEqual(["ask-again"]);
});

test("a call of the store begins anew", () => {
  expect(storeStepAt(300, 0)).toBe("start-over");
});

test("a slow store is given more time with each call, until rows arrive", () => {
  const steps = () => [
    storeStepAt(300, 0),
    storeStepAt(899, 300),
    storeStepAt(900, 300),
    storeStepAt(2_099, 900),
    storeStepAt(2_100, 900),
  ];
  expect(steps()).toEqual(
    ["start-over", "wait", "start-over", "wait", "start-over"],
  );
  lag.arrived(7, 2_200);
  lag.missed(8, 2_200);
  expect(storeStepAt(2_500, 2_200)).toBe("start-over");
});

test("versions that no store has leave no more time for a silent connection", () => {
  expect(storeStepAt(300, 0)).toBe("start-over");
  lag.reset();
  lag.missed(8, 600);
  expect(storeStepAt(900, 600)).toBe("start-over");
});

test("a call of the store that has just been made is waited for", () => {
  expect(storeStepAt(300, 290)).toBe("wait");
});

test("a change counts as missing since peers first named it, until it has arrived", () => {
  lag.missed(9, 200);
  expect(lag.arrived(6, 300)).toBe(0);
  expect(lag.arrived(8, 400)).toBe(400);
  expect(lag.arrived(9, 500)).toBe(0);
});
