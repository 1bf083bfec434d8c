/**
 * Metrics of one daemon, for Prometheus.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

/**
 * 0.11 s and 0.04 s are the two deployments' round trips between regions; the others
 * range from 1 ms (a local reply) to 10 s (the longest wait).
 */
const DURATION_BUCKETS_S = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.02,
  0.04,
  0.075,
  0.11,
  0.2,
  0.5,
  1,
  2,
  5,
  10,
];

/** One labelled series of the request histogram. */
interface Series {
  observe(value: number): void;
}

/** All metrics of the daemon. */
export class Metrics {
  readonly registry = new Registry();
  readonly #durations = new Histogram({
    name: "poplarthread_request_duration_seconds",
    help: "Time from a request's header to its final response",
    labelNames: ["class", "outcome"],
    buckets: DURATION_BUCKETS_S,
    registers: [this.registry],
  });
  readonly #durationSeries = new Map<string, Series>();
  readonly #attemptSeries = new Map<string, { inc(): void }>();

  /**
   * Look-ups answered. A plain number, copied to the gauge at each scrape: the
   * library's counter would noticeably slow down look-ups, which are very cheap.
   */
  lookups = 0;
  readonly #lookups: Gauge = new Gauge({
    name: "poplarthread_lookups_total",
    help: "Look-ups answered",
    registers: [this.registry],
    collect: () => this.#lookups.set(this.lookups),
  });
  readonly refusedInput = new Counter({
    name: "poplarthread_refused_input_total",
    help: "Malformed, oversized, slow or unauthenticated input, by listener",
    labelNames: ["listener", "reason"],
    registers: [this.registry],
  });
  readonly #attempts = new Counter({
    name: "poplarthread_attempts_total",
    help: "Attempts to get a request served by a target, by how they ended",
    labelNames: ["end"],
    registers: [this.registry],
  });
  readonly restarts = new Counter({
    name: "poplarthread_task_restarts_total",
    help: "Restarts of supervised tasks",
    labelNames: ["task"],
    registers: [this.registry],
  });
  readonly inFlight = new Gauge({
    name: "poplarthread_requests_in_flight",
    help: "Requests without their final response",
    registers: [this.registry],
  });
  readonly revision = new Gauge({
    name: "poplarthread_revision_in_force",
    help: "Revision of the configuration in force on this VM",
    registers: [this.registry],
  });
  readonly configurationAge = new Gauge({
    name: "poplarthread_configuration_age_seconds",
    help: "Time since the revision in force was known to be the latest",
    registers: [this.registry],
  });
  readonly planSequence = new Gauge({
    name: "poplarthread_plan_sequence",
    help: "Sequence of the plan in force on this VM",
    registers: [this.registry],
  });
  readonly members = new Gauge({
    name: "poplarthread_members",
    help: "Entry VMs, by state as this VM sees it",
    labelNames: ["state"],
    registers: [this.registry],
  });
  readonly outage = new Gauge({
    name: "poplarthread_outage_seconds",
    help:
      "Time for which a service of the platform has been unreachable; 0 if it is reachable",
    labelNames: ["subject"],
    registers: [this.registry],
  });
  readonly peerMessages = new Counter({
    name: "poplarthread_peer_messages_total",
    help: "Messages between VMs, by direction and method",
    labelNames: ["direction", "method"],
    registers: [this.registry],
  });
  readonly peerBytes = new Counter({
    name: "poplarthread_peer_bytes_total",
    help: "Bytes between VMs, by direction",
    labelNames: ["direction"],
    registers: [this.registry],
  });
  readonly heldBack = new Gauge({
    name: "poplarthread_held_back_requests",
    help: "Entries in the table of requests that coincided with crashes",
    registers: [this.registry],
  });

  /** Counts one finished attempt. */
  attemptEnded(end: string): void {
    let series = this.#attemptSeries.get(end);
    if (series === undefined) {
      series = this.#attempts.labels(end);
      this.#attemptSeries.set(end, series);
    }
    series.inc();
  }

  /** Counts one finished request. */
  requestEnded(className: string, outcome: string, seconds: number): void {
    const key = `${className} ${outcome}`;
    let series = this.#durationSeries.get(key);
    if (series === undefined) {
      series = this.#durations.labels(className, outcome);
      this.#durationSeries.set(key, series);
    }
    series.observe(seconds);
  }
}
