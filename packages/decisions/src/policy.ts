/**
 * What an operator decided, as far as the decisions need it. The shape is a
 * subset of the preset format, so that a checked preset can be passed as it is.
 *
 * @module
 */

import type { RegionId, ServiceId, ZoneId } from "@poplarthread/ids";

/** A region and its availability zones. */
export interface RegionPolicy {
  readonly id: RegionId;
  readonly zones: readonly ZoneId[];
}

/** A service: what its targets carry and how much of it may be handed out. */
export interface ServicePolicy {
  readonly id: ServiceId;
  /** Requests that one target works on at once. */
  readonly slotsPerTarget: number;
  /** Number of targets by region. */
  readonly targets: Readonly<Partial<Record<RegionId, number>>>;
  /** Largest share of a region's slots that a plan may hand out, 0 to 1. */
  readonly utilisation: number;
}

/** A class of requests, by importance. */
export interface ClassPolicy {
  readonly id: string;
  /** 0 is served first. */
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
  /** Most requests in flight over the link, of all VMs together. */
  readonly maxInFlight: number;
}

/** Slots that callers of a region keep busy at the expected peak. */
export interface DemandPolicy {
  readonly region: RegionId;
  readonly service: ServiceId;
  readonly slots: number;
}

/** Caps of a shift of traffic. */
export interface ShiftPolicy {
  readonly stepMs: number;
  /** Most of a region's slots that one step may move into it, 0 to 1. */
  readonly maxStepShare: number;
  /** The same for a region whose caches are cold for the moved traffic. */
  readonly coldStepShare: number;
}

/** All of it. */
export interface Policy {
  readonly regions: readonly RegionPolicy[];
  readonly services: readonly ServicePolicy[];
  readonly classes: readonly ClassPolicy[];
  readonly links: readonly LinkPolicy[];
  readonly demand: readonly DemandPolicy[];
  readonly shift: ShiftPolicy;
  /** Most of a service's slots that one caller may hold while others wait. */
  readonly callerShare: number;
  /** Retries and hedges allowed per first attempt, 0 to 1. */
  readonly retryShare: number;
}
