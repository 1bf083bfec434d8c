/**
 * Round trips to zones, learned from connections.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";
import type { Place } from "./target.ts";

/** Taken until measured, in milliseconds: within a zone, a region, and beyond. */
const GUESS_MS = { zone: 0.5, region: 3, beyond: 60 };
/** How fast a longer round trip replaces a shorter one; a shorter one does at once. */
const RISE = 0.05;

/** Round trips from this VM, in milliseconds. */
export class RoundTrips {
  readonly #self: Place;
  readonly #measured = new Map<ZoneId, number>();

  constructor(self: Place) {
    this.#self = self;
  }

  /** A connection to a target of `zone` took `ms` to come about. */
  measured(zone: ZoneId, ms: number): void {
    const before = this.#measured.get(zone);
    this.#measured.set(
      zone,
      before === undefined || ms < before ? ms : before + RISE * (ms - before),
    );
  }

  /** The round trip to a place. */
  to(place: Place): number {
    const measured = this.#measured.get(place.zone);
    if (measured !== undefined) {
      return measured;
    }
    if (place.zone === this.#self.zone) {
      return GUESS_MS.zone;
    }
    return place.region === this.#self.region
      ? GUESS_MS.region
      : GUESS_MS.beyond;
  }
}
