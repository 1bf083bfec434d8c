/**
 * The types of slot escrow: pools, plans, and the messages between owners.
 * Messages are plain JSON with the sender's instance and with durations only.
 *
 * @module
 */

import type { Brand, VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";

/** Identifies slots that several VMs share: those of a target, or of a region for a service. */
export type PoolId = Brand<"PoolId">;
/** Identifies a loan, unique across all instances. */
export type LoanId = Brand<"LoanId">;

/** A pool and its total number of slots. */
export interface Pool {
  readonly pool: PoolId;
  readonly total: number;
}

/**
 * The owners of the slots of some pools. It is written to the table under the
 * lease's fencing token, so that two planners cannot both define one epoch.
 */
export interface EscrowPlan {
  /** Increases with each plan. */
  readonly epoch: number;
  /** Instances among which rendezvous hashing divides the slots. A restarted VM owns nothing until a plan names its new instance. */
  readonly owners: readonly Sender[];
  /** Instances that may still hold slots from an earlier epoch. */
  readonly earlierOwners: readonly Sender[];
  readonly pools: readonly Pool[];
}

/** A message between two instances of a plan. */
export type EscrowMessage =
  /** Requests a loan, or the extension of an existing one. */
  | {
    readonly kind: "borrow";
    readonly from: Sender;
    readonly loan: LoanId;
    readonly pool: PoolId;
    readonly slots: number;
    readonly durationMs: number;
    /** Number of the request for this loan; the grant carries that of the request it responds to. */
    readonly attempt: number;
  }
  /** The lender has lowered its own count; the loan's duration counts from the borrower's request. */
  | {
    readonly kind: "grant";
    readonly from: Sender;
    readonly loan: LoanId;
    /** At most as many as requested. */
    readonly slots: number;
    readonly attempt: number;
    readonly durationMs: number;
  }
  | {
    readonly kind: "refuse";
    readonly from: Sender;
    readonly loan: LoanId;
    /** Slots that the lender could lend now. */
    readonly spare: number;
  }
  /** The borrower no longer uses the loan. */
  | { readonly kind: "return"; readonly from: Sender; readonly loan: LoanId }
  /** Asks another owner to confirm that `epoch` is the newest it knows. */
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
  /** The sender knows a newer epoch than the requested one. */
  | { readonly kind: "outdated"; readonly from: Sender; readonly epoch: number }
  /** The sender holds no more than its share of `epoch`, in any pool. */
  | { readonly kind: "lowered"; readonly from: Sender; readonly epoch: number }
  | {
    readonly kind: "lowered-seen";
    readonly from: Sender;
    readonly epoch: number;
  };

/** Output of an escrow core: a message to send, or a notification. */
export type EscrowEffect =
  | {
    readonly kind: "send";
    readonly to: VmId;
    readonly message: EscrowMessage;
  }
  /** The number of slots that this VM may use of a pool changed. */
  | { readonly kind: "changed"; readonly pool: PoolId; readonly held: number }
  /** A peer knows a newer plan, which should be read from the table. */
  | { readonly kind: "outdated"; readonly vm: VmId; readonly epoch: number };

/** A slot in use, to be released. `loan` is undefined for a slot that this VM owns. */
export interface SlotUse {
  readonly pool: PoolId;
  readonly loan: LoanId | undefined;
}
