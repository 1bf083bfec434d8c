/**
 * The plan: how many slots of each target each entry VM owns, and how much of
 * each link it may use.
 *
 * For every target the sum of `mayHold` over all VMs never exceeds the target's
 * slots, whichever plan a VM still acts on. `planIsSafe` checks it.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, VmId } from "@poplarthread/ids";

/** Slots of one target that one VM owns. */
export interface Allotment {
  readonly vm: VmId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly target: TargetId;
  /** Slots that the VM may use from this plan on. */
  readonly slots: number;
  /** Most slots that the VM may still hold under an earlier plan, at least
   * `slots`. It falls to `slots` once the VM confirmed or its time ran out. */
  readonly mayHold: number;
  /** Sequence of the plan that lowered it last. */
  readonly loweredIn: number;
  /** How long ago it was lowered, in milliseconds. */
  readonly loweredAgoMs: number;
}

/** Requests that one VM may have in flight over a link. */
export interface LinkAllotment {
  readonly vm: VmId;
  readonly from: RegionId;
  readonly to: RegionId;
  readonly inFlight: number;
}

/** What holds instead, once a region is lost. Agreed beforehand, so that its
 * loss needs no decision while the platform's service is away. */
export interface Fallback {
  readonly lost: RegionId;
  readonly allotments: readonly Allotment[];
  readonly links: readonly LinkAllotment[];
}

/** One plan. */
export interface Plan {
  /** Grows by 1 with each plan. */
  readonly sequence: number;
  /** Revision of the configuration that it was made for. */
  readonly revision: number;
  /** A VM that has not heard a plan renewed for this long stops using what
   * lies in other regions, and lends nothing, in milliseconds. */
  readonly ttlMs: number;
  readonly allotments: readonly Allotment[];
  readonly links: readonly LinkAllotment[];
  readonly fallbacks: readonly Fallback[];
}
