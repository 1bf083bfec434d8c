/**
 * Which VMs of the system are up, and which of them a caller is told to use.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import { type ColdOwner, hashText, relaysFor } from "@poplarthread/placement";
import type { LookupQuestion, Member } from "./ports.ts";

/**
 * A VM that was not heard for this long is not named any more, in milliseconds:
 * three heartbeats, so that two lost datagrams in a row do not take a VM out.
 */
const HEARD_WITHIN_MS = 3_200;
/** Fewer VMs than this in a caller's region, and it is told those of other regions too: it needs one to go to when another fails. */
const LEAST_NEAR = 2;
/** Most addresses in an answer. */
const MOST_ADDRESSES = 64;

interface Entry {
  member: Member;
  heardAt: number;
  isLeaving: boolean;
}

/** What changed about a VM. */
export type VmChange = "up" | "down" | "leaving";

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class VmDirectory {
  readonly #self: Member;
  readonly #entries = new Map<VmId, Entry>();
  readonly #onChange: (member: Member, change: VmChange) => void;
  #selfLeaving = false;

  constructor(options: {
    self: Member;
    onChange: (member: Member, change: VmChange) => void;
  }) {
    this.#self = options.self;
    this.#onChange = options.onChange;
  }

  /** This VM leaves. */
  leave(): void {
    this.#selfLeaving = true;
  }

  /** Members as the platform's store has them; they may be long gone. */
  listed(members: readonly Member[]): void {
    for (const member of members) {
      const known = this.#entries.get(member.vm);
      if (member.vm === this.#self.vm) {
        continue;
      }
      if (known === undefined) {
        this.#entries.set(member.vm, {
          member,
          heardAt: -Infinity,
          isLeaving: false,
        });
      } else if (known.heardAt === -Infinity) {
        known.member = member;
      }
    }
  }

  /** A VM gave word of itself; true if it was not taken to be up. */
  heard(member: Member, { now, isLeaving }: {
    now: number;
    isLeaving: boolean;
  }): boolean {
    if (member.vm === this.#self.vm) {
      return false;
    }
    const known = this.#entries.get(member.vm);
    const wasUp = known !== undefined && this.#isHeard(known, now) &&
      known.member.instance === member.instance;
    this.#entries.set(member.vm, { member, heardAt: now, isLeaving });
    if (isLeaving && !(known?.isLeaving && wasUp)) {
      this.#onChange(member, "leaving");
    } else if (!wasUp) {
      this.#onChange(member, "up");
    }
    return !wasUp;
  }

  /** Reports VMs that have fallen silent since the last call. */
  sweep(now: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.heardAt !== -Infinity && !this.#isHeard(entry, now)) {
        entry.heardAt = -Infinity;
        this.#onChange(entry.member, "down");
      }
    }
  }

  /** All other VMs that were ever known, up or not. */
  peers(): readonly Member[] {
    return [...this.#entries.values()].map(({ member }) => member);
  }

  /** VMs that are up, this one among them. */
  up(now: number): readonly Member[] {
    const up = this.#selfLeaving ? [] : [this.#self];
    for (const entry of this.#entries.values()) {
      if (!entry.isLeaving && this.#isHeard(entry, now)) {
        up.push(entry.member);
      }
    }
    return up;
  }

  /** VMs that may own cold targets. */
  owners(now: number): readonly ColdOwner[] {
    return this.up(now).map(({ vm, region }) => ({
      vm,
      region,
      hash: hashText(vm),
    }));
  }

  /** VMs to ask for the store's news in place of the store, best first. */
  relays(now: number): readonly Member[] {
    const ranked = this.up(now).map((member) => ({
      ...member,
      hash: hashText(member.vm),
    }));
    const self = { ...this.#self, hash: hashText(this.#self.vm) };
    return relaysFor(self, ranked);
  }

  /** Addresses for a caller, those of its region where there are enough. */
  addressesFor(question: LookupQuestion, now: number): readonly string[] {
    const up = this.up(now);
    const near = up.filter(({ region }) => region === question.region);
    const told = near.length >= LEAST_NEAR ? near : up;
    return told.slice(0, MOST_ADDRESSES)
      .map(({ callerAddress }) => callerAddress);
  }

  #isHeard(entry: Entry, now: number): boolean {
    return now - entry.heardAt < HEARD_WITHIN_MS;
  }
}
