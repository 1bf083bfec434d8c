import { id, type IdempotencyKey, type InstanceId } from "@poplarthread/ids";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MemoryTable } from "../memory_table.ts";
import type { Table } from "../table.ts";
import { type Fault, FaultyTable } from "../testing/faulty_table.ts";
import { racingTable } from "../testing/racing_table.ts";
import { Batcher, batchTransaction, type WriteResult } from "./batch.ts";
import { type ClaimOutcome, RequestClaims } from "./claims.ts";
import { claimId, claimKey } from "./claim_row.ts";
import { CLAIM_LIFETIME_MS, ClaimSweep } from "./sweep.ts";

/** VMs that query each other directly; an instance that is not listed is dead. */
function fleet(table: Table, names: readonly string[]) {
  const vms = new Map<string, RequestClaims>();
  for (const name of names) {
    const instance = id<InstanceId>(name);
    const holders = {
      ask: async (query: { instance: InstanceId }, waitMs: number) =>
        await vms.get(query.instance)?.handleHolderQuery(
          query as never,
          waitMs,
        ) ?? { kind: "dead" } as const,
    };
    vms.set(name, new RequestClaims({ table, instance, holders }));
  }
  return vms;
}

const KEY = id<IdempotencyKey>("objection-1");
const REQUEST = {
  scope: "caller",
  key: KEY,
  bodyDigest: "body",
  timeLeftMs: 5_000,
};
const ANSWER = { status: 201, headers: [], bodyBase64: "T0s=" };

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Advances the clock until the promise settles. */
async function settle<Value>(promise: Promise<Value>): Promise<Value> {
  let isSettled = false;
  void promise.then(() => isSettled = true);
  for (let i = 0; i < 1_000 && !isSettled; i++) {
    await vi.advanceTimersByTimeAsync(50);
  }
  return await promise;
}

function grantOf(outcome: ClaimOutcome) {
  if (outcome.kind !== "granted") {
    throw new Error(`Expected a grant, got refusal ${outcome.refusal.kind}`);
  }
  return outcome.grant;
}

describe("RequestClaims", () => {
  // The response to an objection is lost, and the caller retries on another VM.
  // Without the claim, the objection would be filed twice.
  it("returns the first attempt's response to duplicates, also while it runs", async () => {
    const vms = fleet(new MemoryTable(), ["a", "b", "c"]);
    const grant = grantOf(await settle(vms.get("a")!.claim(REQUEST)));
    expect(grant.dispatch()).toBe(true);
    const early = vms.get("b")!.claim(REQUEST);
    await vi.advanceTimersByTimeAsync(500);
    grant.end({ kind: "answered", answer: ANSWER });
    const late = vms.get("c")!.claim(REQUEST);
    for (const outcome of [await settle(early), await settle(late)]) {
      expect(outcome).toMatchObject({
        refusal: { kind: "answered", answer: ANSWER },
      });
    }
    expect(grant.dispatch()).toBe(false);
  });

  // The VM crashes after it sent a booking. Whether the booking ran is unknown,
  // and running it again could charge the bank twice.
  it("returns unknown if the holder is dead, and does not run the request", async () => {
    const vms = fleet(new MemoryTable(), ["a", "b"]);
    await settle(vms.get("a")!.claim(REQUEST));
    vms.delete("a");
    expect(await settle(vms.get("b")!.claim(REQUEST))).toEqual({
      kind: "refused",
      refusal: { kind: "unknown" },
      retryAfterMs: 5_000,
    });
  });

  // The table is unreachable. Callers must be refused immediately, not after a
  // timeout for each request, and a first attempt must not be reported as
  // possibly run.
  it("refuses immediately in an outage and recovers by itself", async () => {
    const table = new FaultyTable();
    const a = fleet(table, ["a"]).get("a")!;
    table.faults = ["refuse"];
    const first = await settle(a.claim(REQUEST));
    const refusal = { kind: "not-run", proof: "this-sending" };
    expect(first).toEqual({ kind: "refused", refusal, retryAfterMs: 2_000 });
    const startedAt = performance.now();
    await a.claim(REQUEST);
    expect(performance.now()).toBe(startedAt);
    await vi.advanceTimersByTimeAsync(2_000);
    expect((await settle(a.claim(REQUEST))).kind).toBe("granted");
  });

  // A VM is paused between claim and dispatch until its caller has given up and
  // retried elsewhere. Without the deadline check both attempts would run.
  it("does not dispatch after the caller's deadline", async () => {
    const vms = fleet(new MemoryTable(), ["a", "b"]);
    const grant = grantOf(await settle(vms.get("a")!.claim(REQUEST)));
    await vi.advanceTimersByTimeAsync(REQUEST.timeLeftMs);
    expect(grant.dispatch()).toBe(false);
    expect((await settle(vms.get("b")!.claim(REQUEST))).kind).toBe("granted");
  });

  it("refuses a different body under the same key", async () => {
    const vms = fleet(new MemoryTable(), ["a", "b"]);
    await settle(vms.get("a")!.claim(REQUEST));
    const other = { ...REQUEST, bodyDigest: "other" };
    expect(await settle(vms.get("b")!.claim(other))).toMatchObject({
      refusal: { kind: "key-reused" },
    });
  });

  // Callers send the same requests through several VMs concurrently while the
  // table loses calls, before and after the write takes effect. A request that
  // ran twice would file an objection twice.
  it("runs each key at most once under any faults and order", async () => {
    const attempt = fc.record({
      vm: fc.constantFrom("a", "b", "c"),
      key: fc.constantFrom("k1", "k2"),
      runMs: fc.integer({ min: 0, max: 300 }),
      pauseMs: fc.constantFrom(0, 10, 200),
    });
    const fault = fc.constantFrom<Fault>(
      "none",
      "refuse",
      "lose-before",
      "lose-after",
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(attempt, { maxLength: 8, size: "max" }),
        fc.array(fault, { maxLength: 10, size: "max" }),
        fc.scheduler(),
        async (attempts, faults, scheduler) => {
          const table = new FaultyTable();
          table.faults = [...faults];
          const racing = racingTable(table, scheduler);
          const vms = fleet(racing, ["a", "b", "c"]);
          const runs = new Map<string, number>();
          const work = attempts.map(async (req, index) => {
            await delay(index * req.pauseMs);
            const key = id<IdempotencyKey>(req.key);
            const outcome = await vms.get(req.vm)!.claim({ ...REQUEST, key });
            if (outcome.kind === "granted" && outcome.grant.dispatch()) {
              runs.set(key, (runs.get(key) ?? 0) + 1);
              await delay(req.runMs);
              outcome.grant.end({ kind: "answered", answer: ANSWER });
            }
          });
          const all = Promise.all(work);
          for (let i = 0; i < 200; i++) {
            await vi.advanceTimersByTimeAsync(40);
            if (scheduler.count() > 0) {
              await scheduler.waitOne();
            }
          }
          await settle(all);
          expect(Math.max(0, ...runs.values())).toBeLessThanOrEqual(1);
        },
      ),
      { seed: 4, numRuns: 60 },
    );
  });
});

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("Batcher", () => {
  it("settles each write once, with the result that the table shows", async () => {
    const write = fc.record({ key: fc.constantFrom("a", "b", "c", "d") });
    await fc.assert(
      fc.asyncProperty(
        fc.array(write, { maxLength: 12, size: "max" }),
        async (writes) => {
          const table = new MemoryTable();
          const batcher = new Batcher({ maxRows: 3, writesPerSecond: 25 });
          const results: WriteResult[][] = writes.map(() => []);
          writes.forEach(({ key }, value) =>
            batcher.add({
              write: { key, over: 0, value },
              settle: (result) => results[value]!.push(result),
            })
          );
          for (let now = 0; batcher.length > 0; now += 40) {
            const batch = batcher.take(now)!;
            const result = await table.transact(batchTransaction(batch));
            result.kind === "committed"
              ? batcher.committed(batch)
              : batcher.conflicted(batch, result.rows);
          }
          for (const [value, [result, ...more]] of results.entries()) {
            const [row] = await table.read([writes[value]!.key]);
            expect(more).toEqual([]);
            expect(result!.kind === "committed").toBe(row!.value === value);
          }
        },
      ),
      { seed: 5, numRuns: 200 },
    );
  });
});

describe("ClaimSweep", () => {
  it("deletes a claim after one day, not before", async () => {
    const table = new MemoryTable();
    const a = fleet(table, ["a"]).get("a")!;
    await settle(a.claim(REQUEST));
    const sweep = new ClaimSweep(table, { isSweeper: () => true });
    const key = claimKey(claimId(REQUEST.scope, KEY));
    await vi.advanceTimersByTimeAsync(CLAIM_LIFETIME_MS - 60_000);
    await sweep.sweepPage();
    expect((await table.read([key]))[0]!.version).toBe(1);
    await vi.advanceTimersByTimeAsync(120_000);
    await sweep.sweepPage();
    expect((await table.read([key]))[0]!.version).toBe(0);
  });
});
