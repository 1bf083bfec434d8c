/**
 * Requests that wait for room.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { ServiceId } from "@poplarthread/ids";
import { type Placeable, RequestQueue } from "./request_queue.ts";

/** A request that waits until `hasRoom`, and counts how often it was asked. */
class WaitingRequest implements Placeable {
  readonly service = "portal" as ServiceId;
  readonly aimAt = 1_000;
  readonly account = undefined;
  readonly priority: number;
  asked = 0;
  hasRoom = false;

  constructor(priority = 0) {
    this.priority = priority;
  }

  tryPlace(): boolean {
    this.asked += 1;
    return !this.hasRoom;
  }
}

function queueOf(requests: readonly WaitingRequest[]): RequestQueue {
  const queue = new RequestQueue();
  requests.forEach((one) => queue.add(one, 0));
  requests.forEach((one) => one.asked = 0);
  return queue;
}

describe("waiting requests", () => {
  test("are not all asked each time that one request ends", () => {
    // A burst lets a hundred requests wait, and two hundred end each second. Asking
    // all that wait at each end takes the VM's whole processor share, so that it
    // sees a second late that callers have left, and sends their requests on.
    const requests = Array.from({ length: 100 }, () => new WaitingRequest());
    const queue = queueOf(requests);
    queue.pump("portal" as ServiceId, 10);
    const asked = requests.reduce((sum, one) => sum + one.asked, 0);
    expect(asked).toBeLessThan(10);
  });

  test("are all asked by a review, so that none waits too long", () => {
    const requests = Array.from({ length: 100 }, () => new WaitingRequest());
    const queue = queueOf(requests);
    queue.review(10);
    expect(requests.every(({ asked }) => asked === 1)).toBe(true);
  });

  test("go by their rank once there is room", () => {
    const read = new WaitingRequest(2);
    const purchase = new WaitingRequest(0);
    const queue = queueOf([read, purchase]);
    purchase.hasRoom = true;
    queue.pump("portal" as ServiceId, 10);
    expect(queue.size).toBe(1);
    read.hasRoom = true;
    queue.pump("portal" as ServiceId, 20);
    expect(queue.size).toBe(0);
  });
});
