/**
 * The retries that the processes of a fleet send together while VMs restart and
 * callers move between them.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import { randomFrom } from "./testing_fleet.ts";
import {
  type Disturbance,
  playRetries,
  type RetryFleetSize,
  type RetryPlay,
} from "./testing_retries.ts";

const RATIO = 0.2;
const WINDOW_MS = 10_000;

/** Fleets of three sizes, with the loads of deployments of these sizes. */
const SIZES: readonly RetryFleetSize[] = [
  { vms: 9, perSecond: 300, bound: boundOf(58) },
  { vms: 66, perSecond: 1_240, bound: boundOf(172) },
  { vms: 195, perSecond: 1_100, bound: boundOf(430) },
];
const FAIL_FROM_MS = 14_000;
const STRIKE_MS = 15_000;
const LENGTH_MS = 36_000;
const SERIES_LENGTH = 6;
/** The longest that a retry waits for a target before it is sent. */
const MAX_WAIT_MS = 1_500;
/** Callers give up a request that a VM has not read by then. */
const UNREAD_MS = 1_000;
const SEEDS = Array.from({ length: 12 }, (_, at) => 6_300 + at);

function boundOf(fixed: number): RetryPlay["bound"] {
  return { ratio: RATIO, fixed, windowMs: WINDOW_MS };
}

function playOf(
  size: RetryFleetSize,
  disturbances: readonly Disturbance[],
  { seed = 63, failShare = 1 } = {},
): RetryPlay {
  return {
    ...size,
    seed,
    lengthMs: LENGTH_MS,
    failFromMs: FAIL_FROM_MS,
    failShare,
    disturbances,
  };
}

/** All VMs restart within `overMs`. */
function rollOf(vms: number, atMs: number, overMs: number): Disturbance {
  const gapMs = 500;
  const batch = Math.ceil(vms * gapMs / overMs);
  return { kind: "roll", atMs, batch, gapMs };
}

/** Disturbances in series, some of which overlap. */
function seriesOf(vms: number, seed: number): readonly Disturbance[] {
  const random = randomFrom(seed);
  return Array.from({ length: SERIES_LENGTH }, () => {
    const atMs = Math.round((10 + random() * 20) * 50) * 20;
    switch (Math.floor(random() * 6)) {
      case 0:
        return rollOf(vms, atMs, 2_000 + Math.round(random() * 6) * 1_000);
      case 1: {
        const downMs = Math.round(random() * 100) * 20;
        return { kind: "kill", atMs, share: 0.3 + random() * 0.7, downMs };
      }
      case 2: {
        const everyMs = 1_000 * (1 + Math.floor(random() * 6));
        const parts = 2 + Math.floor(random() * 2);
        return { kind: "move", atMs, parts, everyMs, forMs: 12_000 };
      }
      case 3:
        return { kind: "stall", atMs, forMs: MAX_WAIT_MS };
      case 4: {
        const forMs = 1_000 * (1 + Math.floor(random() * 8));
        return { kind: "cut", atMs, share: 0.1 + random() * 0.5, forMs };
      }
      default: {
        const forMs = 1_000 * (1 + Math.floor(random() * 4));
        return { kind: "burst", atMs, x: 1.3 + random() * 0.7, forMs };
      }
    }
  });
}

describe.each(SIZES)("retries of $vms VMs whose requests all fail", (size) => {
  test.each<[string, readonly Disturbance[]]>([
    ["nothing else happens", []],
    ["all VMs restart in turn", [rollOf(size.vms, STRIKE_MS, 5_500)]],
    ["all VMs restart in turn, and again", [
      rollOf(size.vms, STRIKE_MS, 3_000),
      rollOf(size.vms, STRIKE_MS + 4_000, 3_000),
    ]],
    ["all VMs end at once", [
      { kind: "kill", atMs: STRIKE_MS, share: 1, downMs: 300 },
    ]],
    ["most VMs end at once", [
      { kind: "kill", atMs: STRIKE_MS, share: 0.9, downMs: 500 },
    ]],
    ["all callers move from one half of the VMs to the other", [
      { kind: "move", atMs: 5_000, parts: 2, everyMs: 10_000, forMs: 31_000 },
    ]],
    ["callers go round among thirds of the VMs", [
      { kind: "move", atMs: 5_000, parts: 3, everyMs: 5_000, forMs: 31_000 },
    ]],
    ["VMs are cut off while there are more requests", [
      { kind: "cut", atMs: STRIKE_MS, share: 0.4, forMs: 7_000 },
      { kind: "burst", atMs: STRIKE_MS, x: 1.7, forMs: 3_000 },
    ]],
    ["retries wait and are sent together", [
      { kind: "stall", atMs: FAIL_FROM_MS, forMs: MAX_WAIT_MS },
    ]],
    ["all VMs restart in turn while retries wait", [
      { kind: "stall", atMs: FAIL_FROM_MS, forMs: MAX_WAIT_MS },
      rollOf(size.vms, FAIL_FROM_MS + MAX_WAIT_MS, 3_000),
    ]],
    [
      "all VMs are paused and read requests late, as long as callers wait for that",
      [
        { kind: "pause", atMs: FAIL_FROM_MS, forMs: UNREAD_MS },
      ],
    ],
    ["nearly all requests come by turns", [
      { kind: "burst", atMs: 6_500, x: 0.02, forMs: 7_500 },
      { kind: "burst", atMs: 16_500, x: 0.02, forMs: 7_500 },
      { kind: "burst", atMs: 26_500, x: 0.02, forMs: 7_500 },
    ]],
    ["there are more requests by turns", [
      { kind: "burst", atMs: 11_000, x: 2, forMs: 3_000 },
      { kind: "burst", atMs: 21_000, x: 2, forMs: 3_000 },
    ]],
  ])("hold when %s", (_, disturbances) => {
    // Guards against retries that one process uses and the next one earns again.
    expect(playRetries(playOf(size, disturbances)).worst)
      .toBeLessThanOrEqual(1);
  });

  test.each([0.35, 0.6, 1])(
    "hold in any series of these, with a share of %d failing",
    (failShare) => {
      // Guards against retries that are earned again wherever callers go.
      const broken = SEEDS.filter((seed) => {
        const series = seriesOf(size.vms, seed);
        return playRetries(playOf(size, series, { seed, failShare })).worst > 1;
      });
      expect(broken).toEqual([]);
    },
  );
});
