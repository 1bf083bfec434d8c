import { id, type InstanceId } from "@poplarthread/ids";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Table } from "../table.ts";
import { FaultyTable } from "../testing/faulty_table.ts";
import { Lease } from "./lease.ts";

const DURATION_MS = 3_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function contender(table: Table, name: string): Lease {
  const instance = id<InstanceId>(name);
  const lease = new Lease(table, {
    name: "planner",
    instance,
    durationMs: DURATION_MS,
  });
  lease.start();
  return lease;
}

describe("Lease", () => {
  // The holder is paused just after it has checked its own clock, and resumes
  // after another VM has taken over the lease and written a plan. Without the
  // fencing token, the old plan would replace the new one.
  it("refuses the write of a holder that was paused past its lease", async () => {
    const table = new FaultyTable();
    let resume = () => {};
    const paused: Table = {
      read: (keys) => table.read(keys),
      scan: (prefix, options) => table.scan(prefix, options),
      transact: async (transaction) => {
        const isPlan = transaction.writes.some(({ key }) => key === "plan");
        if (isPlan) {
          await new Promise<void>((resolve) => resume = resolve);
        }
        return await table.transact(transaction);
      },
    };
    const old = contender(paused, "old");
    await vi.advanceTimersByTimeAsync(10);
    const write = old.transact([{ key: "plan", value: "old" }]);
    await old.stop();
    const next = contender(table, "next");
    await vi.advanceTimersByTimeAsync(10);
    await next.transact([{ key: "plan", value: "new" }]);
    resume();
    expect(await write).toEqual({ kind: "fenced-off" });
    expect((await table.read(["plan"]))[0]!.value).toBe("new");
  });

  // The table is down for longer than the lease lasts. The holder must stop by
  // its own clock, and must acquire the lease again after the outage.
  it("expires during an outage of the table and is acquired again after it", async () => {
    const table = new FaultyTable();
    const a = contender(table, "a");
    await vi.advanceTimersByTimeAsync(10);
    const before = a.token!;
    table.faults = Array(20).fill("refuse");
    await vi.advanceTimersByTimeAsync(2 * DURATION_MS);
    expect(a.token).toBeUndefined();
    expect(await a.transact([])).toEqual({ kind: "not-held" });
    table.faults = [];
    await vi.advanceTimersByTimeAsync(2 * DURATION_MS);
    expect(a.token).toBeGreaterThan(before);
  });

  // The response to the acquisition is lost after the write: the table names
  // this VM as the holder, but the VM does not know it. If it waited for the
  // expiry, no VM would write plans meanwhile.
  it("acquires a lease again after the response was lost", async () => {
    const table = new FaultyTable();
    table.faults = ["none", "lose-after"];
    const a = contender(table, "a");
    await vi.advanceTimersByTimeAsync(DURATION_MS);
    expect(a.token).toBe(2);
  });

  // A second VM contends for the lease. It must not take over while the holder
  // renews, and must do so once the holder has stopped.
  it("passes to another VM only after the holder has stopped", async () => {
    const table = new FaultyTable();
    const a = contender(table, "a");
    await vi.advanceTimersByTimeAsync(10);
    const b = contender(table, "b");
    await vi.advanceTimersByTimeAsync(10 * DURATION_MS);
    expect([a.token, b.token]).toEqual([1, undefined]);
    await a.stop();
    await vi.advanceTimersByTimeAsync(DURATION_MS);
    expect(b.token).toBe(3);
  });
});
