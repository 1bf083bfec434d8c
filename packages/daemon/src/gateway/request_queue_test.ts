/**
 * Tests of the wait queues.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { ServiceId } from "@poplarthread/ids";
import {
  type Placeable,
  RequestQueue,
  type WaitReason,
} from "./request_queue.ts";

/** A request that waits until `hasRoom`, and counts the attempts to place it. */
class WaitingRequest implements Placeable {
  readonly service = "portal" as ServiceId;
  readonly objectiveAt = 1_000;
  readonly account = undefined;
  readonly priority: number;
  placementAttempts = 0;
  hasRoom = false;
  /** The `ahead` of the latest attempt. */
  ahead = 0;
  readonly waitsFor: WaitReason;

  constructor(priority = 0, waitsFor: WaitReason = "capacity") {
    this.priority = priority;
    this.waitsFor = waitsFor;
  }

  tryPlace(_now: number, ahead: number): boolean {
    this.placementAttempts += 1;
    this.ahead = ahead;
    return !this.hasRoom;
  }
}

function queueOf(requests: readonly WaitingRequest[]): RequestQueue {
  const queue = new RequestQueue();
  requests.forEach((one) => queue.add(one, 0));
  requests.forEach((one) => one.placementAttempts = 0);
  return queue;
}

describe("waiting requests", () => {
  test("are not all tried each time a request ends", () => {
    // A burst leaves 100 requests waiting while 200 end each second. Trying to place
    // all waiting requests at each end uses up the VM's processor share, so that it
    // notices a second late that callers have disconnected, and sends their requests
    // to targets.
    const requests = Array.from({ length: 100 }, () => new WaitingRequest());
    const queue = queueOf(requests);
    queue.placeWaiting("portal" as ServiceId, 10);
    const placementAttempts = requests.reduce(
      (sum, one) => sum + one.placementAttempts,
      0,
    );
    expect(placementAttempts).toBeLessThan(10);
  });

  test("are all tried by retryAll, so that none waits too long", () => {
    const requests = Array.from({ length: 100 }, () => new WaitingRequest());
    const queue = queueOf(requests);
    queue.retryAll(10);
    expect(requests.every(({ placementAttempts }) => placementAttempts === 1))
      .toBe(
        true,
      );
  });

  test("are placed by priority once there is room", () => {
    const read = new WaitingRequest(2);
    const purchase = new WaitingRequest(0);
    const queue = queueOf([read, purchase]);
    purchase.hasRoom = true;
    queue.placeWaiting("portal" as ServiceId, 10);
    expect(queue.size).toBe(1);
    read.hasRoom = true;
    queue.placeWaiting("portal" as ServiceId, 20);
    expect(queue.size).toBe(0);
  });
});

test("requests that wait for homes are all placed when these become known, and no others are tried", () => {
  // Behind six requests that wait for a slot, they would stay in the queue although
  // their own homes are idle.
  const others = Array.from({ length: 10 }, () => new WaitingRequest());
  const awaiting = Array.from(
    { length: 3 },
    () => new WaitingRequest(1, "homes"),
  );
  const queue = queueOf([...others, ...awaiting]);
  awaiting.forEach((request) => request.hasRoom = true);
  queue.placeAwaitingHomes("portal" as ServiceId, 0);
  expect(queue.size).toBe(others.length);
  expect(others.every(({ placementAttempts }) => placementAttempts === 0))
    .toBe(true);
});

test.each(
  [
    // An owner that does not answer would hold up requests whose homes are known, and
    // requests that are done waiting for it would stay behind those that wait for a slot.
    ["homes", "capacity"],
    ["capacity", "homes"],
    // A long request would hold up those of other connections.
    ["earlier-response", "capacity"],
    ["capacity", "earlier-response"],
  ] as const,
)(
  "requests that wait for %s do not keep those that wait for %s from being placed",
  (reason, otherReason) => {
    const stuck = Array.from(
      { length: 10 },
      () => new WaitingRequest(0, reason),
    );
    const ready = new WaitingRequest(1, otherReason);
    const queue = queueOf([...stuck, ready]);
    ready.hasRoom = true;
    queue.placeWaiting("portal" as ServiceId, 10);
    expect(queue.size).toBe(stuck.length);
    const attempts = stuck.map(({ placementAttempts }) => placementAttempts);
    expect(attempts.reduce((sum, count) => sum + count)).toBeLessThan(10);
  },
);

test("a request that waits for an earlier response takes no capacity before others", () => {
  // Others would be refused for lack of room.
  const held = new WaitingRequest(0, "earlier-response");
  const queue = queueOf([held]);
  const next = new WaitingRequest(1);
  queue.add(next, 0);
  expect(next.ahead).toBe(0);
  queue.placeWaiting("portal" as ServiceId, 10);
  expect(next.ahead).toBe(0);
});
