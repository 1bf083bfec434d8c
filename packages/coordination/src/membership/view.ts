/**
 * One VM's view of the members, and the precedence between two versions of a member.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import { hash32 } from "../hash.ts";
import type { Member, MemberState } from "./messages.ts";

/** Number of buckets for comparing two views: with 3,000 members, about 47 share one. */
export const BUCKETS = 64;

/** Incarnation of a VM that is known only from the platform's list. */
export const LISTED_ONLY = -1;

/** Of two states with the same incarnation, the higher value prevails. */
const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  joined: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** A member with local information that is not sent to others. */
export interface Entry {
  member: Member;
  /** Whether the latest list of the platform contains it. */
  listed: boolean;
  /** When this VM first considered it dead. */
  deadAt: number;
}

/** Whether `a` takes precedence over `b` for the same VM. */
export function supersedes(a: Member, b: Member): boolean {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  if (a.instance !== b.instance) {
    // Two instances claim the same incarnation: any order works if all VMs use it.
    return a.instance > b.instance;
  }
  return STATE_ORDER[a.state] > STATE_ORDER[b.state];
}

/** Entries by VM, with an incrementally updated digest. */
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

  /** Sets a member without comparing it; the caller has checked precedence. */
  set(member: Member, now: number): Entry {
    const entry = this.#entries.get(member.vm) ??
      { member, listed: false, deadAt: now };
    if (this.#entries.has(member.vm)) {
      this.#addToBucket(entry.member, -1);
    }
    if (member.state === "dead" && entry.member.state !== "dead") {
      entry.deadAt = now;
    }
    entry.member = member;
    this.#entries.set(member.vm, entry);
    this.#addToBucket(member, 1);
    return entry;
  }

  remove(vm: VmId): void {
    const entry = this.#entries.get(vm);
    if (entry !== undefined) {
      this.#addToBucket(entry.member, -1);
      this.#entries.delete(vm);
    }
  }

  /** Sum of the entries' hashes for each bucket: equal views have equal sums. */
  buckets(): readonly number[] {
    return [...this.#buckets];
  }

  /** A single digest of the entire view. */
  digest(): number {
    let digest = 0;
    for (const bucket of this.#buckets) {
      digest = (Math.imul(digest, 31) + bucket) | 0;
    }
    return digest;
  }

  #addToBucket(member: Member, sign: 1 | -1): void {
    if (member.incarnation === LISTED_ONLY) {
      return;
    }
    // A suspicion is local and short-lived, so it does not change the digest.
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
