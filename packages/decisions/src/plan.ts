/**
 * The plan: how many slots of each target each entry VM owns, and how much of
 * each link it may use.
 *
 * For every target, the sum of `mayHold` over all VMs never exceeds the
 * target's slots, whichever plan each VM still acts on. `planFaults` checks
 * this.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import type { Holding } from "./plan_transition.ts";

/** The slots of one target that one VM owns. */
export interface Allotment extends Holding {
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly target: TargetId;
}

/** The requests that one VM may have in flight over a link, as its `slots`. */
export interface LinkAllotment extends Holding {
  readonly from: RegionId;
  readonly to: RegionId;
}

/** The share of a region's callers whose look-ups resolve to another region, or
 * to their own. */
export interface CallerShare {
  readonly from: RegionId;
  readonly to: RegionId;
  /** Share of the callers, 0 to 1. The shares of one `from` region add up to 1. */
  readonly share: number;
}

/** Unused allowance for shifting traffic into a region, accumulated from steps
 * too small for a whole slot. */
export interface ShiftCredit {
  readonly region: RegionId;
  readonly slots: number;
}

/** The plan that applies once a region is lost. It is computed in advance, so
 * that the loss needs no decision while the platform's service is unavailable. */
export interface Fallback {
  readonly lost: RegionId;
  readonly allotments: readonly Allotment[];
  readonly links: readonly LinkAllotment[];
  readonly shares: readonly CallerShare[];
}

/** One version of the plan. */
export interface Plan {
  /** Increases by 1 with each plan. */
  readonly sequence: number;
  /** Revision of the configuration that the plan is based on. */
  readonly revision: number;
  /** How long the plan may be used after it was last known to be the newest. A
   * VM without such a confirmation for this long stops using it. */
  readonly ttlMs: number;
  readonly allotments: readonly Allotment[];
  readonly links: readonly LinkAllotment[];
  readonly shares: readonly CallerShare[];
  readonly credits: readonly ShiftCredit[];
  readonly fallbacks: readonly Fallback[];
}
