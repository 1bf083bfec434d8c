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
