/**
 * When a target is taken out of use, and when it is used again.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { TargetHealth } from "./target_health.ts";
import { TargetLoad } from "./target_load.ts";

describe("a target that stops responding", () => {
  test("is not used while its requests hang, and is used again after a successful probe", () => {
    // A target loses power and its connections stay open. If it stayed in use, each
    // request sent there would wait for its full timeout while other targets are
    // idle.
    const health = new TargetHealth();
    health.sent(0);
    health.sent(100);
    expect(health.detectUnresponsive(1_000, { waitMs: 200, longMs: 400 })).toBe(
      false,
    );
    expect(health.detectUnresponsive(1_600, { waitMs: 200, longMs: 400 })).toBe(
      true,
    );
    expect(health.state).toBe("unresponsive");
    expect(health.probeDue(1_600)).toBe(true);
    expect(health.probeDue(1_700)).toBe(false);
    expect(health.probeDue(1_900)).toBe(true);
    health.probeSucceeded(2_000);
    expect(health.state).toBe("in-use");
  });

  test("is distinguished from a slow one", () => {
    const health = new TargetHealth();
    health.sent(0);
    health.sent(10);
    health.responded(0, { now: 1_200, failed: false });
    expect(health.detectUnresponsive(2_000, { waitMs: 200, longMs: 400 })).toBe(
      false,
    );
  });

  test("is not assumed without pending requests", () => {
    const health = new TargetHealth();
    health.sent(0);
    health.removePending(0);
    expect(health.detectUnresponsive(60_000, { waitMs: 0, longMs: 400 })).toBe(
      false,
    );
  });
});

describe("a target that refuses connections", () => {
  test("is not used, and is probed soon, then less often", () => {
    const health = new TargetHealth();
    health.markUnreachable(0);
    expect(health.state).toBe("unreachable");
    const probes = [];
    for (let now = 0; now < 4_000; now += 10) {
      if (health.probeDue(now)) {
        probes.push(now);
      }
    }
    expect(probes).toMatchInlineSnapshot(`
      [
        250,
        500,
        1000,
        2000,
        3000,
      ]
    `);
  });
});

describe("a target that fails part of its requests", () => {
  test("has a higher failure share, which decays soon", () => {
    // The target's health check succeeds, but it refuses half of its requests. As
    // it responds fast, it appears idle and would get most requests if failures
    // didn't count.
    const health = new TargetHealth();
    for (let now = 0; now < 1_000; now += 50) {
      health.sent(now);
      health.responded(now, { now: now + 1, failed: now % 100 === 0 });
    }
    expect(health.failureShare(1_000)).toBeGreaterThan(0.3);
    expect(health.failureShare(10_000)).toBeLessThan(0.02);
  });
});

describe("the load of a target", () => {
  test("includes the other VMs' requests from its reports", () => {
    const load = new TargetLoad();
    load.sent();
    load.sent();
    load.ended();
    load.reported({ running: 3, waiting: 4, slots: 3 }, 0);
    expect(load.inFlight(0)).toBe(7);
    expect(load.waitMs(0, { slots: 3, serviceMs: 150 })).toBe(250);
  });

  test("does not count requests from an old report", () => {
    const load = new TargetLoad();
    load.reported({ running: 3, waiting: 9, slots: 3 }, 0);
    expect(load.inFlight(5_000)).toBeLessThan(1);
  });
});
