/**
 * One target as this VM knows it: the slots that it holds there, and what it
 * has seen of it.
 *
 * @module
 */

import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import { Belief } from "./belief.ts";

/** Slots borrowed from one VM, with one end. */
export interface Loan {
  readonly from: VmId;
  slots: number;
  readonly endsAt: number;
}

/** A target, whether or not this VM holds slots there. */
export class TargetState {
  readonly belief = new Belief();
  leaving = false;
  /** The last target list did not name it. */
  gone = false;
  drained = false;
  cold = false;
  /** Slots that the plan allots to this VM. */
  owned = 0;
  /** Of these, lent to other VMs. */
  lent = 0;
  /** Slots of other VMs that this one may use. */
  borrowed = 0;
  readonly loans: Loan[] = [];
  /** Attempts running. */
  inUse = 0;
  /** Since when a borrowed slot has been free. */
  idleSince = 0;

  readonly id: TargetId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly zone: ZoneId;

  constructor(
    place: {
      target: TargetId;
      service: ServiceId;
      region: RegionId;
      zone: ZoneId;
    },
  ) {
    this.id = place.target;
    this.service = place.service;
    this.region = place.region;
    this.zone = place.zone;
  }

  /** Slots that this VM may use now. */
  get held(): number {
    return this.owned - this.lent + this.borrowed;
  }

  /** Slots without an attempt. Negative after a plan lowered the target while
   * attempts ran. */
  get free(): number {
    return this.owned - this.lent + this.borrowed - this.inUse;
  }

  /** Free slots that this VM owns; attempts count on owned slots first. */
  get freeOwned(): number {
    return Math.max(0, this.owned - this.lent - this.inUse);
  }

  /** Free slots to give back. */
  get freeBorrowed(): number {
    return Math.min(this.borrowed, Math.max(0, this.free));
  }

  /** New work may go there as far as the lists say. */
  get open(): boolean {
    return !this.leaving && !this.drained;
  }
}
