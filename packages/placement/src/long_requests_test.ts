/**
 * Requests that run for about as long as the timeout for unresponsive targets.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import type { Steering } from "./steering.ts";
import { requestFor, steeringIn, targetOf, targetsIn } from "./testing.ts";

/** Deadline of the callers' requests. */
const DEADLINE_MS = 6_000;
/** How often targets are checked. */
const CHECK_INTERVAL_MS = 200;

interface Load {
  /** Service time of a request. */
  readonly runMs: number;
  /** Time between requests. */
  readonly everyMs: number;
  readonly untilMs: number;
  /** The target that sends no responses from `at` on. */
  readonly unresponsive?: { readonly id: TargetId; readonly at: number };
}

/**
 * Simulates requests for distinct objects; returns which targets were taken out of
 * use, and when.
 */
function run(
  steering: Steering,
  { runMs, everyMs, untilMs, unresponsive }: Load,
): readonly { readonly id: TargetId; readonly at: number }[] {
  const takenOut: { id: TargetId; at: number }[] = [];
  const running: { id: TargetId; sentAt: number }[] = [];
  for (let now = 0; now <= untilMs; now += 10) {
    if (now % everyMs === 0) {
      const request = requestFor(`object-${now}`, { now });
      const decision = steering.place(request, { now, ahead: 0 });
      if (decision.kind === "send") {
        const id = targetOf(decision);
        steering.sent(id, now);
        steering.written(id, now);
        running.push({ id, sentAt: now });
      }
    }
    for (const run of running.filter(({ sentAt }) => now - sentAt === runMs)) {
      const isUnresponsive = run.id === unresponsive?.id &&
        now >= unresponsive.at;
      if (!isUnresponsive) {
        steering.ended(run.id, {
          kind: "answered",
          load: { running: 1, waiting: 0, slots: 3 },
          failed: false,
          object: undefined,
          requestKind: "view",
          warmth: "unwarmed",
        }, { now, writtenAt: run.sentAt });
      }
    }
    if (now % CHECK_INTERVAL_MS === 0) {
      steering.findUnresponsive(now).forEach((id) =>
        takenOut.push({ id, at: now })
      );
    }
  }
  return takenOut;
}

describe("targets whose requests take 1.9 s", () => {
  test("are not considered unresponsive, from the first request on", () => {
    // Requests on uncached objects take 1.9 s. If working targets were taken out
    // after 1.3 s, the next requests would take as long on other targets, and
    // callers would wait while healthy targets are considered unresponsive.
    const steering = steeringIn("north", targetsIn("north", 12));
    const takenOut = run(steering, {
      runMs: 1_900,
      everyMs: 100,
      untilMs: 20_000,
    });
    expect(takenOut).toEqual([]);
  });

  test("are found unresponsive before the deadline of the requests sent there", () => {
    // A target loses power. Until it is found unresponsive, requests are sent
    // there, and each of them fails at its deadline.
    const targets = targetsIn("north", 12);
    const steering = steeringIn("north", targets);
    const unresponsive = { id: targets[3]!.id, at: 6_000 };
    const takenOut = run(steering, {
      runMs: 1_900,
      everyMs: 100,
      untilMs: 14_000,
      unresponsive,
    });
    expect(takenOut.map(({ id }) => id)).toEqual([unresponsive.id]);
    expect(takenOut[0]!.at - unresponsive.at).toBeLessThan(DEADLINE_MS);
  });
});

test("an unresponsive target of a fast service is found after the minimum time", () => {
  const targets = targetsIn("north", 6);
  const steering = steeringIn("north", targets);
  const unresponsive = { id: targets[3]!.id, at: 3_000 };
  const takenOut = run(steering, {
    runMs: 200,
    everyMs: 50,
    untilMs: 6_000,
    unresponsive,
  });
  expect(takenOut.map(({ id }) => id)).toEqual([unresponsive.id]);
  expect(takenOut[0]!.at - unresponsive.at).toBeLessThan(
    1_300 + 2 * CHECK_INTERVAL_MS,
  );
});
