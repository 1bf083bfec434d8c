/**
 * The part of an operator's configuration that the decisions use. The shape is
 * a subset of the preset format, so that a checked preset can be passed
 * unchanged.
 *
 * @module
 */

import type { RegionId, ServiceId, ZoneId } from "@poplarthread/ids";

/** A region and its availability zones. */
export interface RegionPolicy {
  readonly id: RegionId;
  readonly zones: readonly ZoneId[];
}

/** A service, the capacity of its targets and the share of it that may be used. */
export interface ServicePolicy {
  readonly id: ServiceId;
  /** Requests that one target processes concurrently. */
  readonly slotsPerTarget: number;
  /** Number of targets by region. */
  readonly targets: Readonly<Partial<Record<RegionId, number>>>;
  /** Largest share of a region's slots that a plan may distribute, 0 to 1. */
  readonly utilisation: number;
}

/** A priority class of requests. */
export interface ClassPolicy {
  readonly id: string;
  /** Rank; 0 is served first. */
  readonly rank: number;
  /** Longest wait for a slot, in milliseconds. */
  readonly maxWaitMs: number;
  /** Share of a service's slots that lower classes may not take, 0 to 1. */
  readonly reservedShare: number;
}

/** A link from region to region. */
export interface LinkPolicy {
  readonly from: RegionId;
  readonly to: RegionId;
  readonly oneWayMs: number;
  /** Maximum requests in flight over the link, of all VMs together. */
  readonly maxInFlight: number;
}

/** Slots that a region's callers occupy at the expected peak. */
export interface DemandPolicy {
  readonly region: RegionId;
  readonly service: ServiceId;
  readonly slots: number;
}

/** Limits on traffic shifts between regions. */
export interface ShiftPolicy {
  readonly stepMs: number;
  /** Largest share of a region's slots by which one step may raise the traffic
   * into it, 0 to 1. */
  readonly maxStepShare: number;
  /** The same for a region whose caches are cold for the moved traffic. */
  readonly coldStepShare: number;
}

/** The complete policy. */
export interface Policy {
  readonly regions: readonly RegionPolicy[];
  readonly services: readonly ServicePolicy[];
  readonly classes: readonly ClassPolicy[];
  readonly links: readonly LinkPolicy[];
  readonly demand: readonly DemandPolicy[];
  readonly shift: ShiftPolicy;
  /** Largest share of a service's slots that one caller may hold while others
   * wait. */
  readonly callerShare: number;
  /** Retries and hedges allowed per first attempt, 0 to 1. */
  readonly retryShare: number;
}
