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
  // Two operators switch at the same moment. The one who comes second must not
  // undo the first one's switch, and wants to know whose it was.
  it("tells the loser of a race who won", async () => {
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

  // The table is down, then an answer is lost after the write: the operator
  // must hear of the acceptance that did happen, and of none that did not.
  it("tells the truth after refused and lost calls", async () => {
    const table = new FaultyTable();
    const store = new ConfigurationStore<string>(table);
    table.faults = Array(100).fill("refuse");
    const refused = store.accept({ value: "a" }, origin("ana"));
    await vi.advanceTimersByTimeAsync(11_000);
    expect(await refused).toEqual({ kind: "not-accepted" });
    table.faults = ["none", "lose-after"];
    const lost = store.accept({ value: "a" }, origin("ana"));
    await vi.advanceTimersByTimeAsync(11_000);
    expect(await lost).toEqual({ kind: "accepted", revision: 1 });
    const other = await store.accept({ value: "b" }, origin("ana"));
    expect(other.kind).toBe("operation-reused");
  });

  // Operators race while calls overtake each other and answers get lost. What
  // each was told has to agree with the audit trail.
  it("agrees with its audit trail under any faults and order", async () => {
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
            const isIn = trail.some(({ who }) => who === names[index]);
            expect([outcome.kind, isIn]).toEqual([
              outcome.kind,
              outcome.kind === "accepted" ||
              (outcome.kind === "unknown" && isIn),
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
  // A VM boots while the table is down and learns from a peer that knows more
  // than the next one. It must run the newer revision, and never go back when
  // an older one arrives late.
  it("boots from its peers in an outage and never goes back", async () => {
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
    follower.hearPeer(two, 40);
    follower.hearPeer(one, 10);
    follower.hearRevision(3);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(follower.inForce).toEqual(two);
    expect(follower.ageMs).toBe(1_040);
    expect(effects.map(({ kind }) => kind)).toEqual(["adopt", "fetch"]);
  });

  it("guards a plan with the revision that it was made for", async () => {
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
