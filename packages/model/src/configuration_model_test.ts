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

/** No verdict hangs on time; a busy host only takes longer to explore. */
const EXPLORING_MS = 300_000;

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

describe("versioned configuration", { timeout: EXPLORING_MS }, () => {
  // Two operators change the configuration at the same moment, each through a
  // VM that may die and be asked again, over a table that loses an answer. An
  // operator who is told something untrue edits on top of what never ran.
  it("tells every operator the truth in all orders", () => {
    const found = explore(configurationModel(RACE, acceptance, followerCore));
    expect(found.violation).toBeUndefined();
    expect(found.states).toBeGreaterThan(10_000);
  });

  // VMs hear of changes by polls and pushes that arrive late and out of order.
  // One that goes back steers by a configuration that was replaced.
  it("never takes a VM back in all orders", () => {
    const model = configurationModel(FOLLOWING, acceptance, followerCore);
    expect(explore(model).violation).toBeUndefined();
  });

  it.each([
    [
      "skips the condition on the revision",
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
      "does not look for its own operation after a lost answer",
      "if (operationRow.version !== ABSENT) {",
      "if (operationRow.version < ABSENT) {",
      "who is told not accepted or superseded never is",
    ],
    [
      "accepts an operation again on top of itself",
      "if (operationRow.version !== ABSENT) {",
      "if (operationRow.version < ABSENT) {",
      "an operation is accepted once at most",
    ],
    [
      "calls a lost answer not accepted",
      'state.mayBeWritten ? "unknown" : "not-accepted"',
      '"not-accepted"',
      "who is told not accepted or superseded never is",
    ],
    [
      "takes a retry for a first sending",
      "origin.firstSending !== true",
      "false",
      "who is told not accepted or superseded never is",
    ],
    [
      "takes a conflict for a commit",
      'return event.result.kind === "committed"',
      "return event.result.kind !== undefined",
      "who is told accepted was accepted, as that revision",
    ],
    [
      "does not read who won",
      "auditKey(origin.seenRevision + 1),",
      "auditKey(origin.seenRevision + 2),",
      "the loser is told who won",
    ],
  ])("is caught when it %s", async (_, find, replace, property) => {
    const path = corePath("configuration/acceptance.ts");
    const core = await loadMutant<AcceptanceCore>(path, { find, replace });
    const model = configurationModel(RACE, core, followerCore);
    expect(explore(model, [property]).violation?.property).toBe(property);
  });

  it("is caught when a follower runs what was overwritten", async () => {
    const path = corePath("configuration/acceptance.ts");
    const core = await loadMutant<AcceptanceCore>(path, {
      find: "conditions: [{ key: IN_FORCE_KEY, version: inForceRow.version }],",
      replace: "conditions: [],",
    });
    const property = "a follower runs only what was accepted";
    const model = configurationModel(FOLLOWING, core, followerCore);
    expect(explore(model, [property]).violation?.property).toBe(property);
  });

  it("is caught when a follower takes a lower revision", async () => {
    const path = corePath("configuration/follower_core.ts");
    const core = await loadMutant<FollowerCore>(path, {
      find: "if (inForce.revision < localRevision) {",
      replace: "if (inForce.revision < 0) {",
    });
    const found = explore(configurationModel(FOLLOWING, acceptance, core));
    expect(found.violation?.property).toBe("no follower goes back");
  });
});
