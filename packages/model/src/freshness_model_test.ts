import * as freshness from "@poplarthread/coordination/freshness";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { corePath } from "./core_path.ts";
import { explore } from "./explore.ts";
import {
  type FreshnessBounds,
  type FreshnessCore,
  freshnessModel,
} from "./freshness_model.ts";
import { loadMutant } from "./mutant.ts";

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

/** More steps of time with one reader; two readers and a suspension. */
const BOUNDS: readonly FreshnessBounds[] = [
  { processes: 2, readers: 1, steps: 3, calls: 2, suspensions: 0 },
  { processes: 2, readers: 2, steps: 2, calls: 2, suspensions: 1 },
];

/** A chain of four has too many states to explore all; it is checked by random walks. */
const CHAIN: FreshnessBounds = {
  processes: 4,
  readers: 2,
  steps: 6,
  calls: 12,
  suspensions: 3,
};
const STEPS_PER_WALK = 60;

/** Returns the first state of a random walk that violates a property. */
function findViolation(core: FreshnessCore, choices: readonly number[]) {
  const model = freshnessModel(CHAIN, core);
  let state = model.initial;
  for (const choice of choices) {
    const events = model.events(state);
    if (events.length === 0) {
      break;
    }
    state = model.next(state, events[choice % events.length]!);
    if (!Object.values(model.properties).every((holds) => holds(state))) {
      return state;
    }
  }
  return undefined;
}

describe("model of freshness", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
  it.each(BOUNDS)(
    "lets no process rely on a removed permission past the limit despite delays, losses and suspensions: %o",
    (bounds) => {
      const found = explore(freshnessModel(bounds, freshness));
      expect(found.violation).toBeUndefined();
    },
  );

  it("lets no process rely on a removed permission past the limit at the end of changing chains", () => {
    const choices = fc.array(fc.nat(10_000), {
      minLength: STEPS_PER_WALK,
      maxLength: STEPS_PER_WALK,
    });
    fc.assert(
      fc.property(
        choices,
        (walked) => findViolation(freshness, walked) === undefined,
      ),
      { numRuns: 5_000, seed: 1 },
    );
  });

  it.each([
    [
      "counts the age from the end of the read",
      "{ startedAt }: TableRead): number {\n  return startedAt;",
      "{ endedAt }: TableRead): number {\n  return endedAt;",
    ],
    [
      "ignores the time in transit",
      "return respondedAt - transitMs - readAgeMs;",
      "return respondedAt - readAgeMs;",
    ],
    [
      "ignores the age at the queried process",
      "return respondedAt - transitMs - readAgeMs;",
      "return respondedAt - transitMs;",
    ],
    [
      "counts too much time as spent at the queried process",
      "heldMs: Math.floor(respondedAt - requestedAt),",
      "heldMs: Math.floor(respondedAt - requestedAt) + 1,",
    ],
    [
      "relies on information for a step too long",
      "return ageMs <= boundMs;",
      "return ageMs <= boundMs + 1;",
    ],
  ])("reports a violation when a process %s", async (_, find, replace) => {
    const path = corePath("freshness/freshness.ts");
    const core = await loadMutant<FreshnessCore>(path, { find, replace });
    const found = BOUNDS.map((bounds) => explore(freshnessModel(bounds, core)));
    expect(found.some(({ violation }) => violation !== undefined)).toBe(true);
  });
});
