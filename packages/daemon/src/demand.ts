/**
 * How many slots the requests of this VM keep busy or wait for, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";

/** The mean is taken over about this long: two steps of a plan. */
const WINDOW_MS = 5_000;

interface Entry {
  current: number;
  mean: number;
  updatedAt: number;
}

/** Counts requests by service and keeps a decaying mean. */
export class Demand {
  readonly #entries = new Map<ServiceId, Entry>();

  /** These are the services: one without requests has a mean of 0, which is known. */
  watch(services: readonly ServiceId[], now: number): void {
    services.forEach((service) => this.#change(service, 0, now));
  }

  began(service: ServiceId, now: number): void {
    this.#change(service, 1, now);
  }

  ended(service: ServiceId, now: number): void {
    this.#change(service, -1, now);
  }

  /** The means as of now. */
  means(now: number): readonly { service: ServiceId; slots: number }[] {
    return [...this.#entries].map(([service, entry]) => {
      decay(entry, now);
      return { service, slots: entry.mean };
    });
  }

  #change(service: ServiceId, by: number, now: number): void {
    let entry = this.#entries.get(service);
    if (entry === undefined) {
      entry = { current: 0, mean: 0, updatedAt: now };
      this.#entries.set(service, entry);
    }
    decay(entry, now);
    entry.current += by;
  }
}

function decay(entry: Entry, now: number): void {
  const weight = Math.exp((entry.updatedAt - now) / WINDOW_MS);
  entry.mean = entry.mean * weight + entry.current * (1 - weight);
  entry.updatedAt = now;
}
