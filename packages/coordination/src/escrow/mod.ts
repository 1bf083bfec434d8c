/**
 * Slot escrow: VMs own slots of targets and regions and lend them to each other,
 * so that the sum of the slots held never exceeds the total.
 *
 * @module
 */

export type {
  EscrowEffect,
  EscrowMessage,
  EscrowPlan,
  LoanId,
  Pool,
  PoolId,
  SlotUse,
} from "./messages.ts";
export { nextPlan } from "./plan.ts";
export { DEFAULT_RULES, type EscrowRules, unconfirmedOwners } from "./rules.ts";
export { sharesOf } from "./shares.ts";
export {
  type Context as EscrowContext,
  type EscrowState,
  type EscrowTimes,
  initialState as initialEscrowState,
} from "./state.ts";
export {
  DEFAULT_TIMES as DEFAULT_ESCROW_TIMES,
  Escrow,
  type EscrowOptions,
  type SlotNeed,
} from "./escrow.ts";
