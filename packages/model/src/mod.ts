/**
 * Model checking of the pure state machines ("cores") of the coordination
 * package.
 *
 * @module
 */

export {
  type Exploration,
  explore,
  type Model,
  type ModelEvent,
  type Violation,
} from "./explore.ts";
export { loadMutant, type Mutation } from "./mutant.ts";
