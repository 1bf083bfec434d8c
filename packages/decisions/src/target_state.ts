/**
 * State of one target on this VM: the slots that this VM holds there, and the
 * target's health.
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
import { TargetHealth } from "./target_health.ts";

/** Slots borrowed from one VM with a common expiry. */
export interface Loan {
  readonly from: VmId;
  slots: number;
  readonly endsAt: number;
}

/** A target, whether or not this VM holds slots there. */
export class TargetState {
  readonly health = new TargetHealth();
  leaving = false;
  /** The latest target list did not name it. */
  gone = false;
  drained = false;
  cold = false;
  /** Slots that the plan allots to this VM. */
  owned = 0;
  /** Owned slots that are lent to other VMs. */
  lent = 0;
  /** Slots borrowed from other VMs. */
  borrowed = 0;
  readonly loans: Loan[] = [];
  /** Attempts running. */
  inUse = 0;
  /** Time since which a borrowed slot may have been idle. */
  idleSince = 0;

  readonly id: TargetId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly zone: ZoneId;

  constructor(
    entry: {
      target: TargetId;
      service: ServiceId;
      region: RegionId;
      zone: ZoneId;
    },
  ) {
    this.id = entry.target;
    this.service = entry.service;
    this.region = entry.region;
    this.zone = entry.zone;
  }

  /** Slots that this VM may use now. */
  get held(): number {
    return this.owned - this.lent + this.borrowed;
  }

  /** Slots without an attempt. Negative after a plan lowered the target's slots
   * while attempts ran. */
  get free(): number {
    return this.owned - this.lent + this.borrowed - this.inUse;
  }

  /** Free slots that this VM owns; attempts count on owned slots first. */
  get freeOwned(): number {
    return Math.max(0, this.owned - this.lent - this.inUse);
  }

  /** Free borrowed slots, which can be returned. */
  get freeBorrowed(): number {
    return Math.min(this.borrowed, Math.max(0, this.free));
  }

  /** Whether the target may take new work according to the target list and the
   * drains. */
  get open(): boolean {
    return !this.leaving && !this.drained;
  }
}
