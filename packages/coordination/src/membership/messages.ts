/**
 * The messages between members: plain JSON with the sender's instance and with
 * durations, never a wall-clock time.
 *
 * @module
 */

import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Json } from "../table.ts";

/** One run of the daemon on a VM, as the sender of a message. */
export interface Sender {
  readonly vm: VmId;
  readonly instance: InstanceId;
}

/** Location and address of a member. */
export interface MemberLocation {
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Address of its listener for peers, `host:port`. Not interpreted here. */
  readonly address: string;
}

/**
 * State of a member. `suspect`: its heartbeats go unanswered; `leaving`: it
 * finishes its current work but accepts nothing new; `dead`: considered ended
 * until the member itself contradicts it.
 */
export type MemberState = "joined" | "suspect" | "leaving" | "dead";

/** A member as one VM sees it. */
export interface Member extends Sender, MemberLocation {
  /**
   * Incremented each time the member refutes a report about itself. It is counted
   * per VM across restarts: a new instance takes over with a higher one.
   */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A key and value that all members know for a limited time. */
export interface Fact {
  /** For example `leaving/target/t1`. */
  readonly key: string;
  /** A higher version of a key replaces a lower one. */
  readonly version: number;
  readonly value: Json;
  /** Remaining lifetime when this copy was sent. */
  readonly lifetimeMs: number;
  /** Forwarded immediately instead of with the next heartbeats. */
  readonly urgent: boolean;
}

/** An update that is piggybacked on a message. */
export type Update =
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "fact"; readonly fact: Fact };

/** Fields that every heartbeat message carries. */
export interface Heartbeat {
  readonly from: Sender;
  /** The sender's revision of the configuration. */
  readonly revision: number;
  /** Digest of the sender's view; different digests trigger a comparison. */
  readonly digest: number;
  readonly news: readonly Update[];
}

/** A message between two members. */
export type MembershipMessage =
  | (Heartbeat & { readonly kind: "ping"; readonly sequence: number })
  | (Heartbeat & {
    readonly kind: "ack";
    readonly sequence: number;
    /** The member that was pinged, if the ping went through another member. */
    readonly subject?: VmId;
  })
  /** Asks the receiver to ping `subject` on the sender's behalf. */
  | (Heartbeat & {
    readonly kind: "ping-request";
    readonly sequence: number;
    readonly subject: VmId;
    readonly address: string;
  })
  /** Urgent updates, sent as soon as they are known. */
  | {
    readonly kind: "news";
    readonly from: Sender;
    readonly news: readonly Update[];
  }
  /** Digests of the sender's view by bucket, to find where two views differ. */
  | {
    readonly kind: "compare";
    readonly from: Sender;
    readonly buckets: readonly number[];
  }
  /** The sender's entries in the buckets that differ; `reply` requests the receiver's. */
  | {
    readonly kind: "entries";
    readonly from: Sender;
    readonly buckets: readonly number[];
    readonly news: readonly Update[];
    readonly reply: boolean;
  };

/** An entry of the platform's VM list, as far as membership reads it. */
export interface ListedMember extends MemberLocation {
  readonly vm: VmId;
  readonly state: "live" | "leaving";
}

/** Output of a membership core: a message to send, or a notification. */
export type MembershipEffect =
  | {
    readonly kind: "send";
    readonly to: VmId;
    readonly address: string;
    readonly message: MembershipMessage;
  }
  /** A member is new, or its state or instance changed. */
  | {
    readonly kind: "changed";
    readonly member: Member;
    readonly before: Member | undefined;
  }
  /** A member was removed: long dead and no longer in the platform's list. */
  | { readonly kind: "forgotten"; readonly member: Member }
  /** A fact is new or has a higher version. */
  | { readonly kind: "fact"; readonly fact: Fact }
  | { readonly kind: "fact-expired"; readonly key: string }
  /** A peer has a higher revision of the configuration, which should be requested from it. */
  | {
    readonly kind: "ahead";
    readonly vm: VmId;
    readonly address: string;
    readonly revision: number;
  }
  /** Another instance has taken over this VM's name; this one should stop. */
  | { readonly kind: "superseded"; readonly by: Member };
