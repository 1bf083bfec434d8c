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

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const BOUNDS: HeldBackBounds = {
  vms: 2,
  sendings: 2,
  completions: 1,
  repeats: 1,
};

describe(
  "model of held-back requests",
  { timeout: EXPLORATION_TIMEOUT_MS },
  () => {
    // A request that crashes its target is retried through two VMs whose messages
    // to each other arrive late. It crashes more targets until both VMs hold it
    // back, and a request that shared a target with it must not be held back.
    it("holds back only the culprit after two crashes in all orders", () => {
      const found = explore(heldBackModel(BOUNDS, { HeldBack }));
      expect(found.violation).toBeUndefined();
    });

    it.each([
      [
        "waits for a third crash",
        "const MIN_CRASHES = 2;",
        "const MIN_CRASHES = 3;",
        "a VM that knows of two crashes holds the culprit back",
      ],
      [
        "does not notify peers of a crash",
        "now));\n    return messages;",
        "now));\n    return [];",
        "every VM holds the culprit back once all messages have arrived",
      ],
      [
        "holds back after one crash",
        "const MIN_CRASHES = 2;",
        "const MIN_CRASHES = 1;",
        "no other request is held back for one shared target",
      ],
      [
        "does not record a completion",
        "putNewest(this.#completedAt, fingerprint, Math.max(completedAt, at));",
        "",
        "a VM that knows of a completion never holds that request back",
      ],
    ])(
      "reports a violation when the table %s",
      async (_, find, replace, property) => {
        const path = corePath("held_back/held_back.ts");
        const core = await loadMutant<HeldBackCore>(path, { find, replace });
        const found = explore(heldBackModel(BOUNDS, core), [property]);
        expect(found.violation?.property).toBe(property);
      },
    );
  },
);
