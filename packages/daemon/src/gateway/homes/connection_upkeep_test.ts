/**
 * Connections that are kept open to distant homes.
 *
 * @module
 */

import { beforeEach, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import type { ConnectionTarget } from "../connection.ts";
import { ConnectionUpkeep, UPKEEP_TICK_MS } from "./connection_upkeep.ts";

const ROUND_TRIP_MS = 110;
/** Idle timeout of the pool's connections. */
const IDLE_TIMEOUT_MS = 8_000;

let now = 0;
let homes: number[] = [];
/** Whether targets respond to what is sent on a connection. */
let isResponding = true;
let refreshed: TargetId[] = [];
const usedAt = new Map<TargetId, number>();

function targetOf(hash: number): ConnectionTarget {
  return {
    id: `t-${hash}` as TargetId,
    address: "10.0.0.1:80",
    roundTripMs: ROUND_TRIP_MS,
  };
}

function idleMs(id: TargetId): number | undefined {
  const idle = now - (usedAt.get(id) ?? -Infinity);
  return idle < IDLE_TIMEOUT_MS ? idle : undefined;
}

function refresh({ id }: ConnectionTarget): void {
  refreshed.push(id);
  if (isResponding) {
    usedAt.set(id, now);
  }
}

function run(upkeep: ConnectionUpkeep, ms: number): void {
  for (const until = now + ms; now < until; now += UPKEEP_TICK_MS) {
    upkeep.tick(now);
  }
}

beforeEach(() => {
  now = 0;
  homes = [1, 2, 3];
  isResponding = true;
  refreshed = [];
  usedAt.clear();
});

function createUpkeep(): ConnectionUpkeep {
  return new ConnectionUpkeep({
    homes: () => homes,
    targetOf,
    idleMs,
    refresh,
  });
}

test("a connection to each distant home is open before a request and stays open", () => {
  const upkeep = createUpkeep();
  run(upkeep, 1_000);
  for (let seconds = 0; seconds < 30; seconds++) {
    run(upkeep, 1_000);
    expect(homes.map((hash) => idleMs(targetOf(hash).id)))
      .not.toContain(undefined);
  }
  // One refresh a target and idle timeout at the most would be wasted.
  expect(refreshed.length).toBeLessThan(homes.length * 31_000 / 4_000);
});

test("a connection that requests use is not refreshed", () => {
  const upkeep = createUpkeep();
  for (let seconds = 0; seconds < 20; seconds++) {
    homes.forEach((hash) => usedAt.set(targetOf(hash).id, now));
    run(upkeep, 1_000);
  }
  expect(refreshed).toEqual([]);
});

test("hundreds of new homes at once do not delay requests", () => {
  homes = Array.from({ length: 300 }, (_, index) => index);
  run(createUpkeep(), 1_000);
  expect(refreshed.length).toBeLessThanOrEqual(25);
});

test("a target that does not respond is not asked again at each tick", () => {
  isResponding = false;
  homes = [1];
  run(createUpkeep(), 10_000);
  expect(refreshed.length).toBeLessThanOrEqual(6);
});

test("targets that are no home any more are left alone", () => {
  const upkeep = createUpkeep();
  run(upkeep, 2_000);
  homes = [];
  run(upkeep, 2_000);
  refreshed = [];
  run(upkeep, 20_000);
  expect(refreshed).toEqual([]);
  expect(upkeep.size).toBe(0);
});
