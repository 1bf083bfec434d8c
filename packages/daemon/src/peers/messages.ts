/**
 * Messages between VMs, with one JSON-RPC method for each kind. Parameters are
 * plain JSON with durations, never a time of day, since VMs share no clock.
 *
 * @module
 */

import type {
  DisseminationMessage,
  HolderQuery,
  HolderResponse,
  InForce,
  MembershipMessage,
  Sender,
  TermMessage,
} from "@poplarthread/coordination";
import type {
  InstanceId,
  RegionId,
  ServiceId,
  TargetId,
  VmId,
} from "@poplarthread/ids";
import type { Plan } from "@poplarthread/decisions";
import type { InForceJson } from "../in_force_value.ts";

/** Version of this protocol; both ends must speak the same. */
export const PROTOCOL_VERSION = 1;

/** One run of the daemon on a VM. */
export interface PeerId {
  readonly vm: VmId;
  readonly instance: InstanceId;
}

/** Messages with which VMs lend each other slots. */
export type SlotMessage =
  /** Requests slots; 0 withdraws. Replaces the last request for this service and region. */
  | {
    readonly kind: "ask";
    readonly service: ServiceId;
    readonly region: RegionId;
    readonly slots: number;
    readonly rank: number;
    readonly rankWaitMs: number;
    readonly waitMs: number;
    /** Id of this request, unique over all instances, so that grants to an earlier run are ignored. */
    readonly question: string;
  }
  /**
   * Lends slots for `durationMs` from the grant, which was made `askAgeMs` after the
   * lender received the request. The borrower can thus place the grant on its own
   * clock however late this message arrives.
   */
  | {
    readonly kind: "lend";
    readonly loan: string;
    readonly target: TargetId;
    readonly slots: number;
    readonly durationMs: number;
    readonly question: string;
    readonly askAgeMs: number;
  }
  | { readonly kind: "give-back"; readonly loan: string };

/** What each VM reports to the planner. */
export interface PlannerReport {
  /** Highest sequence number of a plan that the VM applied. */
  readonly sequence: number;
  readonly demand: readonly {
    readonly service: ServiceId;
    readonly slots: number;
  }[];
  /** Instances whose lent slots this VM still holds. */
  readonly lenders: readonly InstanceId[];
}

/** A JSON-RPC notification: a message without a response. */
export type PeerNotification =
  | { readonly method: "membership"; readonly params: MembershipMessage }
  | { readonly method: "configuration"; readonly params: DisseminationMessage }
  | { readonly method: "plan"; readonly params: DisseminationMessage }
  | { readonly method: "slots"; readonly params: SlotMessage }
  | { readonly method: "term"; readonly params: TermMessage }
  | { readonly method: "planner-report"; readonly params: PlannerReport };

/** Methods of all notifications. */
export const NOTIFICATION_METHODS: readonly PeerNotification["method"][] = [
  "membership",
  "configuration",
  "plan",
  "slots",
  "term",
  "planner-report",
];

/** State that a newly started VM requests from its peers while the table is unreachable. */
export interface KnownState {
  /** Absent if the peer knows no configuration either. */
  readonly inForce?: InForce<InForceJson>;
  /** Time since the peer last confirmed that this configuration is the latest. */
  readonly ageMs: number;
  /** The plan that the peer applies; absent if it has none. */
  readonly plan?: StoredPlan;
  /** Instances whose lent slots the peer still holds. */
  readonly lenders: readonly InstanceId[];
}

/** The plan as stored in the table. */
export interface StoredPlan {
  readonly plan: Plan;
  /** Instances that may hold allotments from this plan or an earlier one. */
  readonly holders: readonly Sender[];
  readonly planner: VmId;
  /** Fencing token of the lease under which it was written. */
  readonly token: number;
}

/** A request to the holder of a claim. */
export interface ClaimCall {
  readonly question: HolderQuery;
  readonly waitMs: number;
}

/** Handles messages of peers. */
export interface PeerHandler {
  handleNotification(from: PeerId, notification: PeerNotification): void;
  claim(from: PeerId, call: ClaimCall): Promise<HolderResponse>;
  known(): KnownState;
}
