/**
 * What VMs tell each other. One method of JSON-RPC for each kind; parameters
 * are plain JSON that carries durations, never a time of day.
 *
 * @module
 */

import type {
  DisseminationMessage,
  HolderAnswer,
  HolderQuestion,
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

/** One life of a daemon on a VM. */
export interface PeerId {
  readonly vm: VmId;
  readonly instance: InstanceId;
}

/** Slots that VMs lend each other. */
export type SlotMessage =
  /** Asks for slots; 0 withdraws. Replaces the last question on service and region. */
  | {
    readonly kind: "ask";
    readonly service: ServiceId;
    readonly region: RegionId;
    readonly slots: number;
    readonly rank: number;
    readonly rankWaitMs: number;
    readonly waitMs: number;
    /** Unique over all instances, so that a grant to an earlier life counts for nothing. */
    readonly question: string;
  }
  /**
   * Slots for `durationMs` from the grant. It was granted `askAgeMs` after the
   * question was heard, so that the borrower can place the grant
   * on its own clock however late this arrives.
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

/** What the planner has to know of each VM. */
export interface PlannerReport {
  /** Highest sequence of a plan that the VM applied. */
  readonly sequence: number;
  readonly demand: readonly {
    readonly service: ServiceId;
    readonly slots: number;
  }[];
  /** Instances that lent this VM slots which it still holds. */
  readonly lenders: readonly InstanceId[];
}

/** A message without an answer. */
export type PeerNotice =
  | { readonly method: "membership"; readonly params: MembershipMessage }
  | { readonly method: "configuration"; readonly params: DisseminationMessage }
  | { readonly method: "plan"; readonly params: DisseminationMessage }
  | { readonly method: "slots"; readonly params: SlotMessage }
  | { readonly method: "term"; readonly params: TermMessage }
  | { readonly method: "planner-report"; readonly params: PlannerReport };

/** Names of the notices. */
export const NOTICES: readonly PeerNotice["method"][] = [
  "membership",
  "configuration",
  "plan",
  "slots",
  "term",
  "planner-report",
];

/** What a VM that has just started asks its peers for while the table is away. */
export interface Known {
  /** Absent where the peer knows none either. */
  readonly inForce?: InForce<InForceJson>;
  /** Age of the peer's knowledge that this is the latest, in milliseconds. */
  readonly ageMs: number;
  /** The plan that the peer follows; absent where it has none. */
  readonly plan?: StoredPlan;
  /** Instances that lent the peer slots which it still holds. */
  readonly lenders: readonly InstanceId[];
}

/** The plan as the table keeps it. */
export interface StoredPlan {
  readonly plan: Plan;
  /** Instances that may hold something by it, or still by an earlier plan. */
  readonly holders: readonly Sender[];
  readonly planner: VmId;
  /** Fencing token of the lease under which it was written. */
  readonly token: number;
}

/** A question about a claim. */
export interface ClaimCall {
  readonly question: HolderQuestion;
  readonly waitMs: number;
}

/** What the daemon does with messages of its peers. */
export interface PeerHandler {
  notice(from: PeerId, notice: PeerNotice): void;
  claim(from: PeerId, call: ClaimCall): Promise<HolderAnswer>;
  known(): Known;
}
