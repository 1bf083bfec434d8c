/**
 * When a gateway serves callers, and what ends it, as far as its tasks tell.
 *
 * @module
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { ResourceError } from "../errors.ts";
import { SILENT_LOG } from "../silent_log.ts";
import { Task } from "../task.ts";
import { EventLog } from "./events.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { GatewayTasks } from "./gateway_tasks.ts";

const HOUR_MS = 3_600_000;
const HELD = new ResourceError("listen EADDRINUSE 127.0.0.1:1");

class FakeTask extends Task<never> {
  /** Why it cannot start; undefined if it can. */
  error: Error | undefined;

  failWith(err: Error): void {
    this.fail(err);
  }

  protected override open(): void {
    if (this.error !== undefined) {
      throw this.error;
    }
  }

  protected override receive(): void {}

  protected override close(): void {}
}

let forwarding: FakeTask;
let callers: FakeTask;
let lookups: FakeTask;
let metricsListener: FakeTask;
let tasks: GatewayTasks;
let counts: Record<string, number>;
let lines: string[];
let serving: boolean[];
/** Whether callers are served and whether other VMs can forward requests, after each change. */
let forwardingStates: { isServing: boolean; isForwarding: boolean }[];
let failures: string[];

function count(name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

beforeEach(() => {
  vi.useFakeTimers();
  forwarding = new FakeTask("forwarding");
  callers = new FakeTask("callers");
  lookups = new FakeTask("lookups");
  metricsListener = new FakeTask("metrics");
  counts = {};
  lines = [];
  serving = [];
  forwardingStates = [];
  failures = [];
  const write = (event: string, { reason = "" }: { reason?: string } = {}) =>
    void lines.push(`${event} ${reason}`.trim());
  tasks = new GatewayTasks({
    log: new EventLog({ ...SILENT_LOG, error: write, info: write }),
    metrics: {
      taskFailed: (task: string) => count(`${task} failed`),
      taskRestarted: (task: string) => count(`${task} restarted`),
    } as GatewayMetrics,
    forwarding,
    required: [callers],
    optional: [lookups],
    expendable: [metricsListener],
    forwardingChanged: (isForwarding) =>
      forwardingStates.push({ isServing: tasks.isServing, isForwarding }),
    servingChanged: (isServing) => serving.push(isServing),
  });
});

afterEach(async () => {
  await tasks.stop();
  vi.useRealTimers();
});

function start(): Promise<void> {
  return tasks.start((err) => failures.push(String(err)));
}

test("a VM does not serve before its port for callers is free", async () => {
  callers.error = HELD;
  await start();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(tasks).toMatchObject({ isServing: false, hasServed: false });
  callers.error = undefined;
  await vi.advanceTimersByTimeAsync(500);
  expect(tasks).toMatchObject({ isServing: true, hasServed: true });
  expect(serving).toEqual([true]);
  expect(lines).toEqual([
    "task failed listen EADDRINUSE 127.0.0.1:1",
    "task restarted",
  ]);
  expect(counts["callers failed"]).toBeGreaterThan(10);
  expect(counts["callers restarted"]).toBe(1);
});

test("a VM serves callers while its port for forwarded requests is in use", async () => {
  forwarding.error = HELD;
  await start();
  await vi.advanceTimersByTimeAsync(HOUR_MS);
  expect(serving).toEqual([true]);
  expect(forwardingStates).toEqual([]);
  expect(failures).toEqual([]);
  forwarding.error = undefined;
  await vi.advanceTimersByTimeAsync(500);
  expect(forwardingStates).toEqual([{ isServing: true, isForwarding: true }]);
  forwarding.failWith(HELD);
  expect(forwardingStates.at(-1)).toEqual({
    isServing: true,
    isForwarding: false,
  });
  expect(serving).toEqual([true]);
});

test("a VM accepts forwarded requests before it serves callers", async () => {
  // Its first heartbeat would tell the other VMs not to count on it.
  await start();
  expect(forwardingStates).toEqual([{ isServing: false, isForwarding: true }]);
});

test("a VM serves without the ports of its look-ups and metrics", async () => {
  lookups.error = HELD;
  metricsListener.error = HELD;
  await start();
  await vi.advanceTimersByTimeAsync(HOUR_MS);
  expect(tasks.isServing).toBe(true);
  expect(failures).toEqual([]);
});

test("a VM whose listener for callers fails does not serve until it is back", async () => {
  await start();
  callers.failWith(HELD);
  expect(tasks.isServing).toBe(false);
  await vi.advanceTimersByTimeAsync(500);
  expect(serving).toEqual([true, false, true]);
});

test("errors of a task's own end the process when restarts do not help, except those of the metrics", async () => {
  metricsListener.error = new Error("no such metric");
  await start();
  await vi.advanceTimersByTimeAsync(HOUR_MS);
  expect(failures).toEqual([]);
  lookups.error = new Error("no such part");
  lookups.failWith(lookups.error);
  await vi.advanceTimersByTimeAsync(60_000);
  expect(failures).toEqual([
    "RestartLimitError: Cannot keep lookups running: no such part",
  ]);
});
