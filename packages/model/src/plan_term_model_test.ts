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

/** Generous: no result depends on time, and an exploration takes longer on a busy host. */
const EXPLORATION_TIMEOUT_MS = 300_000;

const PARTITION: PlanTermBounds = {
  steps: 3,
  renewals: 2,
  reads: 0,
  restarts: 0,
};
const RESTART: PlanTermBounds = { ...PARTITION, renewals: 1, restarts: 1 };
const READ: PlanTermBounds = { ...PARTITION, renewals: 1, reads: 1 };

const TERM = corePath("plan_term/term.ts");
const SILENCE = decisionPath("silence.ts");
const TRANSITION = decisionPath("plan_transition.ts");

describe("model of plan terms", { timeout: EXPLORATION_TIMEOUT_MS }, () => {
  // A VM is partitioned while its slot is assigned to another VM. If both used
  // the slot, the target would get one request too many and shed load.
  it.each([PARTITION, RESTART, READ])(
    "lets at most one VM use a slot, within %o",
    (bounds) => {
      const found = explore(planTermModel(bounds), [ONE_USER, ONE_HOLDER]);
      expect(found.violation).toBeUndefined();
      expect(found.states).toBeGreaterThan(1_000);
    },
  );

  it("lets the planner wait until an unresponsive VM's term has ended", () => {
    const model = planTermModel({ ...PARTITION, renewals: 0 });
    expect(explore(model, [WAITED_OUT]).violation).toBeDefined();
  });

  it.each([
    [
      "a VM renews terms for a plan that it no longer follows",
      RESTART,
      TERM,
      "if (sequence < state.sequence) {",
      "if (sequence < 0) {",
    ],
    [
      "a VM that the plan does not name renews terms",
      RESTART,
      TERM,
      "if (!isHolder(state, self.instance) || ",
      "if (",
    ],
    [
      "a response is taken for one to a later request",
      PARTITION,
      TERM,
      "message.question !== last?.question",
      "last === undefined",
    ],
    [
      "the planner ignores one of two unresponsive VMs",
      PARTITION,
      SILENCE,
      "if (unheard) {",
      "if (unheard && input.now < 0) {",
    ],
    [
      "the planner does not wait for the end of the term",
      PARTITION,
      SILENCE,
      "input.now >= since + STOPPED_AFTER_MS",
      "input.now >= since",
    ],
    [
      "the planner raises a holding before the lowering of another is complete",
      PARTITION,
      TRANSITION,
      "return confirmed || step.stopped.has(old.vm)",
      "return confirmed || step.sequence > 0",
    ],
  ])(
    "reports a violation when %s",
    async (_, bounds, path, find, replace) => {
      const core = await loadMutant<never>(path, { find, replace });
      const cores = { ...PLAN_TERM_CORES, ...replaced(path, core) };
      const found = explore(planTermModel(bounds, cores), [ONE_USER]);
      expect(found.violation?.property).toBe(ONE_USER);
    },
  );
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
