/**
 * Actions that a VM has to carry out after a decision.
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
  /** Its expected wait is too long, or the queue of its class is full. */
  | "overload"
  /** It waited for the maximum time. */
  | "waited-too-long"
  /** No target of the service is known to this VM. */
  | "no-target"
  /** The policy in force doesn't know its service or class. */
  | "unknown-route"
  /** Its attempts failed, and another attempt is not allowed or exceeds the
   * retry budget. */
  | "attempts-failed";

/** Send the request to the target now. Its slot is already counted as used. */
export interface Dispatch {
  readonly kind: "dispatch";
  readonly request: RequestId;
  readonly target: TargetId;
  /** Counts from 1 within the request. */
  readonly attempt: number;
}

/** Send an idempotent request to a second target, in parallel with the running
 * attempt. */
export interface Hedge {
  readonly kind: "hedge";
  readonly request: RequestId;
  readonly target: TargetId;
  readonly attempt: number;
}

/** Abort the attempt. An `ended` event is still expected for it. */
export interface Cancel {
  readonly kind: "cancel";
  readonly request: RequestId;
  readonly attempt: number;
}

/** Refuse the request: send the caller its final reply now. */
export interface Refuse {
  readonly kind: "refuse";
  readonly request: RequestId;
  readonly reason: RefuseReason;
  /** When the caller should retry, spread over callers. */
  readonly retryAfterMs: number;
  /** True only if no attempt can have run the request; otherwise its outcome is
   * unknown. */
  readonly notRun: boolean;
}

/** Request slots from a peer and report what waits here. The peer responds by
 * lending, now or later. */
export interface SlotRequest {
  readonly kind: "ask";
  readonly to: VmId;
  readonly service: ServiceId;
  readonly region: RegionId;
  /** 0 withdraws the request. */
  readonly slots: number;
  readonly rank: number;
  readonly rankWaitMs: number;
  readonly waitMs: number;
}

/** Lend slots of a target to a peer. This VM already counts them as lent. */
export interface Lend {
  readonly kind: "lend";
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
  readonly durationMs: number;
}

/** Return borrowed slots. This VM no longer uses them. */
export interface ReturnSlots {
  readonly kind: "give-back";
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
}

/** This VM now uses no more than the plan with this sequence allots to it. */
export interface PlanApplied {
  readonly kind: "plan-applied";
  readonly sequence: number;
}

/** This VM's own attempts show that a target fails or works again; to be
 * reported to peers. */
export interface HealthChanged {
  readonly kind: "belief-changed";
  readonly target: TargetId;
  readonly failing: boolean;
}

/** All effects. */
export type Effect =
  | Dispatch
  | Hedge
  | Cancel
  | Refuse
  | SlotRequest
  | Lend
  | ReturnSlots
  | PlanApplied
  | HealthChanged;
