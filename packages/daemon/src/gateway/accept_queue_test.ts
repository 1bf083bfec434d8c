/**
 * The bound on how long connections have waited to be accepted.
 *
 * @module
 */

import { expect, test } from "vitest";
import { AcceptQueue } from "./accept_queue.ts";

test("the wait grows while each turn accepts a connection", () => {
  const queue = new AcceptQueue();
  for (let now = 0; now < 400; now += 10) {
    queue.accepted(now);
    expect(queue.maxWaitMs(now)).toBe(now);
    queue.turnEnded();
    expect(queue.isWatched).toBe(true);
  }
});

test("a turn without a connection shows that none waits", () => {
  const queue = new AcceptQueue();
  queue.accepted(0);
  queue.turnEnded();
  queue.turnEnded();
  expect(queue.isWatched).toBe(false);
  queue.accepted(500);
  expect(queue.maxWaitMs(500)).toBe(0);
});

test("a connection to itself that is accepted shows that older ones were accepted", () => {
  // Guards against refusals of requests that waited for a moment in a queue that stands for long.
  const queue = new AcceptQueue();
  const probes: number[] = [];
  for (let now = 0; now < 1_000; now += 10) {
    queue.accepted(now);
    queue.turnEnded();
    if (queue.takeDueProbe(now)) {
      probes.push(now);
    }
    if (now - (probes[0] ?? Infinity) >= 50) {
      queue.probeAccepted(probes.shift()!);
    }
  }
  expect(queue.maxWaitMs(1_000)).toBeLessThan(200);
});
