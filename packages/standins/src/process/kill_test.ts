import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import {
  BOOKING,
  expectNoViolations,
  TEST_TIMEOUT_MS,
  withCluster,
  withWorkMs,
} from "./fixture.ts";

/** Steps of a booking at which its VM is killed: the store's delay, the work's duration, and the time of the kill. */
const KILL_CASES = [
  {
    step: "while it is claimed",
    storeDelayMs: 600,
    workMs: 30,
    killAfterMs: 300,
  },
  {
    step: "while a target runs it",
    storeDelayMs: 0,
    workMs: 1_500,
    killAfterMs: 700,
  },
  {
    step: "while its response is stored",
    storeDelayMs: 600,
    workMs: 200,
    killAfterMs: 1_100,
  },
  {
    step: "after its response was sent",
    storeDelayMs: 0,
    workMs: 30,
    killAfterMs: 1_000,
  },
];

// A VM is killed while it handles bookings. Their callers see the connection break,
// cannot know whether the booking was made, and repeat it through another VM. If the
// repeat ran as a new booking, the bank would have booked twice.
test.each(KILL_CASES)(
  "a booking whose VM is killed $step runs at most once, even if it is repeated",
  async ({ storeDelayMs, workMs, killAfterMs }) => {
    await withCluster(async (fixture) => {
      const { cluster, vms } = fixture;
      const [first, second] = vms as [string, string];
      const caller = fixture.createCaller(second);
      await caller.send(BOOKING);
      await cluster.setPlatformFaults({ delayMs: storeDelayMs });
      const sent = Array.from(
        { length: 8 },
        () =>
          caller.send(withWorkMs(BOOKING, workMs), {
            via: cluster.callerAddress(first),
            maxAttempts: 3,
          }),
      );
      await sleep(killAfterMs);
      cluster.daemon(first).signal("SIGKILL");
      const results = await Promise.all(sent);
      await cluster.setPlatformFaults({ delayMs: 0 });
      const outcomes = new Set(results.map(({ outcome }) => outcome));
      expect(
        [...outcomes].filter((outcome) =>
          outcome !== "served" && outcome !== "unknown"
        ),
      )
        .toEqual([]);
      // A booking that was served must not be refused when it is repeated later.
      const repeats = await Promise.all(
        results.map(({ key }) =>
          caller.send(withWorkMs(BOOKING, workMs), { key, maxAttempts: 1 })
        ),
      );
      const lost = results.filter(({ outcome }, index) =>
        outcome === "served" && repeats[index]!.outcome === "refused"
      );
      expect(lost).toEqual([]);
      await expectNoViolations(fixture);
    });
  },
  TEST_TIMEOUT_MS,
);
