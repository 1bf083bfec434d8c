import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { type RestartPolicy, Supervisor } from "./supervisor.ts";
import { type Supervised, Task } from "./task.ts";

type PhoneMessage = { readonly kind: "ring" } | { readonly kind: "break" };

class Phone extends Task<PhoneMessage> {
  starts = 0;
  rings = 0;
  openFails = false;

  protected override open(): void {
    this.starts += 1;
    if (this.openFails) {
      throw new Error("no line");
    }
  }

  protected override receive(message: PhoneMessage): void {
    if (message.kind === "break") {
      throw new Error("broken");
    }
    this.rings += 1;
  }

  protected override close(): void {}
}

const policy: RestartPolicy = {
  firstDelayMs: 100,
  longestDelayMs: 300,
  limit: 3,
  windowMs: 10_000,
};

function setUp() {
  const log: string[] = [];
  const listener = {
    taskFailed: (path: string, err: unknown) => log.push(`${path}: ${err}`),
    taskRestarted: (path: string) => log.push(`${path}: again`),
  };
  const supervisor = new Supervisor("root", { policy, listener });
  const phone = new Phone("phone");
  const other = new Phone("other");
  supervisor.add(phone);
  supervisor.add(other);
  const failures: unknown[] = [];
  const parent = {
    failed: (_: Supervised, err: unknown) => failures.push(err),
  };
  return { supervisor, phone, other, failures, parent, log };
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("a task that fails comes back after a growing delay, alone", async () => {
  // A handler throws on a message it did not expect. Without supervision the
  // whole daemon would die, or live on with a dead part that nobody sees.
  const { supervisor, phone, other, parent, log } = setUp();
  await supervisor.start(parent);
  phone.send({ kind: "break" });
  phone.send({ kind: "ring" });
  await vi.advanceTimersByTimeAsync(99);
  expect(phone.starts).toBe(1);
  await vi.advanceTimersByTimeAsync(1);
  expect(phone.starts).toBe(2);
  phone.send({ kind: "break" });
  await vi.advanceTimersByTimeAsync(199);
  expect(phone.starts).toBe(2);
  await vi.advanceTimersByTimeAsync(1);
  phone.send({ kind: "ring" });
  expect(phone).toMatchObject({ starts: 3, rings: 1 });
  expect(other.starts).toBe(1);
  expect(supervisor.statuses()).toMatchInlineSnapshot(`
    [
      {
        "lastError": "broken",
        "restarts": 2,
        "state": "running",
        "task": "root/phone",
      },
      {
        "restarts": 0,
        "state": "running",
        "task": "root/other",
      },
    ]
  `);
  expect(log).toEqual([
    "phone: Error: broken",
    "phone: again",
    "phone: Error: broken",
    "phone: again",
  ]);
});

test("a task that never comes back fails its supervisor", async () => {
  // A port is taken by something else for good. Restarting for ever would hide
  // it; the failure has to climb until somebody notices.
  const { supervisor, phone, failures, parent } = setUp();
  await supervisor.start(parent);
  phone.openFails = true;
  phone.send({ kind: "break" });
  await vi.advanceTimersByTimeAsync(100 + 200 + 300);
  expect(failures).toHaveLength(1);
  expect(String(failures[0])).toContain("Cannot keep phone running: no line");
});
