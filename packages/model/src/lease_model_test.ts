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

/** No verdict hangs on time; a busy host only takes longer to explore. */
const EXPLORING_MS = 300_000;

const NOTHING: LeaseBounds = {
  contenders: 2,
  calls: 4,
  ticks: 0,
  losses: 0,
  crashes: 0,
  stops: 0,
  plans: 0,
  revisions: 0,
};
const LAPSE: LeaseBounds = { ...NOTHING, ticks: 3, losses: 1 };
const HAND_OVER: LeaseBounds = { ...NOTHING, stops: 1, plans: 2 };
const CRASH: LeaseBounds = { ...NOTHING, ticks: 3, crashes: 1 };
const PLANNING: LeaseBounds = { ...HAND_OVER, revisions: 1 };

describe("lease", { timeout: EXPLORING_MS }, () => {
  // A holder is paused past its lease, dies, hands over, or its answer is lost,
  // while a write of it is still on its way. If that write took effect after
  // the next holder's, traffic would follow a plan that was already replaced.
  it.each([LAPSE, HAND_OVER, CRASH, PLANNING])(
    "keeps a former holder from writing in all orders within %o",
    (bounds) => {
      const found = explore(leaseModel(bounds, leaseCore, inForce));
      expect(found.violation).toBeUndefined();
    },
  );

  it.each([
    [
      "skips the fence",
      "conditions: [fence(name, token), ...conditions]",
      "conditions",
      HAND_OVER,
      "no plan replaces one written under a higher token",
    ],
    [
      "deletes its row at the release",
      "writes: [{ key, value: row as unknown as Json }]",
      "writes: [{ key, value: undefined }]",
      HAND_OVER,
      "a token is given to one instance only",
    ],
    [
      "takes over before the lease lapsed",
      "now - belief.since >= contender.durationMs * TAKEOVER_WAIT_FACTOR",
      "now >= belief.since",
      LAPSE,
      "with clocks that run alike two VMs never hold it at once",
    ],
    [
      "counts its duration too long",
      "startedAt + contender.durationMs",
      "startedAt + 2 * contender.durationMs",
      LAPSE,
      "with clocks that run alike two VMs never hold it at once",
    ],
    [
      "holds on while it releases",
      'belief: { kind: "stopped" } as const',
      "belief",
      HAND_OVER,
      "with clocks that run alike two VMs never hold it at once",
    ],
  ])("is caught when it %s", async (_, find, replace, bounds, property) => {
    const path = corePath("lease/lease_core.ts");
    const core = await loadMutant<LeaseCore>(path, { find, replace });
    const model = leaseModel(bounds, core, inForce);
    expect(explore(model, [property]).violation?.property).toBe(property);
  });

  it("is caught when a plan does not hang on the configuration", async () => {
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
