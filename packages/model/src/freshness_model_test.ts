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

/** No verdict hangs on time; a busy host only takes longer to explore. */
const EXPLORING_MS = 300_000;

/** Longer ways through time; a reader that changes, and suspensions. */
const BOUNDS: readonly FreshnessBounds[] = [
  { processes: 2, readers: 1, steps: 3, calls: 2, suspensions: 0 },
  { processes: 2, readers: 2, steps: 2, calls: 2, suspensions: 1 },
];

/** Chains of four are too many states to explore; walks through them are random. */
const CHAIN: FreshnessBounds = {
  processes: 4,
  readers: 2,
  steps: 6,
  calls: 12,
  suspensions: 3,
};
const STEPS_OF_A_WALK = 60;

/** The first state of a random walk in which a property does not hold. */
function walk(core: FreshnessCore, choices: readonly number[]) {
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

describe("a removed right", { timeout: EXPLORING_MS }, () => {
  it.each(BOUNDS)(
    "is relied on by nobody past the bound, whatever is late, lost or suspended: %o",
    (bounds) => {
      const found = explore(freshnessModel(bounds, freshness));
      expect(found.violation).toBeUndefined();
    },
  );

  it("is relied on by nobody at the end of chains that change", () => {
    const choices = fc.array(fc.nat(10_000), {
      minLength: STEPS_OF_A_WALK,
      maxLength: STEPS_OF_A_WALK,
    });
    fc.assert(
      fc.property(choices, (walked) => walk(freshness, walked) === undefined),
      { numRuns: 5_000, seed: 1 },
    );
  });

  it.each([
    [
      "counts from the end of the reading",
      "{ startedAt }: Reading): number {\n  return startedAt;",
      "{ endedAt }: Reading): number {\n  return endedAt;",
    ],
    [
      "leaves the time on the way out",
      "return answeredAt - transitMs - readAgeMs;",
      "return answeredAt - readAgeMs;",
    ],
    [
      "forgets the age when it turns to another process",
      "return answeredAt - transitMs - readAgeMs;",
      "return answeredAt - transitMs;",
    ],
    [
      "takes all of the question's time for time at the other process",
      "heldMs: Math.floor(answeredAt - askedAt),",
      "heldMs: Math.floor(answeredAt - askedAt) + 1,",
    ],
    [
      "relies a step longer",
      "return ageMs <= boundMs;",
      "return ageMs <= boundMs + 1;",
    ],
  ])("is not missed where a process %s", async (_, find, replace) => {
    const path = corePath("freshness/freshness.ts");
    const core = await loadMutant<FreshnessCore>(path, { find, replace });
    const found = BOUNDS.map((bounds) => explore(freshnessModel(bounds, core)));
    expect(found.some(({ violation }) => violation !== undefined)).toBe(true);
  });
});
