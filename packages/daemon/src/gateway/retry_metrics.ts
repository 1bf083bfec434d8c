/**
 * Metrics of the retries that the budgets of services allow.
 *
 * @module
 */

import type { Registry } from "prom-client";
import type { Steering } from "@poplarthread/placement";
import { registerServiceCounter } from "./service_counter.ts";

/** See the module comment. */
export class RetryMetrics {
  #steering: Pick<Steering, "retryCounts"> | undefined;

  constructor(registry: Registry) {
    registerServiceCounter(registry, {
      name: "poplarthread_gateway_retries_total",
      help:
        "Requests that asked for a retry: taken, denied by the budget, or hopeless",
      label: "result",
      read: () => this.#steering?.retryCounts() ?? new Map(),
    });
  }

  /** Shows the counts of `steering` from now on. */
  follow(steering: Pick<Steering, "retryCounts">): void {
    this.#steering = steering;
  }
}
