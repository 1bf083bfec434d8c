/**
 * Service times and response times of targets, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";

/** Mean used until there are samples: the time of a warm request in the deployments. */
const DEFAULT_MEAN_MS = 200;
/** Weight of a new sample: the mean adapts within about 20 requests. */
const MEAN_WEIGHT = 0.05;
/**
 * Longer samples are capped, so that one unresponsive target does not shift the
 * mean.
 */
const MAX_MEAN_SAMPLE_MS = 2_000;
/** Longest usual response time used until there are samples. */
const DEFAULT_LONG_MS = 2_000;
/**
 * Weights of samples above and below the long time, which rises at once to the
 * longest of about a hundred responses and decays slowly. Requests on uncached
 * objects become rare after the first seconds, but take several times as long as
 * the others.
 */
const LONG_INCREASE_WEIGHT = 0.3;
const LONG_DECREASE_WEIGHT = 0.003;
/**
 * Cap of samples for the long time: slowed-down targets must not hide unresponsive
 * ones.
 */
const MAX_LONG_SAMPLE_MS = 3_000;

/** Mean service time and longest usual response time of each service. */
export class ServiceTimes {
  readonly #meansMs = new Map<ServiceId, number>();
  readonly #longsMs = new Map<ServiceId, number>();

  /**
   * Records a response time without the round trip; the target had no other
   * requests waiting.
   */
  recordServiceTime(service: ServiceId, ms: number): void {
    const sample = Math.min(Math.max(1, ms), MAX_MEAN_SAMPLE_MS);
    const mean = this.meanMs(service);
    this.#meansMs.set(service, mean + MEAN_WEIGHT * (sample - mean));
  }

  /** Mean service time in milliseconds. */
  meanMs(service: ServiceId): number {
    return this.#meansMs.get(service) ?? DEFAULT_MEAN_MS;
  }

  /**
   * Response time of the longest requests in milliseconds, including their wait at
   * the target.
   */
  longMs(service: ServiceId): number {
    return this.#longsMs.get(service) ?? DEFAULT_LONG_MS;
  }

  /**
   * Records a response time without the round trip; requests may have waited at the
   * target.
   */
  recordResponseTime(service: ServiceId, ms: number): void {
    const sample = Math.min(Math.max(1, ms), MAX_LONG_SAMPLE_MS);
    const long = this.#longsMs.get(service) ?? sample;
    const weight = sample > long ? LONG_INCREASE_WEIGHT : LONG_DECREASE_WEIGHT;
    this.#longsMs.set(service, long + weight * (sample - long));
  }
}
