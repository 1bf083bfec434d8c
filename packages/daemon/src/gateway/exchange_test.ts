import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { ExchangeWorld } from "./exchange_world.ts";

/** More than an attempt holds back until it is whole, in bytes. */
const STREAMED_BYTES = 300_000;

/** Longer than the route of the world gives a request, in milliseconds. */
const TOO_LONG_MS = 1_050;

/** The request's time passes. */
function expire(world: ExchangeWorld): void {
  vi.advanceTimersByTime(TOO_LONG_MS);
  world.checkDeadlines();
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});

afterEach(() => {
  vi.useRealTimers();
});

describe("an exchange", () => {
  // A target fails a read, which is sent to a second target. The read's time
  // passes before that one answers, so its caller gets the failure that is
  // there. Then the second target's connection breaks. If its end answered the
  // caller once more, the process would end with all its requests.
  test("answers once when its time passes during a second attempt", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.start();
    world.sendings[0]!.write();
    world.sendings[0]!.answer({ status: 500 });
    world.sendings[1]!.write();
    expire(world);
    expect(world.statuses).toEqual([500]);
    expect(world.sendings[1]!.isCut).toBe(true);
    world.sendings[1]!.fail();
    expect(world.statuses).toEqual([500]);
    expect(world.ends).toEqual(["answered"]);
  });

  // A target fails a read, and a second one begins a large answer that does not
  // come to its end in time. The failure that is kept must not follow the header of
  // that answer; the caller gets a connection that ends early.
  test("cuts an answer that does not end in time, whatever it kept", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.start();
    world.sendings[0]!.write();
    world.sendings[0]!.answer({ status: 500 });
    world.sendings[1]!.write();
    world.sendings[1]!.begin(STREAMED_BYTES);
    expire(world);
    expect(world.statuses).toEqual([200]);
    expect(world.isCut).toBe(true);
    expect(world.ends).toEqual(["broken"]);
  });

  // A fault in the code that places one request throws. Unguarded, it ends the
  // process, and every caller of the VM loses its request.
  test("ends by itself where its own code fails, and says so in the log", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.fault = new Error("a fault");
    world.start();
    expect(world.statuses).toEqual([502]);
    expect(world.ends).toEqual(["broken"]);
    expect(world.logged).toContain("exchange failed");
  });

  // The same while an attempt is on its way: its target must not go on working
  // for nobody.
  test("breaks its attempt off where its own code fails", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.start();
    world.sendings[0]!.write();
    world.fault = new Error("a fault");
    world.sendings[0]!.answer({ status: 500 });
    expect(world.statuses).toEqual([502]);
    expect(world.openSending).toBeUndefined();
  });

  // A key is taken away while a request by it waits; it would run for somebody who
  // has no right to it any more.
  test("that waits is refused as not run once its key is not known to hold", () => {
    const world = new ExchangeWorld({ repeat: "at-most-once" });
    world.decision = "wait";
    world.start();
    world.refusal = { reason: "accounts-unknown", retryAfterMs: 250 };
    world.decision = "send";
    world.pump();
    expect(world.sendings).toEqual([]);
    expect(world.statuses).toEqual([503]);
  });

  // The same between two attempts.
  test("is not sent again once its key is not known to hold", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.start();
    world.sendings[0]!.write();
    world.refusal = { reason: "unauthenticated", retryAfterMs: undefined };
    world.sendings[0]!.answer({ status: 500 });
    expect(world.sendings).toHaveLength(1);
    expect(world.statuses).toEqual([500]);
  });

  // An account goes beyond its quota: sent on while it is being counted, the request
  // would run all the same.
  test("is not sent before it is counted, nor beyond its account's quota", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.exchange.start();
    world.pump();
    expect(world.sendings).toEqual([]);
    world.counted!({ reason: "over-quota", retryAfterMs: 400 });
    expect(world.sendings).toEqual([]);
    expect(world.statuses).toEqual([429]);
  });

  // Its caller leaves while it is counted; its target would work for nobody.
  test("is not sent where its caller leaves while it is counted", () => {
    const world = new ExchangeWorld({ repeat: "idempotent" });
    world.exchange.start();
    world.exchange.callerClosed();
    world.counted!(undefined);
    expect(world.sendings).toEqual([]);
    expect(world.ends).toEqual(["caller-gone"]);
    expect(world.uncounted).toBe(1);
  });

  // Its account would lose a part of its quota to a request that nobody ran.
  test("gives its count back where it never ran, and only then", () => {
    const refused = new ExchangeWorld({ repeat: "idempotent" });
    refused.decision = "refuse";
    refused.start();
    expect(refused.uncounted).toBe(1);
    const answered = new ExchangeWorld({ repeat: "idempotent" });
    answered.start();
    answered.sendings[0]!.write();
    answered.sendings[0]!.answer({ status: 200 });
    expect(answered.uncounted).toBe(0);
  });

  const act = fc.constantFrom<(world: ExchangeWorld) => void>(
    (world) => world.openSending?.write(),
    (world) => {
      if (world.openSending?.isWritten) {
        world.openSending.answer({ status: 200 });
      }
    },
    (world) => {
      if (world.openSending?.isWritten) {
        world.openSending.answer({ status: 200 }, STREAMED_BYTES);
      }
    },
    (world) => {
      if (world.openSending?.isWritten) {
        world.openSending.begin(STREAMED_BYTES);
      }
    },
    (world) => {
      if (world.openSending?.isWritten) {
        world.openSending.answer({ status: 500 });
      }
    },
    (world) => {
      if (world.openSending?.isWritten) {
        world.openSending.answer({ status: 500, isUnframed: true });
      }
    },
    (world) => {
      if (world.openSending?.isWritten) {
        world.openSending.answer({ status: 503, notRun: true });
      }
    },
    (world) => world.openSending?.fail(),
    (world) => world.sendings[0]?.fail(),
    expire,
    (world) => world.exchange.callerClosed(),
    (world) => world.pump(),
    (world) => world.exchange.bodyMalformed(),
    (world) => world.exchange.bodyTooLarge(),
    (world) => world.decision = "wait",
    (world) => world.decision = "send",
    (world) => world.decision = "refuse",
    (world) => world.fault = new Error("a fault"),
    (world) =>
      world.refusal = { reason: "accounts-unknown", retryAfterMs: 250 },
  );

  // Whatever comes in whatever order: one answer, one end, no open attempt behind
  // it, and nothing thrown into the event loop.
  test("ends exactly once in any order of events", () => {
    fc.assert(
      fc.property(
        fc.constantFrom("idempotent" as const, "at-most-once" as const),
        fc.boolean(),
        fc.array(act, { maxLength: 12 }),
        (repeat, isPipelined, acts) => {
          const world = new ExchangeWorld({ repeat, isPipelined });
          world.start();
          acts.forEach((one) => one(world));
          expire(world);
          expect(world.statuses.length).toBeLessThanOrEqual(1);
          expect(world.ends).toHaveLength(1);
          expect(world.openSending).toBeUndefined();
          if (world.ends[0] === "answered") {
            expect(world.statuses).toHaveLength(1);
          }
        },
      ),
      { numRuns: 6_000 },
    );
  });

  // An order that may have reached a target is never sent again.
  test("writes an order at most once unless its target says that it did not run", () => {
    fc.assert(
      fc.property(fc.array(act, { maxLength: 12 }), (acts) => {
        const world = new ExchangeWorld({ repeat: "at-most-once" });
        world.start();
        const refusesOnly = acts.filter((one) =>
          !String(one).includes("notRun")
        );
        refusesOnly.forEach((one) => one(world));
        const written = world.sendings.filter(({ isWritten }) => isWritten);
        expect(written.length).toBeLessThanOrEqual(1);
      }),
      { numRuns: 1_000 },
    );
  });
});
