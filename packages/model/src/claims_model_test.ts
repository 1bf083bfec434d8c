import { attemptCore } from "@poplarthread/coordination/cores";
import { describe, expect, it } from "vitest";
import {
  type AttemptCore,
  type ClaimsBounds,
  claimsModel,
} from "./claims_model.ts";
import { corePath } from "./core_path.ts";
import { explore } from "./explore.ts";
import { loadMutant } from "./mutant.ts";

/** No verdict hangs on time; a busy host only takes longer to explore. */
const EXPLORING_MS = 300_000;

const PLAIN: ClaimsBounds = {
  sendings: 2,
  otherBody: 0,
  vms: 2,
  losses: 0,
  crashes: 0,
  expiries: 0,
};
const LOSS: ClaimsBounds = { ...PLAIN, losses: 1 };
const CRASH: ClaimsBounds = { ...PLAIN, crashes: 1, expiries: 1 };
const OTHER_BODY: ClaimsBounds = { ...LOSS, otherBody: 1 };

describe("request claims", { timeout: EXPLORING_MS }, () => {
  // An objection is sent again through another VM, at any moment of the first
  // sending: its VM died, its claim's answer was lost, its caller gave up. The
  // objection would be filed twice, or its sender told that it was not.
  it.each([LOSS, CRASH, OTHER_BODY])(
    "runs a request once at most in all orders within %o",
    (bounds) => {
      const found = explore(claimsModel(bounds, attemptCore));
      expect(found.violation).toBeUndefined();
    },
  );

  it.each([
    [
      "takes a lost answer for its claim",
      'return to(attempt, { kind: "reading", over }, { kind: "read" });',
      "return grant(attempt, over + 1);",
      LOSS,
      "a request runs once at most",
    ],
    [
      "takes over from a holder that does not answer",
      'return refuse(attempt, { kind: "unknown" });\n  }\n}\n\nfunction while',
      "return claimOver(attempt, phase.over);\n  }\n}\n\nfunction while",
      PLAIN,
      "a request runs once at most",
    ],
    [
      "calls a claim free that it may still run",
      'case "dispatched":\n      return { kind: "running" };',
      'case "dispatched":\n      return { kind: "free" };',
      PLAIN,
      "a request runs once at most",
    ],
    [
      "goes on with a sending that it refused",
      'return to(attempt, { kind: "closed" }, { kind: "refuse", refusal });',
      'return to(attempt, attempt.phase, { kind: "refuse", refusal });',
      CRASH,
      "a refused sending is never sent",
    ],
    [
      "says not run of a key that it knows nothing of",
      'attempt.keyNeverRan ? "key" : "this-sending"',
      '"key"',
      LOSS,
      "not run is said of a key only if it had not run",
    ],
    [
      "records an answer for what a target refused",
      'outcome.kind === "not-run" ? { kind: "abandoned" }',
      'outcome.kind === "not-run" ? { kind: "answered", answer: { status: 9 } }',
      PLAIN,
      "a repeat gets the answer of the run",
    ],
    [
      "does not look at the body",
      "if (claim.bodyDigest !== attempt.bodyDigest) {",
      "if (claim.bodyDigest === undefined) {",
      OTHER_BODY,
      "another body under the same key never joins",
    ],
  ])("is caught when it %s", async (_, find, replace, bounds, property) => {
    const path = corePath("claims/attempt.ts");
    const core = await loadMutant<AttemptCore>(path, { find, replace });
    const model = claimsModel(bounds, core);
    expect(explore(model, [property]).violation?.property).toBe(property);
  });
});
