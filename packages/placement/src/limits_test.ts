/**
 * Limits that hold for all VMs together.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { RegionId, ServiceId, TargetId, VmId } from "@poplarthread/ids";
import { ColdTargets } from "./cold_targets.ts";
import { FleetRetryBudget } from "./fleet_retry_budget.ts";
import { hashText } from "./hash.ts";
import { ownerOf } from "./target_owners.ts";
import { requestFor, steeringIn, targetIn } from "./testing.ts";
import { WeightedSplit } from "./weighted_split.ts";
import { WaitQueue } from "./wait_queue.ts";

const TARGET = "t" as TargetId;
const COLD_PER_SECOND = 5;
/** The share of an owner that can reach most VMs. */
const FULL_SHARE = { perSecond: COLD_PER_SECOND, ownerShare: 1, phase: 0 };
/** Cold targets crash above this rate. */
const MAX_COLD_PER_SECOND = COLD_PER_SECOND * 1.5 + 5;

describe("cold targets", () => {
  test("receive no more than they tolerate while two VMs consider themselves the owner", () => {
    // A VM has just failed, and the others have not all noticed yet, so two VMs
    // send to a target that has just started. If both used its full rate, it would
    // crash again and be unavailable for some more seconds.
    const owners = [new ColdTargets(), new ColdTargets()];
    const sentAt: number[] = [];
    for (let now = 0; now < 3_000; now += 1) {
      for (const owner of owners) {
        if (owner.maySend(TARGET, now, FULL_SHARE)) {
          owner.sent(TARGET, now);
          sentAt.push(now);
        }
      }
    }
    const worst = Math.max(
      ...sentAt.map((from) =>
        sentAt.filter((at) => at >= from && at < from + 1_000).length
      ),
    );
    expect(worst).toBeLessThanOrEqual(MAX_COLD_PER_SECOND);
    expect(sentAt.length).toBeGreaterThan(COLD_PER_SECOND * 2);
  });

  test("receive no more than they tolerate while VMs that start together do not know of each other yet", () => {
    // Guards against VMs that each take themselves for the owner of every target.
    const now = 500;
    const target = targetIn("north", "t-0");
    const sent = Array.from({ length: 68 }, () => {
      const steering = steeringIn("north", [target], ["north"]);
      steering.setFleetSize(undefined);
      steering.markCold(target.id, 10_000);
      const request = requestFor("a", { now });
      return steering.place(request, { now, ahead: 0 }).kind === "send";
    }).filter((isSent) => isSent).length;
    expect(sent).toBeLessThanOrEqual(MAX_COLD_PER_SECOND);
  });

  test("have one owner, in their region if it has a VM", () => {
    fc.assert(fc.property(
      fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { minLength: 1 }),
      fc.string(),
      (names, targetName) => {
        const vms = names.map((name, at) => ({
          vm: name as VmId,
          region: (at % 2 === 0 ? "north" : "south") as RegionId,
          hash: hashText(name),
        }));
        const target = {
          hash: hashText(targetName),
          region: "north" as RegionId,
        };
        const owner = ownerOf(target, vms);
        expect(ownerOf(target, vms.toReversed())).toBe(owner);
        expect(vms.find(({ vm }) => vm === owner)!.region).toBe("north");
      },
    ));
  });
});

test("a cold target that moves to another region has its owner there", () => {
  // If VMs kept the cached owner, those that learned of the target at different
  // times would disagree on its owner for as long as it is listed.
  const steering = steeringIn("north", [targetIn("north", "t-0")]);
  const decide = (now: number) =>
    steering.place(requestFor("a", { now }), { now, ahead: 0 }).kind;
  steering.markCold("t-0" as TargetId, 10_000);
  expect(decide(0)).toBe("send");
  steering.setTarget({ ...targetIn("south", "t-0") });
  expect(decide(5_000)).not.toBe("send");
});

describe("the retry budget", () => {
  const BOUND = { ratio: 0.2, fixed: 50, windowMs: 10_000 };
  const RETRY = { priority: 0, routePriority: 0 };
  const VMS = 9;

  test("holds over all VMs in any window, although each counts on its own", () => {
    // Every target fails for a while, and each VM retries all its requests. Without
    // a bound over all VMs, the retries would double the load, and the service
    // would stay down after the fault has ended.
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 400 }), {
          minLength: VMS,
          maxLength: VMS,
        }),
        (gaps) => {
          const requests: number[] = [];
          const retries: number[] = [];
          for (const gap of gaps) {
            const budget = new FleetRetryBudget(BOUND);
            for (let now = 0; now < 20_000; now += gap) {
              budget.arrived(now);
              requests.push(now);
              if (budget.tryReserve(now, VMS) && budget.trySend(now, VMS)) {
                retries.push(now);
              }
            }
          }
          const within = (times: readonly number[], from: number) =>
            times.filter((at) => at >= from && at < from + BOUND.windowMs)
              .length;
          for (let from = 0; from <= 10_000; from += 1_000) {
            const allowed = within(requests, from) * BOUND.ratio + BOUND.fixed;
            expect(within(retries, from)).toBeLessThanOrEqual(allowed);
          }
        },
      ),
      { numRuns: 20 },
    );
  });

  test("holds while VMs that start together do not know of each other yet", () => {
    // Guards against a fleet in which each VM takes itself for the only one.
    const vms = Array.from({ length: 68 }, () => steeringIn("north", [], []));
    const service = "portal" as ServiceId;
    let retries = 0;
    let requests = 0;
    for (const steering of vms) {
      steering.setFleetSize(undefined);
      for (let now = 0; now < 500; now += 50) {
        const retry = { ...RETRY, objectiveAt: now + 1_000 };
        steering.arrived(service, RETRY.priority, { now, isForwarded: false });
        requests += 1;
        retries += steering.takeRetry(service, now, retry) ? 1 : 0;
      }
    }
    expect(retries).toBeLessThanOrEqual(requests * BOUND.ratio + BOUND.fixed);
  });

  test("still holds when every VM is started again and again", () => {
    // Guards against a fixed number that each process of a VM uses anew.
    const runsMs = fc.array(fc.integer({ min: 200, max: 12_000 }), {
      minLength: 2,
      maxLength: 6,
    });
    fc.assert(
      fc.property(
        fc.constantFrom(
          { vms: 1, fixed: 50 },
          { vms: 9, fixed: 58 },
          { vms: 119, fixed: 301 },
          { vms: 195, fixed: 430 },
        ),
        runsMs,
        ({ vms, fixed }, runs) => {
          const retriesOfOne: number[] = [];
          let now = 0;
          for (const runMs of runs) {
            const bound = { ...BOUND, fixed };
            const budget = new FleetRetryBudget(bound, { startedAt: now });
            for (const end = now + runMs; now < end; now += 100) {
              while (budget.tryReserve(now, vms) && budget.trySend(now, vms)) {
                retriesOfOne.push(now);
              }
            }
          }
          for (const from of retriesOfOne) {
            const until = from + BOUND.windowMs;
            const inWindow = retriesOfOne
              .filter((at) => at >= from && at < until).length;
            expect(inWindow * vms).toBeLessThanOrEqual(fixed);
          }
        },
      ),
      { numRuns: 200, seed: 51 },
    );
  });

  test("still holds when every VM restarts within the window", () => {
    const budgets = Array.from(
      { length: 2 * VMS },
      () => new FleetRetryBudget(BOUND),
    );
    const spent = budgets.map((budget) => {
      let count = 0;
      while (budget.tryReserve(0, VMS) && budget.trySend(0, VMS)) {
        count += 1;
      }
      return count;
    });
    const sum = spent.reduce((total, count) => total + count, 0);
    expect(sum).toBeLessThanOrEqual(BOUND.fixed);
  });
});

describe("a traffic split", () => {
  test("is within one request of its weights at any moment", () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 100 }), {
        minLength: 1,
        maxLength: 5,
      }),
      fc.double({ min: 0, max: 0.99, noNaN: true }),
      (weights, start) => {
        const parts = weights.map((weight, at) => ({
          service: `s${at}` as ServiceId,
          weight,
        }));
        const split = new WeightedSplit(parts, start);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        const counts = new Map<string, number>();
        for (let taken = 1; taken <= 200; taken++) {
          const service = split.next()!;
          counts.set(service, (counts.get(service) ?? 0) + 1);
        }
        for (const { service, weight } of parts) {
          const count = counts.get(service) ?? 0;
          expect(Math.abs(count - 200 * weight / total)).toBeLessThanOrEqual(2);
        }
      },
    ));
  });

  test("sends nothing to a part with weight 0", () => {
    const split = new WeightedSplit([
      { service: "old" as ServiceId, weight: 0 },
      { service: "new" as ServiceId, weight: 1 },
    ], 0);
    expect(split.next()).toBe("new");
    expect(split.next()).toBe("new");
  });
});

describe("queued requests", () => {
  test("are ordered by priority, then by whether they can meet their latency objective, then by arrival", () => {
    const queue = new WaitQueue();
    const account = undefined;
    const read = { priority: 2, objectiveAt: 500, account };
    const lateOrder = { priority: 0, objectiveAt: 50, account };
    const order = { priority: 0, objectiveAt: 400, account };
    const second = { priority: 0, objectiveAt: 300, account };
    [read, lateOrder, order, second].forEach((one) => queue.add(one));
    expect(queue.inOrder(100)).toEqual([order, second, lateOrder, read]);
  });
});
