import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { ResourceError } from "./errors.ts";
import { type RestartPolicy, Supervisor } from "./supervisor.ts";
import { type SupervisedTask, Task } from "./task.ts";

type WorkerMessage = { readonly kind: "work" } | { readonly kind: "crash" };

class Worker extends Task<WorkerMessage> {
  starts = 0;
  handled = 0;
  openFails = false;
  lacksPort = false;

  protected override open(): void {
    this.starts += 1;
    if (this.openFails) {
      throw new Error("port in use");
    }
    if (this.lacksPort) {
      throw new ResourceError("address in use");
    }
  }

  protected override receive(message: WorkerMessage): void {
    if (message.kind === "crash") {
      throw new Error("crashed");
    }
    this.handled += 1;
  }

  protected override close(): void {}
}

const policy: RestartPolicy = {
  initialDelayMs: 100,
  maxDelayMs: 300,
  maxRestarts: 3,
  windowMs: 10_000,
};

function setUp() {
  const log: string[] = [];
  const listener = {
    taskFailed: (task: string, err: unknown) => log.push(`${task}: ${err}`),
    taskRestarted: (task: string) => log.push(`${task}: restarted`),
  };
  const supervisor = new Supervisor("root", { policy, listener });
  const worker = new Worker("worker");
  const other = new Worker("other");
  supervisor.add(worker);
  supervisor.add(other);
  const failures: unknown[] = [];
  const parent = {
    failed: (_: SupervisedTask, err: unknown) => failures.push(err),
  };
  return { supervisor, worker, other, failures, parent, log };
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("only the failed task is restarted, after a delay that grows", async () => {
  // A handler throws on an unexpected message. Without supervision the daemon would
  // crash, or continue with a failed component that nobody notices.
  const { supervisor, worker, other, parent, log } = setUp();
  await supervisor.start(parent);
  worker.send({ kind: "crash" });
  worker.send({ kind: "work" });
  await vi.advanceTimersByTimeAsync(99);
  expect(worker.starts).toBe(1);
  await vi.advanceTimersByTimeAsync(1);
  expect(worker.starts).toBe(2);
  worker.send({ kind: "crash" });
  await vi.advanceTimersByTimeAsync(199);
  expect(worker.starts).toBe(2);
  await vi.advanceTimersByTimeAsync(1);
  worker.send({ kind: "work" });
  expect(worker).toMatchObject({ starts: 3, handled: 1 });
  expect(other.starts).toBe(1);
  expect(supervisor.statuses()).toMatchInlineSnapshot(`
    [
      {
        "lastError": "crashed",
        "restarts": 2,
        "state": "running",
        "task": "root/worker",
      },
      {
        "restarts": 0,
        "state": "running",
        "task": "root/other",
      },
    ]
  `);
  expect(log).toEqual([
    "worker: Error: crashed",
    "worker: restarted",
    "worker: Error: crashed",
    "worker: restarted",
  ]);
});

test("a supervisor fails when restarting its task does not help", async () => {
  // Another program holds the port permanently. Endless restarts would hide that;
  // the failure has to propagate up the tree until an operator notices.
  const { supervisor, worker, failures, parent } = setUp();
  await supervisor.start(parent);
  worker.openFails = true;
  worker.send({ kind: "crash" });
  await vi.advanceTimersByTimeAsync(100 + 200 + 300);
  expect(failures).toHaveLength(1);
  expect(String(failures[0])).toContain(
    "Cannot keep worker running: port in use",
  );
});

const HOUR_MS = 3_600_000;

test("a task whose port is held does not keep the others from starting, nor ends the process", async () => {
  const { supervisor, worker, other, failures, parent } = setUp();
  worker.lacksPort = true;
  await supervisor.start(parent);
  expect(other.running).toBe(true);
  expect(supervisor.areRunning([other])).toBe(true);
  expect(supervisor.areRunning([worker, other])).toBe(false);
  await vi.advanceTimersByTimeAsync(HOUR_MS);
  expect(failures).toEqual([]);
  worker.lacksPort = false;
  await vi.advanceTimersByTimeAsync(300);
  expect(supervisor.areRunning([worker, other])).toBe(true);
});

test("a port that is held for long is tried twice a second, and reported each minute", async () => {
  const reported: boolean[] = [];
  const supervisor = new Supervisor("root", {
    listener: {
      taskFailed: (_task, _err, { isRepeated }) => reported.push(!isRepeated),
      taskRestarted: () => undefined,
    },
  });
  const worker = new Worker("worker");
  worker.lacksPort = true;
  supervisor.add(worker);
  await supervisor.start({ failed: () => undefined });
  await vi.advanceTimersByTimeAsync(100 + 200 + 400);
  expect(worker.starts).toBe(4);
  await vi.advanceTimersByTimeAsync(10 * 60_000);
  expect(worker.starts).toBe(1_204);
  expect(reported.filter((isReported) => isReported)).toHaveLength(11);
});

test("a task that cannot start does not end the process if it is expendable", async () => {
  // Guards against a VM that ends because its metrics cannot be served.
  const { supervisor, failures, parent } = setUp();
  const metrics = new Worker("metrics");
  metrics.openFails = true;
  supervisor.add(metrics, { whenExhausted: "keep-trying" });
  await supervisor.start(parent);
  await vi.advanceTimersByTimeAsync(HOUR_MS);
  expect(failures).toEqual([]);
  metrics.openFails = false;
  await vi.advanceTimersByTimeAsync(300);
  expect(metrics.running).toBe(true);
});

test("a supervisor that is stopped while a task waits for its port leaves nothing behind", async () => {
  const { supervisor, worker, parent } = setUp();
  worker.lacksPort = true;
  await supervisor.start(parent);
  await supervisor.stop();
  await vi.advanceTimersByTimeAsync(HOUR_MS);
  expect(worker.starts).toBe(1);
  expect(vi.getTimerCount()).toBe(0);
});
