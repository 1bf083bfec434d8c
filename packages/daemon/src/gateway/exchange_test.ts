import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { ExchangeHarness } from "./exchange_harness.ts";

/** Larger than the responses that an attempt buffers. */
const STREAMED_BYTES = 300_000;

/** Longer than the timeout of the harness's route. */
const PAST_TIMEOUT_MS = 1_050;

/** Lets the request's deadline pass. */
function expire(harness: ExchangeHarness): void {
  vi.advanceTimersByTime(PAST_TIMEOUT_MS);
  harness.checkDeadlines();
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});

afterEach(() => {
  vi.useRealTimers();
});

describe("an exchange", () => {
  // A target responds 500 to a read, which is retried at a second target. The
  // deadline passes during the second attempt, so the caller gets the 500. Then the
  // second target's connection breaks: replying once more would throw and end the
  // process with all its requests.
  test("responds once when its deadline passes during a second attempt", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.attempts[0]!.respond({ status: 500 });
    harness.attempts[1]!.write();
    expire(harness);
    expect(harness.statuses).toEqual([500]);
    expect(harness.attempts[1]!.isAborted).toBe(true);
    harness.attempts[1]!.fail();
    expect(harness.statuses).toEqual([500]);
    expect(harness.ends).toEqual(["answered"]);
  });

  // A target responds 500 to a read, and a second one begins a large response that
  // does not end before the deadline. The stored 500 must not follow the header of
  // that response; the caller's connection is destroyed instead.
  test("destroys the connection when a streamed response does not end in time, despite a stored error response", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.attempts[0]!.respond({ status: 500 });
    harness.attempts[1]!.write();
    harness.attempts[1]!.beginResponse(STREAMED_BYTES);
    expire(harness);
    expect(harness.statuses).toEqual([200]);
    expect(harness.isDestroyed).toBe(true);
    expect(harness.ends).toEqual(["broken"]);
  });

  // Sent to a target, it would be cut when the process ends.
  test("refuses a request that waits when the stop may cut it", () => {
    const harness = new ExchangeHarness({ repeat: "at-most-once" });
    harness.decision = "wait";
    harness.start();
    harness.plannedStop.begin(performance.now());
    harness.placeWaiting();
    expect(harness.statuses).toEqual([503]);
    expect(harness.attempts).toEqual([]);
    expect(harness.ends).toEqual(["leaving"]);
  });

  // Its account would pay for a request that no target ever sees.
  test("uncounts a request that is refused on arrival", () => {
    const harness = new ExchangeHarness({ repeat: "at-most-once" });
    harness.roomRefusal = {
      kind: "refuse",
      reason: "overload",
      retryAfterMs: 100,
    };
    harness.start();
    expect(harness.statuses).toEqual([503]);
    expect(harness.attempts).toEqual([]);
    expect(harness.uncounted).toBe(1);
  });

  // A target that is not the one meant would get the request again.
  test.each([
    { name: "lacked room", isOtherTarget: false, tried: 0 },
    { name: "is another one", isOtherTarget: true, tried: 1 },
  ])("excludes $tried targets after one that $name", (refusal) => {
    const harness = new ExchangeHarness({ repeat: "at-most-once" });
    harness.mayTryAgain = true;
    harness.start();
    harness.attempts[0]!.write();
    const { isOtherTarget } = refusal;
    harness.attempts[0]!.respond({ status: 503, notRun: true, isOtherTarget });
    expect(harness.attempts.length).toBe(2);
    expect(harness.tried.size).toBe(refusal.tried);
  });

  // The code that places one request throws. Uncaught, the exception would end the
  // process, and every caller of the VM would lose its request.
  test("replies 502 and logs the error when its own code throws", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.fault = new Error("a fault");
    harness.start();
    expect(harness.statuses).toEqual([502]);
    expect(harness.ends).toEqual(["broken"]);
    expect(harness.loggedEvents).toContain("exchange failed");
  });

  // The same during an attempt: its target must not keep working for no caller.
  test("abandons its attempt when its own code throws", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.fault = new Error("a fault");
    harness.attempts[0]!.respond({ status: 500 });
    expect(harness.statuses).toEqual([502]);
    expect(harness.openAttempt).toBeUndefined();
  });

  // A key is revoked while a request with that key waits. Sent on, the request would
  // run for a caller that is no longer authorized.
  test("that waits is refused as not run once its key can no longer be verified", () => {
    const harness = new ExchangeHarness({ repeat: "at-most-once" });
    harness.decision = "wait";
    harness.start();
    harness.refusal = { reason: "accounts-unknown", retryAfterMs: 250 };
    harness.decision = "send";
    harness.placeWaiting();
    expect(harness.attempts).toEqual([]);
    expect(harness.statuses).toEqual([503]);
  });

  // Retries that wait and are sent together would exceed the bound over all VMs.
  test("is not retried once the retry budget no longer allows what waited", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.decision = "wait";
    harness.attempts[0]!.respond({ status: 500 });
    harness.decision = "send";
    harness.maySendRetry = false;
    harness.placeWaiting();
    expect(harness.attempts.length).toBe(1);
    expect(harness.statuses).toEqual([500]);
    expect(harness.releasedRetries).toBe(0);
  });

  // A retry that is never sent would be missing to the other requests of the VM.
  test("gives its retry back if it ends while it waits for one", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.decision = "wait";
    harness.attempts[0]!.respond({ status: 500 });
    harness.exchange.callerClosed();
    expect(harness.attempts.length).toBe(1);
    expect(harness.releasedRetries).toBe(1);
  });

  // Given back twice, it would be sent by two other requests.
  test("gives no retry back that was sent", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.attempts[0]!.respond({ status: 500 });
    harness.attempts[1]!.write();
    harness.attempts[1]!.respond({ status: 200 });
    expect(harness.statuses).toEqual([200]);
    expect(harness.releasedRetries).toBe(0);
  });

  // The same between two attempts.
  test("is not retried once its key is no longer valid", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    harness.refusal = { reason: "unauthenticated", retryAfterMs: undefined };
    harness.attempts[0]!.respond({ status: 500 });
    expect(harness.attempts).toHaveLength(1);
    expect(harness.statuses).toEqual([500]);
  });

  // An account exceeds its quota. If the request were sent during the quota check, it
  // would run all the same.
  test("is not sent before the quota check, nor beyond its account's quota", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.exchange.start();
    harness.placeWaiting();
    expect(harness.attempts).toEqual([]);
    harness.onCounted!({ reason: "over-quota", retryAfterMs: 400 });
    expect(harness.attempts).toEqual([]);
    expect(harness.statuses).toEqual([429]);
  });

  // An account far beyond its quota would otherwise make its objects look busy, which
  // takes homes from the objects of others.
  test("counts for the homes of objects only within its account's quota", () => {
    const refused = new ExchangeHarness({ repeat: "idempotent" });
    refused.exchange.start();
    refused.onCounted!({ reason: "over-quota", retryAfterMs: 400 });
    expect(refused.admitted).toEqual([]);
    const admitted = new ExchangeHarness({ repeat: "idempotent" });
    admitted.exchange.start();
    admitted.onCounted!(undefined);
    expect(admitted.admitted).toHaveLength(1);
  });

  // The caller disconnects during the quota check; a target would work for no caller.
  test("is not sent if its caller disconnects during the quota check", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.exchange.start();
    harness.exchange.callerClosed();
    harness.onCounted!(undefined);
    expect(harness.attempts).toEqual([]);
    expect(harness.ends).toEqual(["caller-gone"]);
    expect(harness.uncounted).toBe(1);
  });

  // Otherwise the account would lose quota to a request that did not run.
  test("is uncounted from the quota if it never ran, and only then", () => {
    const refused = new ExchangeHarness({ repeat: "idempotent" });
    refused.decision = "refuse";
    refused.start();
    expect(refused.uncounted).toBe(1);
    const answered = new ExchangeHarness({ repeat: "idempotent" });
    answered.start();
    answered.attempts[0]!.write();
    answered.attempts[0]!.respond({ status: 200 });
    expect(answered.uncounted).toBe(0);
  });

  const event = fc.constantFrom<(harness: ExchangeHarness) => void>(
    (harness) => harness.openAttempt?.write(),
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.respond({ status: 200 });
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.respond({ status: 200 }, STREAMED_BYTES);
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.beginResponse(STREAMED_BYTES);
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.respond({ status: 500 });
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.respond({ status: 500, isUnframed: true });
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.respond({ status: 503, notRun: true });
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.beginResponse(100_000);
      }
    },
    (harness) => {
      if (harness.openAttempt?.isWritten) {
        harness.openAttempt.respond({ status: 500 }, 100_000);
      }
    },
    (harness) => harness.isBlocked = true,
    (harness) => harness.drain(),
    (harness) => harness.openAttempt?.fail(),
    (harness) => harness.attempts[0]?.fail(),
    expire,
    (harness) => harness.exchange.callerClosed(),
    (harness) => harness.placeWaiting(),
    (harness) => harness.exchange.bodyMalformed(),
    (harness) => harness.exchange.bodyTooLarge(),
    (harness) => harness.decision = "wait",
    (harness) => harness.decision = "send",
    (harness) => harness.decision = "refuse",
    (harness) => harness.fault = new Error("a fault"),
    (harness) =>
      harness.refusal = { reason: "accounts-unknown", retryAfterMs: 250 },
  );

  // For any events in any order: at most one response, exactly one end, no attempt
  // left open, and no exception thrown into the event loop.
  test("ends exactly once in any order of events", () => {
    fc.assert(
      fc.property(
        fc.constantFrom("idempotent" as const, "at-most-once" as const),
        fc.boolean(),
        fc.array(event, { maxLength: 12 }),
        (repeat, isPipelined, events) => {
          const harness = new ExchangeHarness({ repeat, isPipelined });
          harness.budget.setTotal(1e6);
          harness.budget.open("r").recordSize(90_000);
          harness.start();
          events.forEach((apply) => apply(harness));
          expire(harness);
          harness.drain();
          expect(harness.statuses.length).toBeLessThanOrEqual(1);
          expect(harness.ends).toHaveLength(1);
          expect(harness.openAttempt).toBeUndefined();
          expect(harness.budget.heldBytes).toBe(0);
          expect(harness.budget.freeBytes).toBe(1e6);
          if (harness.ends[0] === "answered") {
            expect(harness.statuses).toHaveLength(1);
          }
        },
      ),
      { numRuns: 6_000 },
    );
  });

  // An at-most-once request that may have reached a target must never be sent again.
  test("writes an at-most-once request only once unless its target reports that it did not run", () => {
    fc.assert(
      fc.property(fc.array(event, { maxLength: 12 }), (events) => {
        const harness = new ExchangeHarness({ repeat: "at-most-once" });
        harness.start();
        const withoutNotRun = events.filter((apply) =>
          !String(apply).includes("notRun")
        );
        withoutNotRun.forEach((apply) => apply(harness));
        const written = harness.attempts.filter(({ isWritten }) => isWritten);
        expect(written.length).toBeLessThanOrEqual(1);
      }),
      { numRuns: 1_000 },
    );
  });
});

describe("a large response", () => {
  /** Starts an idempotent request and its first attempt. */
  function sent(): ExchangeHarness {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.start();
    harness.attempts[0]!.write();
    return harness;
  }

  // All of the response is on this VM, its caller reads slowly, and the deadline passes.
  // A cut would throw away work that is done.
  test("is delivered after the deadline once it is complete", () => {
    const harness = sent();
    harness.isBlocked = true;
    harness.attempts[0]!.beginResponse(STREAMED_BYTES);
    harness.attempts[0]!.endResponse();
    expire(harness);
    expect(harness.ends).toEqual([]);
    harness.drain();
    expect(harness.ends).toEqual(["answered"]);
    expect(harness.isDestroyed).toBe(false);
    expect(harness.budget.heldBytes).toBe(0);
  });

  // The target stops in the middle of a streamed response, or cuts it as unread. What the
  // caller has got must not look complete.
  test("destroys the caller's connection if its target breaks off", () => {
    const harness = sent();
    harness.attempts[0]!.beginResponse(STREAMED_BYTES);
    harness.attempts[0]!.fail();
    expect(harness.isDestroyed).toBe(true);
    expect(harness.exchange.summary.delivery).toMatchObject({
      mode: "streamed",
      isCut: true,
    });
  });

  // A caller disconnects during a streamed response. Its target would keep working for
  // nobody, and the memory would stay taken.
  test("ends the target's work and frees the memory when its caller disconnects", () => {
    const harness = sent();
    harness.isBlocked = true;
    harness.attempts[0]!.beginResponse(STREAMED_BYTES);
    harness.exchange.callerClosed();
    expect(harness.attempts[0]!.isAborted).toBe(true);
    expect(harness.budget.heldBytes).toBe(0);
    expect(harness.budget.freeBytes).toBe(harness.budget.totalBytes);
  });

  // A caller reads nothing and there is no memory to read ahead: its target is paused for
  // long. That must not count as the target's silence, nor keep its slot from others.
  test("counts its target's work as done while the target is paused", () => {
    const harness = sent();
    harness.budget.setTotal(STREAMED_BYTES);
    harness.isBlocked = true;
    harness.attempts[0]!.beginResponse(STREAMED_BYTES);
    expect(harness.reportedEnds).toEqual(["answered"]);
    harness.attempts[0]!.fail();
    expect(harness.reportedEnds).toEqual(["answered"]);
    expect(harness.ends).toEqual(["broken"]);
  });

  // No memory is left for buffering. Buffered all the same, the VM would be killed.
  test("is streamed at once when the memory is used up, unless it is an error response", () => {
    const harness = sent();
    harness.budget.setTotal(0);
    harness.attempts[0]!.beginResponse(100_000);
    expect(harness.statuses).toEqual([200]);
    const failing = sent();
    failing.budget.setTotal(0);
    failing.attempts[0]!.respond({ status: 500 }, 100_000);
    expect(failing.statuses).toEqual([]);
    expect(failing.attempts).toHaveLength(2);
  });

  // Not even streaming has room. Sent all the same, the response would have to wait at its
  // target, which cuts it off.
  test("is refused as not run before it is sent when there is no room for it", () => {
    const harness = new ExchangeHarness({ repeat: "idempotent" });
    harness.budget.open("r").recordSize(90_000);
    harness.budget.setTotal(0);
    harness.start();
    expect(harness.attempts).toEqual([]);
    expect(harness.ends).toEqual(["memory-used-up"]);
    expect(harness.statuses).toEqual([503]);
  });
});
