import { describe, expect, it } from "vitest";
import { corePath, decisionPath } from "./core_path.ts";
import { explore } from "./explore.ts";
import { loadMutant } from "./mutant.ts";
import {
  ONE_HOLDER,
  ONE_USER,
  PLAN_TERM_CORES,
  type PlanTermBounds,
  planTermModel,
  WAITED_OUT,
} from "./plan_term_model.ts";

/** No verdict hangs on time; a busy host only takes longer to explore. */
const EXPLORING_MS = 300_000;

const CUT_OFF: PlanTermBounds = {
  steps: 3,
  questions: 2,
  reads: 0,
  restarts: 0,
};
const RESTART: PlanTermBounds = { ...CUT_OFF, questions: 1, restarts: 1 };
const READ: PlanTermBounds = { ...CUT_OFF, questions: 1, reads: 1 };

const TERM = corePath("plan_term/term.ts");
const SILENCE = decisionPath("silence.ts");
const TRANSITION = decisionPath("plan_transition.ts");

describe("terms of plans", { timeout: EXPLORING_MS }, () => {
  // A VM is cut off while its slot is given to another. Were both to use it,
  // the target would have one request too many and shed somebody's work.
  it.each([CUT_OFF, RESTART, READ])(
    "let no slot have two users, within %o",
    (bounds) => {
      const found = explore(planTermModel(bounds), [ONE_USER, ONE_HOLDER]);
      expect(found.violation).toBeUndefined();
      expect(found.states).toBeGreaterThan(1_000);
    },
  );

  it("let the planner wait a silent VM out", () => {
    const model = planTermModel({ ...CUT_OFF, questions: 0 });
    expect(explore(model, [WAITED_OUT]).violation).toBeDefined();
  });

  it.each([
    [
      "a VM vouches for a plan that it has left",
      RESTART,
      TERM,
      "if (sequence < state.sequence) {",
      "if (sequence < 0) {",
    ],
    [
      "a VM that the plan does not name vouches",
      RESTART,
      TERM,
      "if (!isHolder(state, self.instance) || ",
      "if (",
    ],
    [
      "an answer counts for a later question",
      CUT_OFF,
      TERM,
      "message.question !== last?.question",
      "last === undefined",
    ],
    [
      "the planner gives up on one of two silent VMs",
      CUT_OFF,
      SILENCE,
      "if (unheard) {",
      "if (unheard && input.now < 0) {",
    ],
    [
      "the planner does not wait",
      CUT_OFF,
      SILENCE,
      "input.now >= since + STOPPED_AFTER_MS",
      "input.now >= since",
    ],
    [
      "the planner raises before the lowering is complete",
      CUT_OFF,
      TRANSITION,
      "return confirmed || step.stopped.has(old.vm)",
      "return confirmed || step.sequence > 0",
    ],
  ])("is caught when %s", async (_, bounds, path, find, replace) => {
    const core = await loadMutant<never>(path, { find, replace });
    const cores = { ...PLAN_TERM_CORES, ...replaced(path, core) };
    const found = explore(planTermModel(bounds, cores), [ONE_USER]);
    expect(found.violation?.property).toBe(ONE_USER);
  });
});

function replaced(path: string, core: never) {
  switch (path) {
    case TERM:
      return { term: core };
    case SILENCE:
      return { silence: core };
    default:
      return { transition: core };
  }
}
