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
import { WaitingRoom } from "./waiting_room.ts";

const TARGET = "t" as TargetId;
const COLD_PER_SECOND = 5;
/** An owner that hears most VMs. */
const WHOLE = { perSecond: COLD_PER_SECOND, share: 1, phase: 0 };
/** Above this many requests in a second, cold targets crash. */
const COLD_MOST = COLD_PER_SECOND * 1.5 + 5;

describe("cold targets", () => {
  test("stay below what they bear while two VMs take themselves for the owner", () => {
    // A VM has just died and the others do not know it alike, so two of them send
    // to a target that has just come back. If both used its whole rate, it would
    // crash again, and callers would get nothing from it for seconds more.
    const owners = [new ColdTargets(), new ColdTargets()];
    const sentAt: number[] = [];
    for (let now = 0; now < 3_000; now += 1) {
      for (const owner of owners) {
        if (owner.maySend(TARGET, now, WHOLE)) {
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
    expect(worst).toBeLessThanOrEqual(COLD_MOST);
    expect(sentAt.length).toBeGreaterThan(COLD_PER_SECOND * 2);
  });

  test("have one owner, of their own region if there is a VM", () => {
    fc.assert(fc.property(
      fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { minLength: 1 }),
      fc.string(),
      (names, target) => {
        const vms = names.map((name, at) => ({
          vm: name as VmId,
          region: (at % 2 === 0 ? "north" : "south") as RegionId,
          hash: hashText(name),
        }));
        const place = { hash: hashText(target), region: "north" as RegionId };
        const owner = ownerOf(place, vms);
        expect(ownerOf(place, vms.toReversed())).toBe(owner);
        expect(vms.find(({ vm }) => vm === owner)!.region).toBe("north");
      },
    ));
  });
});

test("a cold target that comes back elsewhere under its id has its owner there", () => {
  // VMs that learned of it at different times would take different ones of them for
  // its owner for as long as it is listed.
  const steering = steeringIn("north", [targetIn("north", "t-0")]);
  const decide = (now: number) =>
    steering.place(requestFor("a", { now }), { now, ahead: 0 }).kind;
  steering.markCold("t-0" as TargetId, 10_000);
  expect(decide(0)).toBe("send");
  steering.setTarget({ ...targetIn("south", "t-0") });
  expect(decide(5_000)).not.toBe("send");
});

describe("the budget for retries", () => {
  const BOUND = { ratio: 0.2, fixed: 50, windowMs: 10_000 };
  const VMS = 9;

  test("holds over all VMs in any window, though each counts alone", () => {
    // Every target fails for a while and each VM tries all its requests again.
    // Without a bound that holds for all VMs together, the retries double the
    // load, and the service stays down after the fault has ended.
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
              if (budget.spend(now, VMS)) {
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

  test("still holds when every VM restarts within the window", () => {
    const lives = Array.from(
      { length: 2 * VMS },
      () => new FleetRetryBudget(BOUND),
    );
    const spent = lives.map((life) => {
      let count = 0;
      while (life.spend(0, VMS)) {
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

  test("sends nothing to a part without weight", () => {
    const split = new WeightedSplit([
      { service: "old" as ServiceId, weight: 0 },
      { service: "new" as ServiceId, weight: 1 },
    ], 0);
    expect(split.next()).toBe("new");
    expect(split.next()).toBe("new");
  });
});

describe("requests that wait", () => {
  test("go by rank, then those that can still be in time, then as they came", () => {
    const room = new WaitingRoom();
    const account = undefined;
    const read = { priority: 2, aimAt: 500, account };
    const lateOrder = { priority: 0, aimAt: 50, account };
    const order = { priority: 0, aimAt: 400, account };
    const second = { priority: 0, aimAt: 300, account };
    [read, lateOrder, order, second].forEach((one) => room.add(one));
    expect(room.inOrder(100)).toEqual([order, second, lateOrder, read]);
  });
});
