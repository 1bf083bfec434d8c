/**
 * The words of slot escrow: pools, plans, and what owners tell each other.
 * Messages are plain JSON with the sender's instance and durations only.
 *
 * @module
 */

import type { Brand, VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";

/** A number of slots that several VMs share: a target's, or a region's for a service. */
export type PoolId = Brand<"PoolId">;
/** One loan, unique over all instances. */
export type LoanId = Brand<"LoanId">;

/** A pool and how many slots there are in all. */
export interface Pool {
  readonly pool: PoolId;
  readonly total: number;
}

/**
 * Who owns the slots of some pools. Written to the table under the lease's
 * fencing token, so that two planners cannot both fix the owners of one epoch.
 */
export interface EscrowPlan {
  /** Grows with each plan. */
  readonly epoch: number;
  /** Instances that own slots, by rendezvous hash. A restarted VM owns nothing until a plan names its new instance. */
  readonly owners: readonly Sender[];
  /** Instances that may still hold slots by an earlier epoch. */
  readonly earlierOwners: readonly Sender[];
  readonly pools: readonly Pool[];
}

/** A message between two members of one plan. */
export type EscrowMessage =
  /** Asks for a loan, or for a longer one where the loan is known. */
  | {
    readonly kind: "borrow";
    readonly from: Sender;
    readonly loan: LoanId;
    readonly pool: PoolId;
    readonly slots: number;
    readonly durationMs: number;
    /** Counts the requests for this loan; the grant names the one it answers. */
    readonly attempt: number;
  }
  /** The lender has lowered its own count; the loan lasts from when the borrower asked. */
  | {
    readonly kind: "grant";
    readonly from: Sender;
    readonly loan: LoanId;
    /** At most as many as were asked for. */
    readonly slots: number;
    readonly attempt: number;
    readonly durationMs: number;
  }
  | {
    readonly kind: "refuse";
    readonly from: Sender;
    readonly loan: LoanId;
    /** Slots the lender could spare now. */
    readonly spare: number;
  }
  /** The borrower has stopped using the loan. */
  | { readonly kind: "return"; readonly from: Sender; readonly loan: LoanId }
  /** Asks a fellow owner to vouch that `epoch` is the newest it knows. */
  | {
    readonly kind: "renew";
    readonly from: Sender;
    readonly epoch: number;
    readonly attempt: number;
  }
  | {
    readonly kind: "renewed";
    readonly from: Sender;
    readonly epoch: number;
    readonly attempt: number;
  }
  /** The sender knows a newer epoch than the one it was asked about. */
  | { readonly kind: "outdated"; readonly from: Sender; readonly epoch: number }
  /** The sender holds no more than its share of `epoch`, in any pool. */
  | { readonly kind: "lowered"; readonly from: Sender; readonly epoch: number }
  | {
    readonly kind: "lowered-seen";
    readonly from: Sender;
    readonly epoch: number;
  };

/** What an escrow core wants done or known. */
export type EscrowEffect =
  | {
    readonly kind: "send";
    readonly to: VmId;
    readonly message: EscrowMessage;
  }
  /** Slots that this VM may use of a pool changed. */
  | { readonly kind: "changed"; readonly pool: PoolId; readonly held: number }
  /** A peer knows a newer plan: read it. */
  | { readonly kind: "outdated"; readonly vm: VmId; readonly epoch: number };

/** A slot in use, to be given back. `loan` is absent for a slot of this VM's own. */
export interface SlotUse {
  readonly pool: PoolId;
  readonly loan: LoanId | undefined;
}
