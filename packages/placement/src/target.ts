/**
 * A target as placement sees it.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";

/** What is known of a target before any request was sent to it. */
export interface PlacedTarget {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Hash of its id. */
  readonly hash: number;
}

/** A target with the limits that its service sets. */
export interface SteeredTarget extends PlacedTarget {
  /** Requests a second that it bears while it is cold. */
  readonly coldPerSecond: number;
  /** It serves what it has and must get nothing new. */
  readonly leaving: boolean;
}

/** Where a VM or a target is. */
export interface Place {
  readonly zone: ZoneId;
  readonly region: RegionId;
}
