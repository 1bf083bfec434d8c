/**
 * What one VM knows of the others, and how two opinions are weighed.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import { hash32 } from "../hash.ts";
import type { Member, MemberState } from "./messages.ts";

/** Buckets that two views are compared by: of 3,000 members, some 47 share one. */
export const BUCKETS = 64;

/** Incarnation of a VM that only the platform's list has named. */
export const UNHEARD = -1;

/** Of two states under one incarnation, the later in this order prevails. */
const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  joined: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** A member and what is known only here. */
export interface Entry {
  member: Member;
  /** Whether the platform's list last named it. */
  listed: boolean;
  /** When it was first held dead here. */
  deadAt: number;
}

/** Whether `a` says something newer than `b` about the same VM. */
export function supersedes(a: Member, b: Member): boolean {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  if (a.instance !== b.instance) {
    // Two lives claim one incarnation: any order will do, if all VMs use it.
    return a.instance > b.instance;
  }
  return STATE_ORDER[a.state] > STATE_ORDER[b.state];
}

/** The entries by VM, with a digest that is kept up to date. */
export class View {
  readonly #entries = new Map<VmId, Entry>();
  readonly #buckets = new Int32Array(BUCKETS);

  get size(): number {
    return this.#entries.size;
  }

  get(vm: VmId): Entry | undefined {
    return this.#entries.get(vm);
  }

  entries(): IterableIterator<Entry> {
    return this.#entries.values();
  }

  /** Sets what is known of a member; the caller has weighed it. */
  set(member: Member, now: number): Entry {
    const entry = this.#entries.get(member.vm) ??
      { member, listed: false, deadAt: now };
    if (this.#entries.has(member.vm)) {
      this.#count(entry.member, -1);
    }
    if (member.state === "dead" && entry.member.state !== "dead") {
      entry.deadAt = now;
    }
    entry.member = member;
    this.#entries.set(member.vm, entry);
    this.#count(member, 1);
    return entry;
  }

  remove(vm: VmId): void {
    const entry = this.#entries.get(vm);
    if (entry !== undefined) {
      this.#count(entry.member, -1);
      this.#entries.delete(vm);
    }
  }

  /** Sums of the entries' hashes by bucket: equal views have equal sums. */
  buckets(): readonly number[] {
    return [...this.#buckets];
  }

  /** One number for the whole view. */
  digest(): number {
    let digest = 0;
    for (const bucket of this.#buckets) {
      digest = (Math.imul(digest, 31) + bucket) | 0;
    }
    return digest;
  }

  #count(member: Member, sign: 1 | -1): void {
    if (member.incarnation === UNHEARD) {
      return;
    }
    // Suspicion is one member's opinion and soon over: it never makes views unequal.
    const state = member.state === "suspect" ? "joined" : member.state;
    const { vm, instance, incarnation } = member;
    const hash = hash32(`${vm} ${instance} ${incarnation} ${state}`);
    const bucket = bucketOf(vm);
    this.#buckets[bucket] = this.#buckets[bucket]! + sign * hash;
  }
}

/** The bucket that a VM belongs to. */
export function bucketOf(vm: VmId): number {
  return hash32(vm) % BUCKETS;
}
