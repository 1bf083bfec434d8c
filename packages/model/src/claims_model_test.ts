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

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const NO_FAULTS: ClaimsBounds = {
  sendings: 2,
  otherBody: 0,
  vms: 2,
  losses: 0,
  crashes: 0,
  expiries: 0,
};
const LOSS: ClaimsBounds = { ...NO_FAULTS, losses: 1 };
const CRASH: ClaimsBounds = { ...NO_FAULTS, crashes: 1, expiries: 1 };
const OTHER_BODY: ClaimsBounds = { ...LOSS, otherBody: 1 };

describe("model of request claims", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
  // A request is retried through another VM at any time during its first sending:
  // that one's VM crashed, the response to its claim was lost, or its caller gave
  // up. The request could run twice, or be reported as not run although it ran.
  it.each([LOSS, CRASH, OTHER_BODY])(
    "lets a request run at most once in all orders within %o",
    (bounds) => {
      const found = explore(claimsModel(bounds, attemptCore));
      expect(found.violation).toBeUndefined();
    },
  );

  it.each([
    [
      "treats a lost response as a granted claim",
      'return to(attempt, { kind: "reading", over }, { kind: "read" });',
      "return grant(attempt, over + 1);",
      LOSS,
      "a request runs at most once",
    ],
    [
      "takes over from a holder that does not respond",
      'return refuse(attempt, { kind: "unknown" });\n  }\n}\n\nfunction while',
      "return claimOver(attempt, phase.over);\n  }\n}\n\nfunction while",
      NO_FAULTS,
      "a request runs at most once",
    ],
    [
      "reports a claim as free although the request may still run",
      'case "dispatched":\n      return { kind: "running" };',
      'case "dispatched":\n      return { kind: "free" };',
      NO_FAULTS,
      "a request runs at most once",
    ],
    [
      "continues with a sending that it refused",
      'return to(attempt, { kind: "closed" }, { kind: "refuse", refusal });',
      'return to(attempt, attempt.phase, { kind: "refuse", refusal });',
      CRASH,
      "a refused sending is never sent",
    ],
    [
      "reports a key as not run without knowing whether it ran",
      'attempt.keyNeverRan ? "key" : "this-sending"',
      '"key"',
      LOSS,
      "a key is reported as not run only if it had not run",
    ],
    [
      "records a response for a request that a target refused",
      'outcome.kind === "not-run" ? { kind: "abandoned" }',
      'outcome.kind === "not-run" ? { kind: "answered", answer: { status: 9 } }',
      NO_FAULTS,
      "a repeated sending gets the response of the run",
    ],
    [
      "does not compare the body",
      "if (claim.bodyDigest !== attempt.bodyDigest) {",
      "if (claim.bodyDigest === undefined) {",
      OTHER_BODY,
      "a sending with another body never gets the response of the run",
    ],
  ])(
    "reports a violation when the core %s",
    async (_, find, replace, bounds, property) => {
      const path = corePath("claims/attempt.ts");
      const core = await loadMutant<AttemptCore>(path, { find, replace });
      const model = claimsModel(bounds, core);
      expect(explore(model, [property]).violation?.property).toBe(property);
    },
  );
});
