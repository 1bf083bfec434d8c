/**
 * Admission, queueing, load shedding, placement and traffic shifting, as pure
 * code without I/O.
 *
 * @module
 */

export * from "./effect.ts";
export * from "./event.ts";
export * from "./plan.ts";
export * from "./plan_check.ts";
export { type Holding, nextHoldings, type Step } from "./plan_transition.ts";
export * from "./planner.ts";
export * from "./silence.ts";
export * from "./policy.ts";
export * from "./steering.ts";
export * from "./switch_check.ts";
