/**
 * The record of requests that crash targets in the platform's store.
 *
 * @module
 */

import { Writable } from "node:stream";
import {
  type Fingerprint,
  type HeldBackReport,
  targetRun,
} from "@poplarthread/coordination/held_back";
import type { TargetId } from "@poplarthread/ids";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createLog } from "../log.ts";
import { CrashRecord } from "./crash_record.ts";
import { EventLog } from "./events.ts";

const TICK_MS = 200;

let crashes: number;
let writes: HeldBackReport[][];
let isFailing: boolean;
let record: CrashRecord;

beforeEach(() => {
  vi.useFakeTimers();
  crashes = 0;
  writes = [];
  isFailing = false;
  record = new CrashRecord({
    reports: (now) => reports(now),
    write: (reports) => {
      writes.push([...reports]);
      return isFailing ? Promise.reject(new Error("busy")) : Promise.resolve();
    },
    log: new EventLog(
      createLog({
        level: "debug",
        vm: "vm-1",
        instance: "vm-1.1",
        stream: new Writable({ write: (_line, _encoding, done) => done() }),
      }),
    ),
  });
});

afterEach(() => {
  vi.useRealTimers();
});

function reports(now: number): readonly HeldBackReport[] {
  const runs = Array.from({ length: crashes }, (_, at) => ({
    run: targetRun(`t-${at}` as TargetId),
    ageMs: now,
  }));
  const fingerprint = "digest" as Fingerprint;
  return crashes === 0 ? [] : [{ fingerprint, crashes: runs, count: crashes }];
}

async function play(ms: number, change: () => void = () => undefined) {
  for (let at = 0; at < ms; at += TICK_MS) {
    change();
    record.tick(performance.now());
    await vi.advanceTimersByTimeAsync(TICK_MS);
  }
}

// Guards against calls on days without crashes, and for ages that only grow.
test("is written once for each change", async () => {
  await play(60_000);
  expect(writes.length).toBe(0);
  crashes = 2;
  await play(60_000);
  expect(writes.length).toBe(1);
  crashes = 3;
  await play(60_000);
  expect(writes.length).toBe(2);
});

// Guards against a call for each crash while many targets end.
test("is written once a second at most", async () => {
  await play(10_000, () => crashes += 1);
  expect(writes.length).toBeLessThanOrEqual(11);
  expect(writes.at(-1)![0]!.count).toBeGreaterThan(40);
});

// Guards against a record that is lost because the store refused it, and against many refused calls.
test("is written again when the store has refused it", async () => {
  isFailing = true;
  crashes = 3;
  await play(60_000);
  expect(writes.length).toBeGreaterThan(5);
  expect(writes.length).toBeLessThan(12);
  isFailing = false;
  const failed = writes.length;
  await play(60_000);
  expect(writes.length).toBe(failed + 1);
});
