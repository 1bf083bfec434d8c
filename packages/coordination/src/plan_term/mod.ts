/**
 * Terms of a plan: how long a VM may use what a plan hands out, also while the
 * table is out of reach.
 *
 * @module
 */

export {
  advanceTerm,
  isTermValid,
  newTerm,
  type TermEffect,
  type TermEvent,
  type TermMessage,
  type TermResult,
  type TermState,
  type TermTimes,
} from "./term.ts";
