import { DEFAULT_RULES, type EscrowRules } from "@poplarthread/coordination";
import { describe, expect, it } from "vitest";
import { corePath } from "./core_path.ts";
import { type EscrowBounds, escrowModel } from "./escrow_model.ts";
import { explore } from "./explore.ts";
import { loadMutant } from "./mutant.ts";

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const LOANS: EscrowBounds = {
  vms: 2,
  slots: 2,
  steps: 3,
  inFlight: 1,
  repeats: 1,
  restarts: 0,
  wishes: 2,
  stay: 0,
};
const MOVES: EscrowBounds = { ...LOANS, repeats: 0, wishes: 0, stay: 1 };
const RESTARTS: EscrowBounds = {
  ...LOANS,
  steps: 4,
  repeats: 0,
  restarts: 1,
  wishes: 1,
};

const PRODUCTION = { rules: DEFAULT_RULES, keepsState: false };

describe("model of slot escrow", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
  // Messages about a loan are delayed, repeated or lost while one VM freezes or
  // restarts. If two VMs held one slot, a target would get more than it can run.
  it.each([
    ["lending", LOANS],
    ["moving to another owner", MOVES],
    ["restarting", RESTARTS],
  ])("never has two VMs hold one slot in all orders of %s", (_, bounds) => {
    const found = explore(escrowModel(bounds, PRODUCTION));
    expect(found.violation).toBeUndefined();
    expect(found.states).toBeGreaterThan(500);
  });

  it.each([
    [
      "lends slots without reducing its own count",
      LOANS,
      "lent += loan.pool === pool ? loan.slots : 0;",
      "lent += 0 * loan.slots;",
    ],
    [
      "uses a loan past its end",
      LOANS,
      "return askedAt + durationMs * (1 - 2 * CLOCK_DRIFT);",
      "return askedAt + 2 * durationMs;",
    ],
    [
      "takes a loan back too early",
      LOANS,
      "return now + durationMs + TAKE_BACK_MARGIN_MS;",
      "return now + durationMs / 2;",
    ],
    [
      "raises a share before the lowering of another is confirmed",
      MOVES,
      "if (silent === 0) {",
      "if (silent >= 0) {",
    ],
    [
      "does not wait for the end of an unresponsive owner's term",
      MOVES,
      "now >= state.oneSilentSince + times.termMs + TAKE_BACK_MARGIN_MS",
      "now >= state.oneSilentSince",
    ],
    [
      "renews terms for an epoch that it no longer follows",
      MOVES,
      "return state.plan?.epoch === epoch &&",
      "return epoch > 0 &&",
    ],
  ])(
    "reports a violation when the core %s",
    async (_, bounds, find, replace) => {
      const path = corePath("escrow/rules.ts");
      const mutant = await loadMutant<{ DEFAULT_RULES: EscrowRules }>(path, {
        find,
        replace,
      });
      const variant = { rules: mutant.DEFAULT_RULES, keepsState: false };
      const { violation } = explore(escrowModel(bounds, variant));
      expect(violation?.property).toBe("slots held never exceed the total");
    },
  );

  it("reports a violation when a VM keeps its loans after a restart", () => {
    const variant = { rules: DEFAULT_RULES, keepsState: true };
    const { violation } = explore(escrowModel(RESTARTS, variant));
    expect(violation?.property).toBe("slots held never exceed the total");
  });
});
