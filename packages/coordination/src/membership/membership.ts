/**
 * The membership core of one VM.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { VmId } from "@poplarthread/ids";
import type {
  Fact,
  ListedMember,
  Member,
  MemberPlace,
  MembershipEffect,
  MembershipMessage,
  Sender,
} from "./messages.ts";

/** Who this member is. */
export interface MembershipOptions {
  readonly self: Sender & MemberPlace;
  readonly random: RandomGenerator;
}

/** Knows the other VMs of the system. Call {@link tick} every 100 ms or so. */
export class Membership {
  readonly #self: Member;
  readonly #members = new Map<VmId, Member>();

  constructor(options: MembershipOptions) {
    this.#self = { ...options.self, incarnation: 0, state: "joined" };
    this.#members.set(this.#self.vm, this.#self);
  }

  /** Every member that is known, this one included. */
  members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** What is known of a VM. */
  member(vm: VmId): Member | undefined {
    return this.#members.get(vm);
  }

  /** Facts that are still alive. */
  facts(_now: number): readonly Fact[] {
    return [];
  }

  /** Takes in the platform's VM list: only entry VMs, this one included or not. */
  listed(
    list: readonly ListedMember[],
    _now: number,
  ): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const { state, ...line } of list) {
      if (this.#members.has(line.vm)) {
        continue;
      }
      const member: Member = {
        ...line,
        instance: "" as Sender["instance"],
        incarnation: -1,
        state: state === "leaving" ? "leaving" : "joined",
      };
      this.#members.set(line.vm, member);
      effects.push({ kind: "changed", member, before: undefined });
    }
    return effects;
  }

  /** Takes in a message of a peer. */
  receive(
    _message: MembershipMessage,
    _now: number,
  ): readonly MembershipEffect[] {
    return [];
  }

  /** Lets time pass. */
  tick(_now: number): readonly MembershipEffect[] {
    return [];
  }

  /** Makes a fact known to all members. */
  publish(_fact: Fact, _now: number): readonly MembershipEffect[] {
    return [];
  }

  /** Sets the revision of the configuration that heartbeats name. */
  setRevision(_revision: number): void {}

  /** Tells all members that this VM leaves. */
  leave(_now: number): readonly MembershipEffect[] {
    return [];
  }
}
