import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";
import { replaceLine, ROOT } from "@poplarthread/bundling";
import { ABLATIONS } from "./ablations.ts";
import { readScenario, type Scenario } from "./scenario.ts";
import { figuresOf } from "./tally.ts";
import { runScenario } from "./world.ts";

const SCENARIOS = fileURLToPath(new URL("../../scenarios/", import.meta.url));
/** Longer than any run, so that an update with this delay never arrives. */
const NEVER_MS = 1e9;

/** Twelve VMs that each see a twelfth of the requests for 60 objects. */
function sharedObjects(delays: { nearMs: number; farMs: number }): Scenario {
  return readScenario(JSON.stringify({
    name: "shared objects",
    seconds: 14,
    zones: ["a", "b", "c"].map((name) => ({ name, region: "only", vms: 4 })),
    delaysMs: {
      inZone: 0.1,
      crossZone: 1,
      crossRegion: 1,
      caller: 1,
      newConnection: 1,
      news: 150,
      warmNearMs: delays.nearMs,
      warmFarMs: delays.farMs,
    },
    silentEntryS: 4.5,
    retries: { ratio: 0.2, fixed: 60, windowS: 10 },
    services: [{
      name: "portal",
      targets: { a: 5, b: 5, c: 5 },
      slots: 3,
      queue: 9,
      keeps: 30,
      coldMs: 3_000,
      coldFactor: 2,
      coldPerSecond: 5,
    }],
    kinds: [{
      name: "view",
      services: { portal: 1 },
      repeat: "idempotent",
      aimMs: 250,
      deadlineMs: 2_000,
      timeoutMs: 1_500,
      worth: 1,
      lateWorth: 0.2,
      priority: 1,
      retries: 1,
      workMs: 360,
      spread: 0.15,
      objects: 60,
      skew: 0.2,
      warmGain: 0.7,
    }],
    traffic: ["a", "b", "c"].map((zone) => ({
      zone,
      perSecond: 70,
      mix: { view: 1 },
    })),
    events: [{ kind: "release", at: 4, share: 0.4, gapS: 0.5 }],
  }));
}

function meanEarnedShare(scenario: Scenario): number {
  const shares = [1, 2, 3].map((seed) => {
    const { requests } = runScenario({ scenario, seed, policy: "gateway" });
    return figuresOf(requests).whole;
  });
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

test("runs with the same seed give the same results", () => {
  const scenario = sharedObjects({ nearMs: 150, farMs: 600 });
  const [first, second] = [1, 2].map(() =>
    runScenario({ scenario, seed: 5, policy: "gateway" }).requests
  );
  expect(first).toEqual(second);
});

// Twelve VMs share 60 objects while targets are being replaced. Without updates from
// other VMs, a VM knows only from its own requests which targets have an object cached,
// so it queues at full targets or picks one without the object. The VMs earn 0.77 of the
// worth owed with warm-target updates, and 0.60 without.
test("VMs that share warm targets earn more of the worth owed", () => {
  const shared = meanEarnedShare(sharedObjects({ nearMs: 150, farMs: 600 }));
  const notShared = meanEarnedShare(
    sharedObjects({ nearMs: NEVER_MS, farMs: NEVER_MS }),
  );
  expect(shared).toBeGreaterThan(notShared);
});

/** Fleets that restart, and get so many requests that nearly all of them fail. */
const RESTARTED_FLEETS = [
  { vms: 9, targets: 18, perSecond: 90, fixed: 58 },
  { vms: 66, targets: 120, perSecond: 600, fixed: 172 },
  { vms: 195, targets: 240, perSecond: 1_100, fixed: 430 },
];

function restartsWhileFailing(
  { vms, targets, perSecond, fixed }: (typeof RESTARTED_FLEETS)[number],
): Scenario {
  const scenario = sharedObjects({ nearMs: 150, farMs: 600 });
  const { services: [service], zones, traffic } = scenario;
  const perZone = Math.ceil(targets / zones.length);
  return {
    ...scenario,
    seconds: 22,
    zones: zones.map((zone) => ({ ...zone, vms: vms / zones.length })),
    retries: { ...scenario.retries, fixed },
    services: [{
      ...service!,
      targets: { a: perZone, b: perZone, c: perZone },
    }],
    traffic: traffic.map((one) => ({
      ...one,
      perSecond: perSecond / zones.length,
    })),
    events: [
      { kind: "grey", at: 10, forS: 12, share: 1, fails: 1 },
      { kind: "restart-vms", at: 11.5, forS: 0.3, share: 1 },
      { kind: "restart-vms", at: 15, forS: 0.3, share: 0.6 },
    ],
  };
}

test.each(RESTARTED_FLEETS)(
  "retries of $vms VMs stay in their bound while VMs restart and targets fail",
  (fleet) => {
    // Guards against retries that each process earns anew.
    const scenario = restartsWhileFailing(fleet);
    const { retryUse } = runScenario({ scenario, seed: 63, policy: "gateway" });
    expect(retryUse).toBeGreaterThan(0.5);
    expect(retryUse).toBeLessThanOrEqual(1);
  },
);

test("an invalid scenario is rejected with all of its findings", () => {
  const scenario = { ...sharedObjects({ nearMs: 1, farMs: 1 }) };
  const text = JSON.stringify({
    ...scenario,
    traffic: [{ zone: "nowhere", perSecond: 1, mix: { nothing: 1 } }],
  });
  expect(() => readScenario(text)).toThrow("2 findings");
});

test.each(readdirSync(SCENARIOS))("%s is a valid scenario", (name) => {
  expect(() => readScenario(readFileSync(`${SCENARIOS}${name}`, "utf8"))).not
    .toThrow();
});

test.each(Object.entries(ABLATIONS))(
  "the line that ablation %s replaces occurs once",
  (_name, ablation) => {
    const source = readFileSync(`${ROOT}${ablation.file}`, "utf8");
    expect(replaceLine(source, ablation)).not.toBe(source);
  },
);
