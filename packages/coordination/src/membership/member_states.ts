/**
 * Merges reports about members into the view, and refutes false reports about
 * this member.
 *
 * @module
 */

import type { InstanceId, VmId } from "@poplarthread/ids";
import type {
  ListedMember,
  Member,
  MembershipEffect,
  MemberState,
} from "./messages.ts";
import type { UpdateQueue } from "./update_queue.ts";
import { type Entry, LISTED_ONLY, supersedes, View } from "./view.ts";

/**
 * Within this time a new instance learns the incarnation that its VM had reached.
 * Until then it answers a higher incarnation with one above it; later, a higher
 * incarnation means that another instance has replaced it.
 */
const TAKEOVER_MS = 10_000;

/** A dead member that the platform no longer lists is removed after this. */
const DEAD_RETENTION_MS = 60_000;

/** Instance of a VM that is known only from the platform's list. */
const NO_INSTANCE = "" as InstanceId;

/** The states of all members, as one member sees them. */
export class MemberStates {
  readonly view = new View();
  readonly #updates: UpdateQueue;
  readonly #selfVm: VmId;
  readonly #startedAt: number;
  /** Instance to which a listed `leaving` was applied, by VM. */
  readonly #listedLeaving = new Map<VmId, InstanceId>();
  #superseded = false;

  constructor(
    self: Member,
    options: { updates: UpdateQueue; startedAt: number },
  ) {
    this.#updates = options.updates;
    this.#selfVm = self.vm;
    this.#startedAt = options.startedAt;
    this.view.set(self, options.startedAt);
    this.#updates.add(`member ${self.vm}`, { urgent: false });
  }

  self(): Member {
    return this.view.get(this.#selfVm)!.member;
  }

  /** Merges another member's report and, with `propagate`, queues it for others. */
  merge(
    member: Member,
    { propagate, now }: { propagate: boolean; now: number },
  ): readonly MembershipEffect[] {
    if (member.vm === this.#selfVm) {
      return this.#mergeSelf(member, now);
    }
    const known = this.view.get(member.vm)?.member;
    if (known === undefined && member.state === "dead") {
      // Members remove the dead at slightly different times; adding them again
      // from a member that is late would keep them forever.
      return [];
    }
    if (known !== undefined && !supersedes(member, known)) {
      return [];
    }
    return this.#set(member, now, { propagate });
  }

  /** Sets another member's state on local evidence. */
  setState(
    vm: VmId,
    state: MemberState,
    now: number,
  ): readonly MembershipEffect[] {
    const known = this.view.get(vm)!.member;
    const changed = { ...known, state };
    return supersedes(changed, known) ? this.#set(changed, now) : [];
  }

  /** Ends the suspicion of a member that has responded. */
  clearSuspicion(vm: VmId, now: number): readonly MembershipEffect[] {
    const known = this.view.get(vm)?.member;
    return known?.state === "suspect"
      ? this.#set({ ...known, state: "joined" }, now)
      : [];
  }

  /** Sets this member's own state with a higher incarnation, which overrides all reports about it. */
  setSelfState(state: MemberState, now: number): readonly MembershipEffect[] {
    const self = this.self();
    return this.#set(
      { ...self, state, incarnation: self.incarnation + 1 },
      now,
    );
  }

  /** Merges the platform's list. It may be stale, so it only adds members and `leaving` states and never marks a member dead. */
  mergeVmList(
    list: readonly ListedMember[],
    now: number,
  ): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    const named = new Set(list.map(({ vm }) => vm));
    for (const entry of [...this.view.entries()]) {
      entry.listed = named.has(entry.member.vm);
      if (!entry.listed && entry.member.incarnation === LISTED_ONLY) {
        this.view.remove(entry.member.vm);
        effects.push({ kind: "forgotten", member: entry.member });
      }
    }
    for (const listed of list) {
      effects.push(...this.#mergeListed(listed, now));
    }
    return effects;
  }

  /** Removes members that have long been dead and are not listed. */
  removeDead(now: number): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const { member, listed, deadAt } of [...this.view.entries()]) {
      const isRemovable = member.state === "dead" && !listed &&
        now >= deadAt + DEAD_RETENTION_MS;
      if (isRemovable) {
        this.view.remove(member.vm);
        effects.push({ kind: "forgotten", member });
      }
    }
    return effects;
  }

  #mergeListed(
    { state, ...listed }: ListedMember,
    now: number,
  ): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    if (this.view.get(listed.vm) === undefined) {
      const { vm, region, zone, address } = listed;
      effects.push(...this.#set({
        vm,
        region,
        zone,
        address,
        instance: NO_INSTANCE,
        incarnation: LISTED_ONLY,
        state: "joined",
      }, now));
    }
    const entry = this.view.get(listed.vm)!;
    entry.listed = true;
    if (state === "live") {
      this.#listedLeaving.delete(listed.vm);
    } else {
      effects.push(...this.#mergeListedLeaving(entry, now));
    }
    return effects;
  }

  /**
   * The list may still show a VM as leaving after its next instance has started.
   * The state applies only to the instance for which it was first seen.
   */
  #mergeListedLeaving(
    { member }: Entry,
    now: number,
  ): readonly MembershipEffect[] {
    const seenFor = this.#listedLeaving.get(member.vm);
    if (seenFor !== undefined && seenFor !== NO_INSTANCE) {
      return [];
    }
    this.#listedLeaving.set(member.vm, member.instance);
    return member.vm === this.#selfVm && member.state !== "leaving"
      ? this.setSelfState("leaving", now)
      : this.setState(member.vm, "leaving", now);
  }

  #mergeSelf(reported: Member, now: number): readonly MembershipEffect[] {
    const self = this.self();
    if (!supersedes(reported, self)) {
      return [];
    }
    if (reported.instance === self.instance && reported.state === "leaving") {
      return this.#set(reported, now);
    }
    const isReplaced = reported.instance !== self.instance &&
      reported.state !== "dead" && now >= this.#startedAt + TAKEOVER_MS;
    if (isReplaced) {
      return this.#supersede(reported);
    }
    return this.#set({ ...self, incarnation: reported.incarnation + 1 }, now);
  }

  #supersede(by: Member): readonly MembershipEffect[] {
    if (this.#superseded) {
      return [];
    }
    this.#superseded = true;
    return [{ kind: "superseded", by }];
  }

  #set(
    member: Member,
    now: number,
    { propagate } = { propagate: true },
  ): readonly MembershipEffect[] {
    const before = this.view.get(member.vm)?.member;
    this.view.set(member, now);
    if (propagate && member.incarnation !== LISTED_ONLY) {
      const urgent = member.state === "leaving" || member.state === "dead";
      this.#updates.add(`member ${member.vm}`, { urgent });
    }
    const isUnchanged = before?.state === member.state &&
      before.instance === member.instance;
    return isUnchanged ? [] : [{ kind: "changed", member, before }];
  }
}
