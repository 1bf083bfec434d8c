import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { type RestartPolicy, Supervisor } from "./supervisor.ts";
import { type SupervisedTask, Task } from "./task.ts";

type WorkerMessage = { readonly kind: "work" } | { readonly kind: "crash" };

class Worker extends Task<WorkerMessage> {
  starts = 0;
  handled = 0;
  openFails = false;

  protected override open(): void {
    this.starts += 1;
    if (this.openFails) {
      throw new Error("port in use");
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
