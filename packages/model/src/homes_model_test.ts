import * as protocol from "@poplarthread/placement/home-protocol";
import { describe, expect, it } from "vitest";
import { placementPath } from "./core_path.ts";
import { explore } from "./explore.ts";
import {
  COUNTED_ONCE,
  type HomesBounds,
  homesModel,
  NO_LOST_HOME,
  NO_RETURN,
  SAFE_HOMES,
  SAME_HOMES,
  TOLD_FIRST,
} from "./homes_model.ts";
import type { HomesCore } from "./homes_world.ts";
import { loadMutant } from "./mutant.ts";

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const BOUNDS: HomesBounds = {
  steps: 0,
  changes: 2,
  updates: 2,
  reports: 2,
  losses: 1,
  repeats: 0,
  replacement: undefined,
  leaves: false,
};

/** Lost and repeated messages; owners that are replaced; a target that leaves. */
const LOSSES: HomesBounds = { ...BOUNDS, repeats: 1 };
const RESTARTED: HomesBounds = { ...BOUNDS, replacement: "same" };
const TWO_OWNERS: HomesBounds = { ...BOUNDS, replacement: "other" };
const LEAVES: HomesBounds = {
  ...BOUNDS,
  reports: 1,
  losses: 0,
  replacement: "other",
  leaves: true,
};
/** A new owner waits for what its VMs tell. */
const RECOVERY: HomesBounds = {
  ...BOUNDS,
  steps: 3,
  reports: 1,
  losses: 0,
  replacement: "other",
};

describe("model of homes", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
  it.each([LOSSES, RESTARTED, TWO_OWNERS, LEAVES])(
    "keeps a VM and its owner in agreement despite lost, late and repeated messages: %o",
    (bounds) => {
      const found = explore(homesModel(bounds, protocol), SAFE_HOMES);
      expect(found.violation).toBeUndefined();
    },
  );

  it("lets a new owner move homes only after its VMs told what they use", () => {
    const found = explore(homesModel(RECOVERY, protocol));
    expect(found.violation).toBeUndefined();
  });

  it.each<[string, string, string, HomesBounds, string]>([
    [
      "accepts updates of a VM that is the owner no longer",
      "const isFollowed = update.from === followed.owner;",
      "const isFollowed = true;",
      TWO_OWNERS,
      NO_RETURN,
    ],
    [
      "accepts updates of the owner's earlier term",
      "!isFollowed || followed.replaced.includes(update.term)",
      "!isFollowed",
      RESTARTED,
      NO_RETURN,
    ],
    [
      "passes over a lost update",
      "followed: hasGap ? followed :",
      "followed: hasGap && false ? followed :",
      LOSSES,
      SAME_HOMES,
    ],
    [
      "moves homes before the VMs told what they use",
      "return now - startedAt < RECOVERY_MS;",
      "return now < startedAt;",
      RECOVERY,
      TOLD_FIRST,
    ],
    [
      "ignores the homes known before its term",
      "return report.term !== term || report.namesEarlierHomes;",
      "return report.term !== term && false;",
      RECOVERY,
      TOLD_FIRST,
    ],
    [
      "keeps a home on a target that has left",
      "return homes.filter((home) => !lost.has(home));",
      "return homes;",
      LEAVES,
      NO_LOST_HOME,
    ],
    [
      "takes a home on a target that has left from a report",
      "targets.filter((target) => isTarget(target))",
      "targets.filter((target) => isTarget(target) || true)",
      LEAVES,
      NO_LOST_HOME,
    ],
    [
      "counts a repeated report again",
      "report.number > last.number",
      "report.number >= last.number",
      LOSSES,
      COUNTED_ONCE,
    ],
  ])(
    "reports a violation when a VM %s",
    async (_, find, replace, bounds, property) => {
      const path = placementPath("homes/home_protocol.ts");
      const core = await loadMutant<HomesCore>(path, { find, replace });
      const found = explore(homesModel(bounds, core), [property]);
      expect(found.violation?.property).toBe(property);
    },
  );
});
