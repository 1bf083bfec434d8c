/**
 * Terms of plans: how long a VM may use the slots that a plan assigns to it,
 * including while the table is unreachable.
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
