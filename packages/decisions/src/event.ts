/**
 * What can happen to a VM, as far as its decisions go.
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

/** Whether a request may be run again after it may have run. */
export type Repeat = "idempotent" | "at-most-once";

/**
 * How an attempt ended.
 *
 * - `answered`: the whole answer came.
 * - `answered-error`: the whole answer came and is a server error; it is the
 *   caller's answer, and it counts against the target.
 * - `refused-not-run`: the target refused and says that it did not run.
 * - `leaving`: the same, because the target is leaving.
 * - `failed-before-sent`: no byte of the request was handed to the network.
 * - `failed-after-sent`: the target may have run it.
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

/** A target as the target list names it. */
export interface TargetEntry {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly leaving: boolean;
  /** Its caches are cold: new, or restarted. Its use is raised slowly. */
  readonly cold?: boolean;
}

/** An entry VM as the membership names it. */
export interface VmEntry {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** False when it is leaving, or no sign of it has come for long. */
  readonly live: boolean;
}

/** A request to be decided on. Every accepted one ends by exactly one of: an
 * attempt that is answered, a `refuse` effect, or `gone`. */
export interface Arrive {
  readonly kind: "arrive";
  readonly request: RequestId;
  readonly caller: CallerId;
  readonly service: ServiceId;
  /** Id of the class in the policy. */
  readonly class: string;
  /** Time left to answer, in milliseconds. */
  readonly deadlineMs: number;
  readonly repeat: Repeat;
}

/** The first byte of an answer came. From here on no other attempt may win. */
export interface Answering {
  readonly kind: "answering";
  readonly request: RequestId;
  readonly attempt: number;
}

/** An attempt ended and its slot is free. Sent once for every dispatch, also
 * after a cancel. */
export interface Ended {
  readonly kind: "ended";
  readonly request: RequestId;
  readonly attempt: number;
  readonly outcome: AttemptOutcome;
}

/** The caller went away. */
export interface Gone {
  readonly kind: "gone";
  readonly request: RequestId;
}

/** A target's own word on its health and load. */
export interface Report {
  readonly kind: "report";
  readonly target: TargetId;
  readonly healthy: boolean;
  /** Requests in flight, of all VMs, where the target tells it. */
  readonly inFlight?: number;
  /** Age of the measurement, in milliseconds. */
  readonly ageMs: number;
}

/** What another VM sees of a target from its own attempts. */
export interface PeerBelief {
  readonly kind: "peer-belief";
  readonly from: VmId;
  readonly target: TargetId;
  readonly failing: boolean;
  readonly ageMs: number;
}

/** A target is leaving, by any sign from any source. Never taken back but by a
 * target list that names it as not leaving after it was gone. */
export interface TargetLeaving {
  readonly kind: "target-leaving";
  readonly target: TargetId;
}

/** The whole target list. Targets that it doesn't name are gone. */
export interface Targets {
  readonly kind: "targets";
  readonly targets: readonly TargetEntry[];
}

/** The whole list of entry VMs, this one included. */
export interface Vms {
  readonly kind: "vms";
  readonly vms: readonly VmEntry[];
}

/** What an operator drains, all of it; an empty list ends every drain. */
export interface Drains {
  readonly kind: "drains";
  readonly targets: readonly TargetId[];
  readonly zones: readonly ZoneId[];
  readonly vms: readonly VmId[];
}

/** A plan is in force, or is renewed: its time to live starts again. */
export interface PlanReceived {
  readonly kind: "plan";
  readonly plan: Plan;
  /** For how long it may be used, in ms; its time to live where absent. */
  readonly validMs?: number;
}

/** A region is lost, or back: decided from membership, not by one report. */
export interface RegionLost {
  readonly kind: "region-lost";
  readonly region: RegionId;
  readonly lost: boolean;
}

/** Another policy is in force. */
export interface PolicyChanged {
  readonly kind: "policy";
  readonly policy: Policy;
}

/**
 * Another VM asks for slots. It replaces the VM's earlier question about the
 * same service and region; 0 slots withdraw it.
 */
export interface Asked {
  readonly kind: "asked";
  readonly from: VmId;
  readonly service: ServiceId;
  /** Region whose targets are wanted. */
  readonly region: RegionId;
  readonly slots: number;
  /** Best rank that waits there. */
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
  /** For how long, counted from now, safety margin already taken off. */
  readonly durationMs: number;
}

/** Slots that this VM lent are back: returned by the borrower or run out. */
export interface LoanEnded {
  readonly kind: "loan-ended";
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
}

/** The time asked for by `nextTick` has come. */
export interface Tick {
  readonly kind: "tick";
}

/** Everything that can happen. */
export type SteeringEvent =
  | Arrive
  | Answering
  | Ended
  | Gone
  | Report
  | PeerBelief
  | TargetLeaving
  | Targets
  | Vms
  | Drains
  | PlanReceived
  | RegionLost
  | PolicyChanged
  | Asked
  | Borrowed
  | LoanEnded
  | Tick;
