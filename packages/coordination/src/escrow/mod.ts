/**
 * Slot escrow: VMs own slots of targets and regions and lend them to each
 * other, so that the slots held never add up to more than there are.
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
export { sharesOf } from "./shares.ts";
export { Escrow, type EscrowOptions, type SlotNeed } from "./escrow.ts";
