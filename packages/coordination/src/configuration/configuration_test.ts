import { id, type OperationId } from "@poplarthread/ids";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type Fault, FaultyTable } from "../testing/faulty_table.ts";
import { racingTable } from "../testing/racing_table.ts";
import { ConfigurationFollower } from "./follower.ts";
import type { FollowerEffect } from "./follower_core.ts";
import { type ChangeOrigin, stillInForce } from "./in_force.ts";
import { ConfigurationStore } from "./store.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function origin(name: string, seenRevision = 0): ChangeOrigin {
  const operationId = id<OperationId>(name);
  const firstSending = true;
  return { seenRevision, operationId, firstSending, who: name, why: "peak" };
}

describe("ConfigurationStore", () => {
  // Two operators change the configuration at the same time. The second change
  // must not undo the first one, and its operator needs to know who made that.
  it("reports the winning change to the operator whose change was superseded", async () => {
    const store = new ConfigurationStore<string>(new FaultyTable());
    const [first, second] = await Promise.all([
      store.accept({ value: "peak" }, origin("ana")),
      store.accept({ value: "maintenance" }, origin("bo")),
    ]);
    expect(first).toEqual({ kind: "accepted", revision: 1 });
    expect(second).toMatchObject({
      kind: "superseded",
      winner: { who: "ana", after: "peak" },
    });
    expect(await store.audit({ limit: 10 })).toHaveLength(1);
  });

  // The table is down, later a response is lost after the write. A change must
  // be reported as accepted exactly if it was written.
  it("reports the actual outcome after refused calls and lost responses", async () => {
    const table = new FaultyTable();
    const store = new ConfigurationStore<string>(table);
    table.faults = Array(100).fill("refuse");
    const whileDown = store.accept({ value: "a" }, origin("ana"));
    await vi.advanceTimersByTimeAsync(11_000);
    expect(await whileDown).toEqual({ kind: "not-accepted" });
    table.faults = ["none", "lose-after"];
    const afterLoss = store.accept({ value: "a" }, origin("ana"));
    await vi.advanceTimersByTimeAsync(11_000);
    expect(await afterLoss).toEqual({ kind: "accepted", revision: 1 });
    const other = await store.accept({ value: "b" }, origin("ana"));
    expect(other.kind).toBe("operation-reused");
  });

  // Operators race while calls are reordered and responses are lost. The outcome
  // reported to each operator must agree with the audit trail.
  it("reports outcomes that agree with the audit trail for any faults and order", async () => {
    const fault = fc.constantFrom<Fault>(
      "none",
      "refuse",
      "lose-before",
      "lose-after",
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(fault, { maxLength: 8, size: "max" }),
        fc.integer({ min: 1, max: 4 }),
        fc.scheduler(),
        async (faults, operators, scheduler) => {
          const table = new FaultyTable();
          table.faults = [...faults];
          const racing = racingTable(table, scheduler);
          const store = new ConfigurationStore<string>(racing);
          const names = ["ana", "bo", "cy", "di"].slice(0, operators);
          const all = Promise.all(
            names.map((name) => store.accept({ value: name }, origin(name))),
          );
          for (let i = 0; i < 60; i++) {
            await vi.advanceTimersByTimeAsync(250);
            if (scheduler.count() > 0) {
              await scheduler.waitOne();
            }
          }
          const outcomes = await all;
          table.faults = [];
          const trail = await new ConfigurationStore<string>(table)
            .audit({ limit: 10 });
          for (const [index, outcome] of outcomes.entries()) {
            const isInTrail = trail.some(({ who }) => who === names[index]);
            expect([outcome.kind, isInTrail]).toEqual([
              outcome.kind,
              outcome.kind === "accepted" ||
              (outcome.kind === "unknown" && isInTrail),
            ]);
          }
          expect(trail.length).toBeLessThanOrEqual(1);
        },
      ),
      { seed: 7, numRuns: 60 },
    );
  });
});

describe("ConfigurationFollower", () => {
  // A VM starts while the table is down and receives two revisions from its
  // peers, the older one last. It must run the newer revision and ignore the
  // older one.
  it("starts from its peers during an outage and ignores older revisions", async () => {
    const table = new FaultyTable();
    const store = new ConfigurationStore<string>(table);
    await store.accept({ value: "one" }, origin("ana"));
    const one = (await store.read())!;
    await store.accept({ value: "two" }, origin("bo", 1));
    const two = (await store.read())!;
    table.faults = Array(5).fill("refuse");
    const effects: FollowerEffect<string>[] = [];
    const follower = new ConfigurationFollower(store, {
      onEffect: (effect) => effects.push(effect),
    });
    expect(await follower.poll()).toBe(false);
    expect(follower.inForce).toBeUndefined();
    follower.receiveConfiguration(two, 40);
    follower.receiveConfiguration(one, 10);
    follower.receiveRevision(3);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(follower.inForce).toEqual(two);
    expect(follower.ageMs).toBe(1_040);
    expect(effects.map(({ kind }) => kind)).toEqual(["adopt", "fetch"]);
  });

  it("refuses to write a plan made for a replaced revision", async () => {
    const table = new FaultyTable();
    const store = new ConfigurationStore<string>(table);
    await store.accept({ value: "one" }, origin("ana"));
    const conditions = [stillInForce((await store.read())!)];
    const writes = [{ key: "plan", value: 1 }];
    expect((await table.transact({ conditions, writes })).kind)
      .toBe("committed");
    await store.accept({ value: "two" }, origin("bo", 1));
    expect((await table.transact({ conditions, writes })).kind)
      .toBe("conflict");
  });
});
