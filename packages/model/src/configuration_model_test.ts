import { acceptance, followerCore } from "@poplarthread/coordination/cores";
import { describe, expect, it } from "vitest";
import {
  type AcceptanceCore,
  type ConfigurationBounds,
  configurationModel,
  type FollowerCore,
} from "./configuration_model.ts";
import { corePath } from "./core_path.ts";
import { explore } from "./explore.ts";
import { loadMutant } from "./mutant.ts";

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const RACE: ConfigurationBounds = {
  operators: 2,
  retries: 2,
  losses: 1,
  followers: 0,
  polls: 0,
};
const FOLLOWING: ConfigurationBounds = {
  operators: 2,
  retries: 1,
  losses: 0,
  followers: 1,
  polls: 2,
};

describe("model of the versioned configuration", {
  timeout: EXPLORATION_TIMEOUT_MS,
}, () => {
  // Two operators change the configuration at the same time, each through a VM
  // that may crash and then get a retry, and the table loses a response. An
  // operator with a wrong outcome would base changes on a value that never ran.
  it("reports the actual outcome to every operator in all orders", () => {
    const found = explore(configurationModel(RACE, acceptance, followerCore));
    expect(found.violation).toBeUndefined();
    expect(found.states).toBeGreaterThan(10_000);
  });

  // VMs learn of changes by polls and pushes that arrive late and out of order. A
  // VM that returned to a lower revision would run a replaced configuration.
  it("never returns a VM to a lower revision in all orders", () => {
    const model = configurationModel(FOLLOWING, acceptance, followerCore);
    expect(explore(model).violation).toBeUndefined();
  });

  it.each([
    [
      "omits the condition on the revision",
      "conditions: [{ key: IN_FORCE_KEY, version: inForceRow.version }],",
      "conditions: [],",
      "each revision has the audit row of the change that made it",
    ],
    [
      "reuses the revision",
      "return state.origin.seenRevision + 1;",
      "return Math.max(1, state.origin.seenRevision);",
      "each revision has the audit row of the change that made it",
    ],
    [
      "does not look for its own operation after a lost response",
      "if (operationRow.version !== ABSENT) {",
      "if (operationRow.version < ABSENT) {",
      "a change reported as not accepted or superseded is never accepted",
    ],
    [
      "accepts an operation again on top of itself",
      "if (operationRow.version !== ABSENT) {",
      "if (operationRow.version < ABSENT) {",
      "an operation is accepted at most once",
    ],
    [
      "reports a lost response as not accepted",
      'state.mayBeWritten ? "unknown" : "not-accepted"',
      '"not-accepted"',
      "a change reported as not accepted or superseded is never accepted",
    ],
    [
      "treats a retry as the first attempt",
      "origin.firstSending !== true",
      "false",
      "a change reported as not accepted or superseded is never accepted",
    ],
    [
      "treats a conflict as a commit",
      'return event.result.kind === "committed"',
      "return event.result.kind !== undefined",
      "a change reported as accepted was accepted as that revision",
    ],
    [
      "does not read the winner's audit entry",
      "auditKey(origin.seenRevision + 1),",
      "auditKey(origin.seenRevision + 2),",
      "a superseded change is reported with its winner",
    ],
  ])(
    "reports a violation when the core %s",
    async (_, find, replace, property) => {
      const path = corePath("configuration/acceptance.ts");
      const core = await loadMutant<AcceptanceCore>(path, { find, replace });
      const model = configurationModel(RACE, core, followerCore);
      expect(explore(model, [property]).violation?.property).toBe(property);
    },
  );

  it("reports a violation when a follower runs an overwritten change", async () => {
    const path = corePath("configuration/acceptance.ts");
    const core = await loadMutant<AcceptanceCore>(path, {
      find: "conditions: [{ key: IN_FORCE_KEY, version: inForceRow.version }],",
      replace: "conditions: [],",
    });
    const property = "a follower runs only accepted changes";
    const model = configurationModel(FOLLOWING, core, followerCore);
    expect(explore(model, [property]).violation?.property).toBe(property);
  });

  it("reports a violation when a follower adopts a lower revision", async () => {
    const path = corePath("configuration/follower_core.ts");
    const core = await loadMutant<FollowerCore>(path, {
      find: "if (inForce.revision < localRevision) {",
      replace: "if (inForce.revision < 0) {",
    });
    const found = explore(configurationModel(FOLLOWING, acceptance, core));
    expect(found.violation?.property).toBe(
      "no follower returns to a lower revision",
    );
  });
});
