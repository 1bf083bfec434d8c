/**
 * Takes in what is said about members: weighs it, and contradicts what is wrong
 * about this one.
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
import type { NewsQueue } from "./news_queue.ts";
import { type Entry, supersedes, UNHEARD, View } from "./view.ts";

/**
 * A new instance learns within this time which incarnation its VM had reached.
 * Until then it outbids what it hears; later, a higher claim means that another
 * instance has replaced it.
 */
const TAKE_OVER_MS = 10_000;

/** A dead member that the platform no longer lists is forgotten after this. */
const FORGET_MS = 60_000;

/** Instance of a VM that only the platform's list has named. */
const NO_INSTANCE = "" as InstanceId;

/** The opinions of one member. */
export class Opinions {
  readonly view = new View();
  readonly #news: NewsQueue;
  readonly #selfVm: VmId;
  readonly #startedAt: number;
  /** Instance to which a listed leaving was applied, by VM. */
  readonly #listedLeaving = new Map<VmId, InstanceId>();
  #superseded = false;

  constructor(self: Member, options: { news: NewsQueue; startedAt: number }) {
    this.#news = options.news;
    this.#selfVm = self.vm;
    this.#startedAt = options.startedAt;
    this.view.set(self, options.startedAt);
    this.#news.add(`member ${self.vm}`, { urgent: false });
  }

  self(): Member {
    return this.view.get(this.#selfVm)!.member;
  }

  /** Takes in what another member said, and tells it on. */
  learn(
    member: Member,
    { tell, now }: { tell: boolean; now: number },
  ): readonly MembershipEffect[] {
    if (member.vm === this.#selfVm) {
      return this.#learnOfSelf(member, now);
    }
    const known = this.view.get(member.vm)?.member;
    if (known === undefined && member.state === "dead") {
      // Everyone forgets the dead at a slightly different time; taking them in
      // again from whoever is late would keep them for ever.
      return [];
    }
    if (known !== undefined && !supersedes(member, known)) {
      return [];
    }
    return this.#set(member, now, { tell });
  }

  /** Sets the state of a member, on this member's own evidence. */
  judge(
    vm: VmId,
    state: MemberState,
    now: number,
  ): readonly MembershipEffect[] {
    const known = this.view.get(vm)!.member;
    const judged = { ...known, state };
    return supersedes(judged, known) ? this.#set(judged, now) : [];
  }

  /** A suspect has answered: the suspicion was only this member's and its peers'. */
  clear(vm: VmId, now: number): readonly MembershipEffect[] {
    const known = this.view.get(vm)?.member;
    return known?.state === "suspect"
      ? this.#set({ ...known, state: "joined" }, now)
      : [];
  }

  /** Sets this member's own state and outbids all that was said of it. */
  declare(state: MemberState, now: number): readonly MembershipEffect[] {
    const self = this.self();
    return this.#set(
      { ...self, state, incarnation: self.incarnation + 1 },
      now,
    );
  }

  /** Takes in the platform's list. It lags: it adds members and signs of leaving, and never ends a life. */
  listed(
    list: readonly ListedMember[],
    now: number,
  ): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    const named = new Set(list.map(({ vm }) => vm));
    for (const entry of [...this.view.entries()]) {
      entry.listed = named.has(entry.member.vm);
      if (!entry.listed && entry.member.incarnation === UNHEARD) {
        this.view.remove(entry.member.vm);
        effects.push({ kind: "forgotten", member: entry.member });
      }
    }
    for (const line of list) {
      effects.push(...this.#takeLine(line, now));
    }
    return effects;
  }

  /** Forgets members that are dead for long and not listed. */
  forget(now: number): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    for (const { member, listed, deadAt } of [...this.view.entries()]) {
      const isOver = member.state === "dead" && !listed &&
        now >= deadAt + FORGET_MS;
      if (isOver) {
        this.view.remove(member.vm);
        effects.push({ kind: "forgotten", member });
      }
    }
    return effects;
  }

  #takeLine(
    { state, ...line }: ListedMember,
    now: number,
  ): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = [];
    if (this.view.get(line.vm) === undefined) {
      const { vm, region, zone, address } = line;
      effects.push(...this.#set({
        vm,
        region,
        zone,
        address,
        instance: NO_INSTANCE,
        incarnation: UNHEARD,
        state: "joined",
      }, now));
    }
    const entry = this.view.get(line.vm)!;
    entry.listed = true;
    if (state === "live") {
      this.#listedLeaving.delete(line.vm);
    } else {
      effects.push(...this.#takeListedLeaving(entry, now));
    }
    return effects;
  }

  /**
   * The list goes on naming a VM as leaving for a while after its next instance
   * has started. The sign belongs to the instance that it was first seen for.
   */
  #takeListedLeaving(
    { member }: Entry,
    now: number,
  ): readonly MembershipEffect[] {
    const seenFor = this.#listedLeaving.get(member.vm);
    if (seenFor !== undefined && seenFor !== NO_INSTANCE) {
      return [];
    }
    this.#listedLeaving.set(member.vm, member.instance);
    return member.vm === this.#selfVm && member.state !== "leaving"
      ? this.declare("leaving", now)
      : this.judge(member.vm, "leaving", now);
  }

  #learnOfSelf(said: Member, now: number): readonly MembershipEffect[] {
    const self = this.self();
    if (!supersedes(said, self)) {
      return [];
    }
    if (said.instance === self.instance && said.state === "leaving") {
      return this.#set(said, now);
    }
    const isReplaced = said.instance !== self.instance &&
      said.state !== "dead" && now >= this.#startedAt + TAKE_OVER_MS;
    if (isReplaced) {
      return this.#supersede(said);
    }
    return this.#set({ ...self, incarnation: said.incarnation + 1 }, now);
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
    { tell } = { tell: true },
  ): readonly MembershipEffect[] {
    const before = this.view.get(member.vm)?.member;
    this.view.set(member, now);
    if (tell && member.incarnation !== UNHEARD) {
      const urgent = member.state === "leaving" || member.state === "dead";
      this.#news.add(`member ${member.vm}`, { urgent });
    }
    const isSame = before?.state === member.state &&
      before.instance === member.instance;
    return isSame ? [] : [{ kind: "changed", member, before }];
  }
}
