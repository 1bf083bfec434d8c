/**
 * Tracks which services of the platform are unreachable, and since when.
 *
 * @module
 */

import type { OutageStatus } from "@poplarthread/operator-api";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** The services of the platform. */
export type PlatformSubject = "table" | "objects" | "vm-list";

interface Outage {
  readonly since: number;
  reason: string;
}

/** Tracks outages: the first failure begins one, the first success ends it. */
export class Outages {
  readonly #open = new Map<PlatformSubject, Outage>();
  readonly #metrics: Metrics;
  readonly #log: Log;

  constructor(metrics: Metrics, log: Log) {
    this.#metrics = metrics;
    this.#log = log;
  }

  succeeded(subject: PlatformSubject): void {
    const outage = this.#open.get(subject);
    if (outage === undefined) {
      return;
    }
    this.#open.delete(subject);
    this.#metrics.outage.set({ subject }, 0);
    const durationMs = Math.round(performance.now() - outage.since);
    this.#log.info("outage over", { reason: subject, durationMs });
  }

  failed(subject: PlatformSubject, reason: string): void {
    const now = performance.now();
    const outage = this.#open.get(subject);
    if (outage === undefined) {
      this.#open.set(subject, { since: now, reason });
      this.#log.warn("outage", { reason: `${subject}: ${reason}` });
      return;
    }
    outage.reason = reason;
    this.#metrics.outage.set({ subject }, (now - outage.since) / 1_000);
  }

  /** Whether a service is unreachable. */
  isOut(subject: PlatformSubject): boolean {
    return this.#open.has(subject);
  }

  statuses(now: number): readonly OutageStatus[] {
    return [...this.#open].map(([subject, { since, reason }]) => ({
      subject,
      forMs: Math.round(now - since),
      reason,
    }));
  }
}
