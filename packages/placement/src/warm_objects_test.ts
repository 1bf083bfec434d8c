import { beforeEach, describe, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import { WarmObjects } from "./warm_objects.ts";

const PAIR = { object: 7, target: "t-1" as TargetId };
/** Times within and after the time for which a pair is assumed to be warm. */
const WITHIN_TTL_MS = 5_000;
const AFTER_TTL_MS = 60_000;

let warm: WarmObjects;

beforeEach(() => {
  warm = new WarmObjects();
});

test("a target is warm for an object that it recently handled", () => {
  warm.recordUse(PAIR, 0);
  expect(warm.isWarm(PAIR.object, PAIR.target, WITHIN_TTL_MS)).toBe(true);
  expect(warm.isWarm(8, PAIR.target, WITHIN_TTL_MS)).toBe(false);
  expect(warm.isWarm(PAIR.object, PAIR.target, AFTER_TTL_MS)).toBe(false);
});

test("a target is warm if another VM used it for the object", () => {
  warm.recordRemoteUse(PAIR, 0);
  expect(warm.targetsOf(PAIR.object, WITHIN_TTL_MS)).toEqual([PAIR.target]);
  expect(warm.warmPairs(WITHIN_TTL_MS)).toEqual([PAIR]);
});

test("a restarted target is not warm", () => {
  warm.recordRemoteUse(PAIR, 0);
  warm.removeTarget(PAIR.target);
  expect(warm.warmPairs(WITHIN_TTL_MS)).toEqual([]);
});

describe("pairs are published to the other VMs", () => {
  test("on first use, but not on each later one", () => {
    expect(warm.recordUse(PAIR, 0)).toBe(true);
    expect(warm.recordUse(PAIR, 100)).toBe(false);
  });

  test("unless another VM has just published them", () => {
    warm.recordRemoteUse(PAIR, 0);
    expect(warm.recordUse(PAIR, 100)).toBe(false);
  });

  test("again before the other VMs stop assuming that they are warm", () => {
    warm.recordUse(PAIR, 0);
    let publishedAt = 0;
    for (let now = 0; now < AFTER_TTL_MS; now += 100) {
      expect(now - publishedAt).toBeLessThan(12_000);
      publishedAt = warm.recordUse(PAIR, now) ? now : publishedAt;
    }
  });
});
