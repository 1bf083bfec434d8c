/**
 * The plan: how many slots of each target each entry VM owns, and how much of
 * each link it may use.
 *
 * For every target the sum of `mayHold` over all VMs never exceeds the target's
 * slots, whichever plan a VM still acts on. `planIsSafe` checks it.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import type { Holding } from "./plan_transition.ts";

/** Slots of one target that one VM owns. */
export interface Allotment extends Holding {
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly target: TargetId;
}

/** Requests that one VM may have in flight over a link, as its `slots`. */
export interface LinkAllotment extends Holding {
  readonly from: RegionId;
  readonly to: RegionId;
}

/** Where the look-ups of a region's callers point. */
export interface CallerShare {
  readonly from: RegionId;
  readonly to: RegionId;
  /** Share of the callers, 0 to 1; the shares of a region add up to 1. */
  readonly share: number;
}

/** Raising that a region may still take, saved up from steps too small for a
 * whole slot. */
export interface ShiftCredit {
  readonly region: RegionId;
  readonly slots: number;
}

/** What holds instead, once a region is lost. Agreed beforehand, so that its
 * loss needs no decision while the platform's service is away. */
export interface Fallback {
  readonly lost: RegionId;
  readonly allotments: readonly Allotment[];
  readonly links: readonly LinkAllotment[];
  readonly shares: readonly CallerShare[];
}

/** One plan. */
export interface Plan {
  /** Grows by 1 with each plan. */
  readonly sequence: number;
  /** Revision of the configuration that it was made for. */
  readonly revision: number;
  /** How long the plan may be used after it was last known to be the newest, in
   * milliseconds. A VM that has not heard so for that long uses none of it. */
  readonly ttlMs: number;
  readonly allotments: readonly Allotment[];
  readonly links: readonly LinkAllotment[];
  readonly shares: readonly CallerShare[];
  readonly credits: readonly ShiftCredit[];
  readonly fallbacks: readonly Fallback[];
}
