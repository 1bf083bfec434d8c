/**
 * Division of room among priorities and regions.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { ReturnCalendar } from "./return_calendar.ts";
import {
  demandSlotsOf,
  divideRoom,
  regionCapacity,
  RoomPlanner,
} from "./room_shares.ts";

const FLOOR = 0.1;
const ROUNDING = 1e-9;

const offers = fc.uniqueArray(
  fc.record({
    priority: fc.nat({ max: 9 }),
    perSecond: fc.double({ min: 0, max: 1_000, noNaN: true }),
    refusedPerSecond: fc.constant(0),
    workMs: fc.double({ min: 1, max: 2_000, noNaN: true }),
  }),
  { selector: ({ priority }) => priority, minLength: 1 },
);
const capacities = fc.double({ min: 0, max: 1_000, noNaN: true });

describe("divided room", () => {
  test("is within the capacity, urgent first, and leaves no priority without", () => {
    fc.assert(fc.property(offers, capacities, (offers, capacitySlots) => {
      const divided = divideRoom({ offers, capacitySlots });
      const used = demandSlotsOf(
        divided.map(({ offer, admitted }) => ({
          ...offer,
          perSecond: offer.perSecond * admitted,
        })),
      );
      expect(used).toBeLessThanOrEqual(
        capacitySlots * (1 + ROUNDING) + ROUNDING,
      );
      const demand = demandSlotsOf(offers);
      const floor = demand === 0 ? 1 : Math.min(FLOOR, capacitySlots / demand);
      let before = 1;
      for (const { admitted } of divided) {
        expect(admitted).toBeLessThanOrEqual(before + ROUNDING);
        expect(admitted).toBeGreaterThanOrEqual(floor - ROUNDING);
        before = admitted;
      }
    }));
  });

  test("leaves none unused that is asked for", () => {
    fc.assert(fc.property(offers, capacities, (offers, capacitySlots) => {
      const demand = demandSlotsOf(offers);
      const used = divideRoom({ offers, capacitySlots })
        .reduce(
          (sum, { offer, admitted }) => sum + demandSlotsOf([offer]) * admitted,
          0,
        );
      expect(used).toBeCloseTo(Math.min(demand, capacitySlots), 6);
    }));
  });
});

test("regions that lack room share what others leave, and no more than that", () => {
  const uses = fc.record({
    capacitySlots: capacities,
    demandSlots: capacities,
  });
  fc.assert(fc.property(fc.array(uses, { minLength: 1 }), (regions) => {
    const given = regions.reduce((sum, own, at) =>
      sum + Math.min(
        own.demandSlots,
        regionCapacity(own, regions.filter((_, other) => other !== at)),
      ), 0);
    const capacity = regions.reduce((sum, one) => sum + one.capacitySlots, 0);
    expect(given).toBeLessThanOrEqual(capacity * (1 + ROUNDING) + ROUNDING);
  }));
});

test("callers of a region without targets get room while all regions are short", () => {
  // All of them would be refused, urgent ones too, while other regions run requests
  // that can wait.
  const full = { capacitySlots: 10, demandSlots: 12 };
  const evacuated = { capacitySlots: 0, demandSlots: 10 };
  const given = regionCapacity(evacuated, [full, full]);
  const mean = 20 / 34;
  expect(given / evacuated.demandSlots).toBeGreaterThanOrEqual(
    mean / 2 - ROUNDING,
  );
});

test("a demand that varies around the capacity doesn't turn shares on and off", () => {
  // With one threshold, every other update would lift the shares, and callers would
  // be refused and admitted in turn.
  const planner = new RoomPlanner();
  const changes = [108, 96, 103, 92, 101, 97, 104].map((perSecond) =>
    planner.plan({
      offers: [{
        priority: 0,
        perSecond,
        refusedPerSecond: 0,
        workMs: 1_000,
      }],
      capacitySlots: 100,
    }, 1_000).length > 0
  );
  expect(changes).toEqual(changes.map(() => true));
});

test("promises of an earlier shortage don't delay returns in the next one", () => {
  // If the calendar stood still between shortages, it would be full at the start.
  const planner = new RoomPlanner();
  const plan = (perSecond: number, refusedPerSecond: number) =>
    planner.plan({
      offers: [{ priority: 0, perSecond, refusedPerSecond, workMs: 1_000 }],
      capacitySlots: 10,
    }, 1_000)[0]?.returnMs;
  const first = plan(12, 0);
  for (let second = 0; second < 10; second++) {
    plan(40, 30);
  }
  for (let second = 0; second < 20; second++) {
    plan(1, 0);
  }
  expect(plan(12, 0)).toBe(first);
});

test("refused callers return spread over the room that they are promised", () => {
  // If all refused callers were told the same time, they would come back together,
  // and most of them would be refused again.
  const calendar = new ReturnCalendar();
  const roomPerSecond = 20;
  const returns: number[] = [];
  for (let now = 0; now < 2_000; now += 100) {
    returns.push(now + calendar.promise({ requests: 5, roomPerSecond }, now));
  }
  for (const at of returns) {
    const within = returns.filter((one) => one >= at && one < at + 1_000);
    expect(within.length * 5).toBeLessThanOrEqual(roomPerSecond * 1.25 + 5);
  }
});
