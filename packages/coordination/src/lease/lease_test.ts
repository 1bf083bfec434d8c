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
  // The holder is paused past its lease just after it looked at its own clock,
  // and wakes up while another VM plans. Unfenced, its old plan would replace
  // the new one and traffic would be shifted back.
  it("has the table refuse a holder that was paused", async () => {
    const table = new FaultyTable();
    let wake = () => {};
    const paused: Table = {
      read: (keys) => table.read(keys),
      scan: (prefix, options) => table.scan(prefix, options),
      transact: async (transaction) => {
        const isPlan = transaction.writes.some(({ key }) => key === "plan");
        if (isPlan) {
          await new Promise<void>((resolve) => wake = resolve);
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
    wake();
    expect(await write).toEqual({ kind: "fenced-off" });
    expect((await table.read(["plan"]))[0]!.value).toBe("new");
  });

  // The table goes down for longer than the lease. The holder must stop by its
  // own clock, and one holder must come back by itself.
  it("lapses in an outage and comes back after it", async () => {
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

  // The answer to the claim is lost after the write: the table names this VM as
  // the holder, and the VM does not know it. Nobody would plan for a while.
  it("takes its own lease up again after a lost answer", async () => {
    const table = new FaultyTable();
    table.faults = ["none", "lose-after"];
    const a = contender(table, "a");
    await vi.advanceTimersByTimeAsync(DURATION_MS);
    expect(a.token).toBe(2);
  });

  // Of two VMs the holder dies without a word. The other takes over after the
  // duration, and not while the holder renews.
  it("passes to another VM only after the holder fell silent", async () => {
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
