/**
 * Turns in which requests are let through after they were held back.
 *
 * @module
 */

import { expect, test } from "vitest";
import { CrashTrials } from "./crash_trials.ts";

const VMS = 9;

// Guards against a request that is refused for ever, and against two VMs at one moment.
test("VMs come one after the other, and each comes", () => {
  const trials = Array.from({ length: VMS }, () => new CrashTrials());
  const startedAt: number[] = [];
  const seen = new Set<number>();
  for (let now = 0; now < 40_000; now += 50) {
    const running = trials.flatMap((trial, position) => {
      const place = { position, vms: VMS };
      const copy = {};
      return trial.waitMs(copy, { now, heldUntil: 0, place }) === 0
        ? [position]
        : [];
    });
    running.forEach((position) => {
      startedAt.push(now);
      seen.add(position);
    });
  }
  expect(seen.size).toBe(VMS);
  startedAt.slice(1).forEach((at, index) =>
    expect(at - startedAt[index]!).toBeGreaterThanOrEqual(1_000)
  );
});

// Guards against a Retry-After that brings the caller back too early, each time.
test("a copy that waits as told is let through", () => {
  for (let position = 0; position < VMS; position++) {
    for (let now = 100; now < 40_000; now += 730) {
      const trial = new CrashTrials();
      const place = { position, vms: VMS };
      const wait = (at: number) =>
        trial.waitMs({}, { now: at, heldUntil: 0, place });
      const waitMs = wait(now);
      expect(waitMs === 0 || wait(now + waitMs) === 0).toBe(true);
    }
  }
});

// Guards against a copy that is let through at first and refused before it is sent.
test("a copy that was let through may be sent a little later, others may not", () => {
  const trial = new CrashTrials();
  const place = { position: 0, vms: 1 };
  const copy = {};
  expect(trial.waitMs(copy, { now: 10, heldUntil: 0, place })).toBe(0);
  expect(trial.waitMs({}, { now: 20, heldUntil: 0, place })).toBe(1_980);
  expect(trial.waitMs(copy, { now: 1_500, heldUntil: 0, place })).toBe(0);
});
