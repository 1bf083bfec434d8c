/**
 * What members tell each other: plain JSON that carries the sender's instance
 * and durations, never a wall-clock time.
 *
 * @module
 */

import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Json } from "../table.ts";

/** One life of a daemon on a VM: who sent a message. */
export interface Sender {
  readonly vm: VmId;
  readonly instance: InstanceId;
}

/** Where a member is and how peers reach it. */
export interface MemberPlace {
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Address of the peers' listener, `host:port`. Opaque to this part. */
  readonly address: string;
}

/**
 * What is known of a member. `suspect`: its heartbeats go unanswered; `leaving`:
 * it serves what it has but takes nothing new; `dead`: gone until it says
 * otherwise itself.
 */
export type MemberState = "joined" | "suspect" | "leaving" | "dead";

/** What one VM believes of another, or of itself. */
export interface Member extends Sender, MemberPlace {
  /**
   * Grows each time the member contradicts what is said about it. Counts per VM,
   * across restarts: a new instance takes over with a higher one.
   */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A small thing that all members should know for a while. */
export interface Fact {
  /** What it is about, for example `leaving/target/t1`. */
  readonly key: string;
  /** The higher version of a key replaces the lower. */
  readonly version: number;
  readonly value: Json;
  /** Time it stays known, in ms, from when this copy was sent. */
  readonly lifetimeMs: number;
  /** Sent on at once instead of with the next heartbeats. */
  readonly urgent: boolean;
}

/** Something that rides on a message. */
export type News =
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "fact"; readonly fact: Fact };

/** What every heartbeat carries beside its purpose. */
export interface Heartbeat {
  readonly from: Sender;
  /** The sender's revision of the configuration. */
  readonly revision: number;
  /** Digest of the sender's view; unequal digests lead to a comparison. */
  readonly digest: number;
  readonly news: readonly News[];
}

/** A message between two members. */
export type MembershipMessage =
  | (Heartbeat & { readonly kind: "ping"; readonly sequence: number })
  | (Heartbeat & {
    readonly kind: "ack";
    readonly sequence: number;
    /** Whom this vouches for, where a ping went through another member. */
    readonly subject?: VmId;
  })
  /** Asks the receiver to ping `subject` on the sender's behalf. */
  | (Heartbeat & {
    readonly kind: "ping-request";
    readonly sequence: number;
    readonly subject: VmId;
    readonly address: string;
  })
  /** Urgent news, sent as soon as it is known. */
  | {
    readonly kind: "news";
    readonly from: Sender;
    readonly news: readonly News[];
  }
  /** Digests of the sender's view by bucket, to find where two views differ. */
  | {
    readonly kind: "compare";
    readonly from: Sender;
    readonly buckets: readonly number[];
  }
  /** The sender's entries of the buckets that differ; `reply` asks for the receiver's. */
  | {
    readonly kind: "entries";
    readonly from: Sender;
    readonly buckets: readonly number[];
    readonly news: readonly News[];
    readonly reply: boolean;
  };

/** A line of the platform's VM list, as far as membership reads it. */
export interface ListedMember extends MemberPlace {
  readonly vm: VmId;
  readonly state: "live" | "leaving";
}

/** What a membership core wants done or known. */
export type MembershipEffect =
  | {
    readonly kind: "send";
    readonly to: VmId;
    readonly address: string;
    readonly message: MembershipMessage;
  }
  /** A member's state or instance changed, or it is new. */
  | {
    readonly kind: "changed";
    readonly member: Member;
    readonly before: Member | undefined;
  }
  /** A member was dead for long and is out of the list: forgotten. */
  | { readonly kind: "forgotten"; readonly member: Member }
  /** A fact is new, or replaced by a higher version. */
  | { readonly kind: "fact"; readonly fact: Fact }
  | { readonly kind: "fact-expired"; readonly key: string }
  /** A peer has a higher revision of the configuration: ask it. */
  | {
    readonly kind: "ahead";
    readonly vm: VmId;
    readonly address: string;
    readonly revision: number;
  }
  /** Another instance has taken this VM's name over: this one should stop. */
  | { readonly kind: "superseded"; readonly by: Member };
