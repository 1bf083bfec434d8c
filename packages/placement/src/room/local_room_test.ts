/**
 * Room as one VM sees it from the queues that targets report.
 *
 * @module
 */

import { expect, test } from "vitest";
import { LocalRoom } from "./local_room.ts";

const SLOTS = 3;
const BURST_MS = 4_000;
const STEP_MS = 100;

/** A room that admits less, as targets have long queues. */
function roomAfterBurst(): LocalRoom {
  const room = new LocalRoom();
  for (let now = 0; now <= BURST_MS; now += STEP_MS) {
    room.arrived(0, now);
    room.offered(0, 1, now);
    room.reported({ running: SLOTS, waiting: 3 * SLOTS, slots: SLOTS }, now);
    room.shares(now);
  }
  expect(room.shares(BURST_MS)[0]?.admitted).toBeLessThan(0.5);
  return room;
}

test("shares of a burst are over after a time without reports", () => {
  // Without requests there are no reports: the first requests after a quiet time
  // would be refused for a shortage that ended long ago.
  const room = roomAfterBurst();
  const later = BURST_MS + 60_000;
  room.arrived(0, later);
  expect(room.shares(later)).toEqual([]);
});

test("a VM with few requests admits all again as soon as one with many", () => {
  // If each adjustment counted the same, a VM with a report a second would refuse
  // most of its callers for a minute while targets are idle.
  const liftedAfterMs = (intervalMs: number): number => {
    const room = roomAfterBurst();
    let now = BURST_MS;
    while (room.shares(now).length > 0) {
      now += intervalMs;
      room.reported({ running: 1, waiting: 0, slots: SLOTS }, now);
    }
    return now - BURST_MS;
  };
  expect(liftedAfterMs(1_000)).toBeLessThan(liftedAfterMs(STEP_MS) + 3_000);
});
