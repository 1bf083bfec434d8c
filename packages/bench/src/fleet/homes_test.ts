/**
 * What callers get with homes by load, against what an even load of all targets would
 * give them.
 *
 * @module
 */

import { expect, test } from "vitest";
import { readScenario, type Scenario } from "./scenario.ts";
import { figuresOf } from "./tally.ts";
import { runScenario } from "./world.ts";

const PER_SECOND = 250;
const COLD_MS = 600;
const WARM_MS = 180;
const AIM_MS = 300;
const SLOTS = 3;
/** By then each object has been requested several times. */
const WARM_AT_MS = 4_000;

const SERVICE = {
  name: "portal",
  targets: { a: 10, b: 10, c: 10 },
  slots: SLOTS,
  queue: 9,
  keeps: 8,
  coldMs: 3_000,
  coldFactor: 2,
  coldPerSecond: 5,
};

/** Half of the capacity of thirty targets is asked for, over five objects for two targets. */
const LOAD = {
  name: "uneven objects",
  seconds: 16,
  startTimes: true,
  zones: ["a", "b", "c"].map((name) => ({ name, region: "only", vms: 4 })),
  delaysMs: {
    inZone: 0.1,
    crossZone: 1,
    crossRegion: 1,
    caller: 1,
    newConnection: 1,
    news: 150,
  },
  silentEntryS: 4.5,
  retries: { ratio: 0.2, fixed: 60, windowS: 10 },
  services: [SERVICE],
  kinds: [{
    name: "view",
    services: { portal: 1 },
    repeat: "idempotent",
    aimMs: AIM_MS,
    deadlineMs: 2_000,
    timeoutMs: 1_500,
    worth: 1,
    lateWorth: 0,
    priority: 1,
    retries: 1,
    workMs: COLD_MS,
    spread: 0.15,
    objects: 75,
    skew: 0.2,
    warmGain: 1 - WARM_MS / COLD_MS,
  }],
  traffic: ["a", "b", "c"].map((zone) => ({
    zone,
    perSecond: PER_SECOND / 3,
    mix: { view: 1 },
  })),
  events: [],
};

/** Share of the requests answered in time once all objects are cached, over three seeds. */
function inTime(changes: Partial<Record<keyof Scenario, unknown>>): number {
  const scenario = readScenario(JSON.stringify({ ...LOAD, ...changes }));
  const shares = [1, 2, 3].map((seed) => {
    const { requests } = runScenario({ scenario, seed, policy: "gateway" });
    return figuresOf(requests.filter(({ at }) => at >= WARM_AT_MS)).whole;
  });
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

/**
 * Share that is answered in time if each target gets an equal part of the work: the
 * wait for one of `SLOTS` servers by Erlang's formula.
 */
function evenShare(): number {
  const targets = 30;
  const busy = PER_SECOND / targets * WARM_MS / 1_000;
  const terms = Array.from(
    { length: SLOTS },
    (_, n) => busy ** n / factorial(n),
  );
  const full = busy ** SLOTS / factorial(SLOTS) * SLOTS / (SLOTS - busy);
  const waits = full / (terms.reduce((sum, one) => sum + one, 0) + full);
  const meanWaitMs = WARM_MS / (SLOTS - busy);
  return 1 - waits * Math.exp(-(AIM_MS - WARM_MS) / meanWaitMs);
}

function factorial(n: number): number {
  return n <= 1 ? 1 : n * factorial(n - 1);
}

// Guards against homes that overflow while other targets are idle.
test("uneven objects are answered as if the targets were evenly loaded", () => {
  const share = inTime({});
  expect(share).toBeGreaterThan(evenShare());
  expect(share).toBeGreaterThan(inTime({ startTimes: false }));
});

// Guards against homes added for slow machines until caches overflow.
test("while a sixth of the machines is slow, at most that share is late besides", () => {
  const pace = { share: 1 / 6, factor: 2.5, spellMs: 2_000 };
  const services = [{ ...SERVICE, pace }];
  const share = inTime({ services });
  expect(share).toBeGreaterThan(evenShare() - 1 / 6);
  expect(share).toBeGreaterThan(inTime({ services, startTimes: false }));
});

// Guards against homes that are lost, or not agreed on, with their owner or a message.
test("neither a lost owner nor lost messages make callers wait", () => {
  const events = [{ kind: "kill-home-owner", at: 6 }];
  const share = inTime({ events, homeLossShare: 0.1 });
  expect(share).toBeGreaterThan(evenShare());
});
