/**
 * Metrics of the retries that the budgets of services allow.
 *
 * @module
 */

import type { Registry } from "prom-client";
import type { Steering } from "@poplarthread/placement";
import { registerServiceCounter } from "./service_counter.ts";

type RetrySteering = Pick<Steering, "retryCounts" | "retryTotals">;

/** See the module comment. */
export class RetryMetrics {
  #steering: RetrySteering | undefined;

  constructor(registry: Registry) {
    registerServiceCounter(registry, {
      name: "poplarthread_gateway_retries_total",
      help:
        "Requests that asked for a retry: taken, denied by the budget, or hopeless; lapsed: taken, and then not sent",
      label: "result",
      read: () => this.#steering?.retryCounts() ?? new Map(),
    });
    registerServiceCounter(registry, {
      name: "poplarthread_gateway_retry_bound_total",
      help:
        "Both sides of the bound on retries over all VMs: callers' requests, and retries that were sent",
      label: "side",
      read: () => this.#steering?.retryTotals() ?? new Map(),
    });
  }

  /** Shows the counts of `steering` from now on. */
  follow(steering: RetrySteering): void {
    this.#steering = steering;
  }
}
