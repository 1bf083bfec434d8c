/**
 * What a VM is to do after a decision.
 *
 * @module
 */

import type {
  RegionId,
  RequestId,
  ServiceId,
  TargetId,
  VmId,
} from "@poplarthread/ids";

/** Why a request is not served. */
export type RefuseReason =
  /** Its wait could not end in time, or the queue of its class is full. */
  | "overload"
  /** It waited for as long as it may. */
  | "waited-too-long"
  /** No target of the service is known to this VM. */
  | "no-target"
  /** The policy in force doesn't know its service or class. */
  | "unknown-route"
  /** Its attempts failed, and another is not allowed or not affordable. */
  | "attempts-failed";

/** Send the request to the target now. The slot is taken. */
export interface Dispatch {
  readonly kind: "dispatch";
  readonly request: RequestId;
  readonly target: TargetId;
  /** Counts from 1 within the request. */
  readonly attempt: number;
}

/** Send an idempotent request to a second target, beside the running attempt. */
export interface Hedge {
  readonly kind: "hedge";
  readonly request: RequestId;
  readonly target: TargetId;
  readonly attempt: number;
}

/** Break the attempt off. `ended` is expected for it nevertheless. */
export interface Cancel {
  readonly kind: "cancel";
  readonly request: RequestId;
  readonly attempt: number;
}

/** Give the caller its final answer now. */
export interface Refuse {
  readonly kind: "refuse";
  readonly request: RequestId;
  readonly reason: RefuseReason;
  /** When to come back, spread over callers, in milliseconds. */
  readonly retryAfterMs: number;
  /** True only where no attempt can have run it; else its outcome is unknown. */
  readonly notRun: boolean;
}

/** Tell a peer what waits here; it answers by lending, now or later. */
export interface Ask {
  readonly kind: "ask";
  readonly to: VmId;
  readonly service: ServiceId;
  readonly region: RegionId;
  /** 0 withdraws the question. */
  readonly slots: number;
  readonly rank: number;
  readonly rankWaitMs: number;
  readonly waitMs: number;
}

/** Lend slots of a target to a peer. This VM counts them as gone already. */
export interface Lend {
  readonly kind: "lend";
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
  readonly durationMs: number;
}

/** Give borrowed slots back. This VM doesn't use them any more. */
export interface GiveBack {
  readonly kind: "give-back";
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
}

/** This VM now holds no more than the plan of that sequence allots to it. */
export interface PlanApplied {
  readonly kind: "plan-applied";
  readonly sequence: number;
}

/** This VM's own attempts say that a target fails, or works again: tell peers. */
export interface BeliefChanged {
  readonly kind: "belief-changed";
  readonly target: TargetId;
  readonly failing: boolean;
}

/** Everything that can be asked of the VM. */
export type Effect =
  | Dispatch
  | Hedge
  | Cancel
  | Refuse
  | Ask
  | Lend
  | GiveBack
  | PlanApplied
  | BeliefChanged;
