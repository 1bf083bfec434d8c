import { HeldBack } from "@poplarthread/coordination";
import { describe, expect, it } from "vitest";
import { corePath } from "./core_path.ts";
import { explore } from "./explore.ts";
import {
  type HeldBackBounds,
  type HeldBackCore,
  heldBackModel,
} from "./held_back_model.ts";
import { loadMutant } from "./mutant.ts";

/** No verdict hangs on time; a busy host only takes longer to explore. */
const EXPLORING_MS = 300_000;

const BOUNDS: HeldBackBounds = {
  vms: 2,
  sendings: 2,
  completions: 1,
  repeats: 1,
};

describe("held-back requests", { timeout: EXPLORING_MS }, () => {
  // A request that crashes its target comes again and again through two VMs
  // that hear of each other late. Users lose targets until both hold it back,
  // and a neighbour of it must not be refused with it.
  it("stop after two deaths and take no neighbour along, in all orders", () => {
    const found = explore(heldBackModel(BOUNDS, { HeldBack }));
    expect(found.violation).toBeUndefined();
  });

  it.each([
    [
      "waits for a third death",
      "const MIN_CRASHES = 2;",
      "const MIN_CRASHES = 3;",
      "who knows of two deaths holds the culprit back",
    ],
    [
      "tells nobody of a death",
      "now));\n    return messages;",
      "now));\n    return [];",
      "the culprit is free again nowhere once all is told",
    ],
    [
      "holds back after one death",
      "const MIN_CRASHES = 2;",
      "const MIN_CRASHES = 1;",
      "one shared target holds nobody else back",
    ],
    [
      "forgets a completion",
      "isCompleted: (old?.isCompleted ?? false) ||",
      "isCompleted:",
      "who knows of a completion never holds that request back",
    ],
  ])("are caught when the table %s", async (_, find, replace, property) => {
    const path = corePath("held_back/held_back.ts");
    const core = await loadMutant<HeldBackCore>(path, { find, replace });
    const found = explore(heldBackModel(BOUNDS, core), [property]);
    expect(found.violation?.property).toBe(property);
  });
});
