/**
 * Targets as placement sees them.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";

/** Identity, location and capacity of a target. */
export interface PlacedTarget {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Requests that the target processes concurrently. */
  readonly slots: number;
  /** Hash of the target's id. */
  readonly hash: number;
}

/** A target with its state and the cold rate of its service. */
export interface SteeredTarget extends PlacedTarget {
  /**
   * Requests per second that the target tolerates while it is cold, that is, for a
   * while after its start.
   */
  readonly coldPerSecond: number;
  /**
   * The target is shutting down: it completes its requests and must receive no new
   * ones.
   */
  readonly isLeaving: boolean;
}

/** Location of a VM or target. */
export interface Location {
  readonly zone: ZoneId;
  readonly region: RegionId;
}
