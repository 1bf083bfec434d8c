/**
 * Round trips to zones, measured when connections are established.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";
import type { Location } from "./target.ts";

/**
 * Used until a zone has been measured: for the same zone, the same region, and
 * other regions.
 */
const DEFAULT_ROUND_TRIP_MS = { zone: 0.5, region: 3, otherRegion: 60 };
/**
 * Weight of a sample that is longer than the estimate; a shorter one replaces the
 * estimate at once.
 */
const INCREASE_WEIGHT = 0.05;

/** Round trips from this VM in milliseconds. */
export class RoundTrips {
  readonly #local: Location;
  readonly #measuredMs = new Map<ZoneId, number>();

  constructor(local: Location) {
    this.#local = local;
  }

  /** Records that a connection to a target of `zone` took `ms` to establish. */
  record(zone: ZoneId, ms: number): void {
    const before = this.#measuredMs.get(zone);
    this.#measuredMs.set(
      zone,
      before === undefined || ms < before
        ? ms
        : before + INCREASE_WEIGHT * (ms - before),
    );
  }

  /** The round trip to a location. */
  to(location: Location): number {
    const measured = this.#measuredMs.get(location.zone);
    if (measured !== undefined) {
      return measured;
    }
    if (location.zone === this.#local.zone) {
      return DEFAULT_ROUND_TRIP_MS.zone;
    }
    return location.region === this.#local.region
      ? DEFAULT_ROUND_TRIP_MS.region
      : DEFAULT_ROUND_TRIP_MS.otherRegion;
  }
}
