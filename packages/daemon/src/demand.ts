/**
 * Mean number of slots that the requests of this VM use or wait for, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";

/** Time constant of the decaying mean: about two planning steps. */
const MEAN_WINDOW_MS = 5_000;

interface ServiceDemand {
  current: number;
  mean: number;
  updatedAt: number;
}

/** Counts requests by service and keeps a decaying mean. */
export class Demand {
  readonly #entries = new Map<ServiceId, ServiceDemand>();

  /** Registers the services, so that one without requests reports a mean of 0. */
  setServices(services: readonly ServiceId[], now: number): void {
    services.forEach((service) => this.#change(service, 0, now));
  }

  requestStarted(service: ServiceId, now: number): void {
    this.#change(service, 1, now);
  }

  requestEnded(service: ServiceId, now: number): void {
    this.#change(service, -1, now);
  }

  /** The means at `now`. */
  means(now: number): readonly { service: ServiceId; slots: number }[] {
    return [...this.#entries].map(([service, entry]) => {
      decay(entry, now);
      return { service, slots: entry.mean };
    });
  }

  #change(service: ServiceId, delta: number, now: number): void {
    let entry = this.#entries.get(service);
    if (entry === undefined) {
      entry = { current: 0, mean: 0, updatedAt: now };
      this.#entries.set(service, entry);
    }
    decay(entry, now);
    entry.current += delta;
  }
}

function decay(entry: ServiceDemand, now: number): void {
  const weight = Math.exp((entry.updatedAt - now) / MEAN_WINDOW_MS);
  entry.mean = entry.mean * weight + entry.current * (1 - weight);
  entry.updatedAt = now;
}
