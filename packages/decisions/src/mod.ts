/**
 * Decisions under load, as pure code: what is let in, what waits, what is
 * turned away, where work goes, and how fast it shifts.
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
