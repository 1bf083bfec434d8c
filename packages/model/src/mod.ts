/**
 * Model checking of the coordination cores.
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
