/**
 * Mean time that a request occupies a slot, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";

/** Taken until measured, in milliseconds: a warm request of the deployments. */
const GUESS_MS = 200;
/** Weight of a new sample: the mean follows within some 20 requests. */
const WEIGHT = 0.05;
/** Samples count at most this, in milliseconds, so that one silent target does not shift the mean. */
const MOST_MS = 2_000;

/** Running means of service times. */
export class ServiceTimes {
  readonly #means = new Map<ServiceId, number>();

  /** A target answered after `ms`, less the round trip, with nothing waiting before it. */
  measured(service: ServiceId, ms: number): void {
    const sample = Math.min(Math.max(1, ms), MOST_MS);
    const mean = this.mean(service);
    this.#means.set(service, mean + WEIGHT * (sample - mean));
  }

  /** Mean in milliseconds. */
  mean(service: ServiceId): number {
    return this.#means.get(service) ?? GUESS_MS;
  }
}
