import { inForce, leaseCore } from "@poplarthread/coordination/cores";
import { describe, expect, it } from "vitest";
import { corePath } from "./core_path.ts";
import { explore } from "./explore.ts";
import {
  type InForceCore,
  type LeaseBounds,
  type LeaseCore,
  leaseModel,
} from "./lease_model.ts";
import { loadMutant } from "./mutant.ts";

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const NO_FAULTS: LeaseBounds = {
  contenders: 2,
  calls: 4,
  ticks: 0,
  losses: 0,
  crashes: 0,
  stops: 0,
  plans: 0,
  revisions: 0,
};
const EXPIRY: LeaseBounds = { ...NO_FAULTS, ticks: 3, losses: 1 };
const HAND_OVER: LeaseBounds = { ...NO_FAULTS, stops: 1, plans: 2 };
const CRASH: LeaseBounds = { ...NO_FAULTS, ticks: 3, crashes: 1 };
const PLANNING: LeaseBounds = { ...HAND_OVER, revisions: 1 };

describe("model of the lease", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
  // A holder is paused past its lease, crashes, releases the lease or loses a
  // response while a write of it is in flight. If that write took effect after
  // one of the next holder, traffic would follow a plan that was replaced.
  it.each([EXPIRY, HAND_OVER, CRASH, PLANNING])(
    "prevents writes of a former holder in all orders within %o",
    (bounds) => {
      const found = explore(leaseModel(bounds, leaseCore, inForce));
      expect(found.violation).toBeUndefined();
    },
  );

  it.each([
    [
      "omits the fencing condition",
      "conditions: [fence(name, token), ...conditions]",
      "conditions",
      HAND_OVER,
      "no plan replaces one written under a higher token",
    ],
    [
      "deletes its row on release",
      "writes: [{ key, value: row as unknown as Json }]",
      "writes: [{ key, value: undefined }]",
      HAND_OVER,
      "two instances never acquire the lease under one token",
    ],
    [
      "takes over before the lease has expired",
      "now - status.since >= contender.durationMs * TAKEOVER_WAIT_FACTOR",
      "now >= status.since",
      EXPIRY,
      "two VMs with equal clocks never hold the lease at once",
    ],
    [
      "uses the lease for longer than its duration",
      "startedAt + contender.durationMs",
      "startedAt + 2 * contender.durationMs",
      EXPIRY,
      "two VMs with equal clocks never hold the lease at once",
    ],
    [
      "keeps using the lease while it releases it",
      'status: { kind: "stopped" } as const',
      "status",
      HAND_OVER,
      "two VMs with equal clocks never hold the lease at once",
    ],
  ])(
    "reports a violation when the core %s",
    async (_, find, replace, bounds, property) => {
      const path = corePath("lease/lease_core.ts");
      const core = await loadMutant<LeaseCore>(path, { find, replace });
      const model = leaseModel(bounds, core, inForce);
      expect(explore(model, [property]).violation?.property).toBe(property);
    },
  );

  it("reports a violation when a plan has no condition on the configuration", async () => {
    const path = corePath("configuration/in_force.ts");
    const core = await loadMutant<InForceCore>(path, {
      find: "return { key: IN_FORCE_KEY, version: inForce.revision };",
      replace: 'return { key: "none", version: 0 * inForce.revision };',
    });
    const property = "no plan replaces one for a higher revision";
    const model = leaseModel(PLANNING, leaseCore, core);
    expect(explore(model, [property]).violation?.property).toBe(property);
  });
});
