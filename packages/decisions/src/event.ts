/**
 * Events that a VM's decisions process.
 *
 * @module
 */

import type {
  CallerId,
  RegionId,
  RequestId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import type { Plan } from "./plan.ts";
import type { Policy } from "./policy.ts";

/** Whether a request may be run again once it may have run. */
export type Repeat = "idempotent" | "at-most-once";

/**
 * How an attempt ended.
 *
 * - `answered`: the complete response arrived.
 * - `answered-error`: the complete response arrived and is a server error; it
 * is passed to the caller, and it counts against the target.
 * - `refused-not-run`: the target refused the request and states that it did
 * not run it.
 * - `leaving`: the same, because the target is leaving.
 * - `failed-before-sent`: no byte of the request was passed to the network.
 * - `failed-after-sent`: the target may have run the request.
 * - `cancelled`: ended because of a `cancel` effect.
 */
export type AttemptOutcome =
  | "answered"
  | "answered-error"
  | "refused-not-run"
  | "leaving"
  | "failed-before-sent"
  | "failed-after-sent"
  | "cancelled";

/** An entry of the target list. */
export interface TargetEntry {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly leaving: boolean;
  /** Its caches are cold because it is new or restarted; its use is raised
   * slowly. */
  readonly cold?: boolean;
}

/** An entry VM in the membership list. */
export interface VmEntry {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** False when it is leaving or has not been heard from for long. */
  readonly live: boolean;
}

/** A new request. Every request ends in exactly one of these ways: an attempt
 * is answered, a `refuse` effect, or `gone`. */
export interface Arrive {
  readonly kind: "arrive";
  readonly request: RequestId;
  readonly caller: CallerId;
  readonly service: ServiceId;
  /** Id of the class in the policy. */
  readonly class: string;
  /** Time left until its deadline. */
  readonly deadlineMs: number;
  readonly repeat: Repeat;
}

/** The first byte of a response arrived. From now on no other attempt may win. */
export interface Answering {
  readonly kind: "answering";
  readonly request: RequestId;
  readonly attempt: number;
}

/** An attempt ended and its slot is free. Sent once for every attempt, also
 * after a cancel. */
export interface Ended {
  readonly kind: "ended";
  readonly request: RequestId;
  readonly attempt: number;
  readonly outcome: AttemptOutcome;
}

/** The caller disconnected. */
export interface Gone {
  readonly kind: "gone";
  readonly request: RequestId;
}

/** A target's own report of its health and load. */
export interface Report {
  readonly kind: "report";
  readonly target: TargetId;
  readonly healthy: boolean;
  /** Requests in flight from all VMs, if the target reports it. */
  readonly inFlight?: number;
  /** Age of the measurement, in milliseconds. */
  readonly ageMs: number;
}

/** Another VM's view of a target, from its own attempts. */
export interface PeerHealth {
  readonly kind: "peer-belief";
  readonly from: VmId;
  readonly target: TargetId;
  readonly failing: boolean;
  readonly ageMs: number;
}

/** A target is leaving, as reported by any source. It is reset only by a target
 * list that names the target as not leaving after it was gone. */
export interface TargetLeaving {
  readonly kind: "target-leaving";
  readonly target: TargetId;
}

/** The full target list. Targets that it doesn't name are gone. */
export interface Targets {
  readonly kind: "targets";
  readonly targets: readonly TargetEntry[];
}

/** The full list of entry VMs, including this one. */
export interface Vms {
  readonly kind: "vms";
  readonly vms: readonly VmEntry[];
}

/** The full set of operators' drains; empty lists end all drains. */
export interface Drains {
  readonly kind: "drains";
  readonly targets: readonly TargetId[];
  readonly zones: readonly ZoneId[];
  readonly vms: readonly VmId[];
}

/** A plan is in force, or was renewed: its time to live starts again. */
export interface PlanReceived {
  readonly kind: "plan";
  readonly plan: Plan;
  /** Remaining time that it may be used, in ms; by default its time to live. */
  readonly validMs?: number;
}

/** A region is lost or available again. This is decided from the membership,
 * not from a single report. */
export interface RegionLost {
  readonly kind: "region-lost";
  readonly region: RegionId;
  readonly lost: boolean;
}

/** A new policy is in force. */
export interface PolicyChanged {
  readonly kind: "policy";
  readonly policy: Policy;
}

/**
 * Another VM requests slots. This replaces that VM's earlier request for the
 * same service and region; 0 slots withdraw it.
 */
export interface SlotsRequested {
  readonly kind: "asked";
  readonly from: VmId;
  readonly service: ServiceId;
  /** Region whose targets are requested. */
  readonly region: RegionId;
  readonly slots: number;
  /** Best rank among the requests that wait there. */
  readonly rank: number;
  /** Expected time until its waiting requests of that rank are served from the
   * slots that it holds, in ms. */
  readonly rankWaitMs: number;
  /** The same for all its waiting requests. */
  readonly waitMs: number;
}

/** Slots of a target lent to this VM by another. */
export interface Borrowed {
  readonly kind: "borrowed";
  readonly from: VmId;
  readonly target: TargetId;
  readonly slots: number;
  /** Duration of the loan from now on; the safety margin is already subtracted. */
  readonly durationMs: number;
}

/** Slots that this VM lent are available again: returned by the borrower, or
 * the loan expired. */
export interface LoanEnded {
  readonly kind: "loan-ended";
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
}

/** The time given by `nextTick` has come. */
export interface Tick {
  readonly kind: "tick";
}

/** All events. */
export type SteeringEvent =
  | Arrive
  | Answering
  | Ended
  | Gone
  | Report
  | PeerHealth
  | TargetLeaving
  | Targets
  | Vms
  | Drains
  | PlanReceived
  | RegionLost
  | PolicyChanged
  | SlotsRequested
  | Borrowed
  | LoanEnded
  | Tick;
