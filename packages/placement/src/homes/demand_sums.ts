/**
 * Adds up what callers asked of all VMs, by priority.
 *
 * @module
 */

import type { PriorityDemand } from "./messages.ts";

/** See the module comment. */
export class DemandSums {
  #sums = new Map<number, PriorityDemand>();

  /** Adds the demand that one VM reported. */
  add(priorities: readonly PriorityDemand[]): void {
    for (const demand of priorities) {
      const sum = this.#sums.get(demand.priority);
      this.#sums.set(
        demand.priority,
        sum === undefined ? demand : sumOf(sum, demand),
      );
    }
  }

  /** Removes and returns the sums, the most urgent priority first. */
  take(): readonly PriorityDemand[] {
    const sums = [...this.#sums.values()];
    this.#sums = new Map();
    return sums.sort((a, b) => a.priority - b.priority);
  }
}

function sumOf(a: PriorityDemand, b: PriorityDemand): PriorityDemand {
  const requests = a.requests + b.requests;
  const workMs = a.requests * a.workMs + b.requests * b.workMs;
  return {
    priority: a.priority,
    requests,
    refused: a.refused + b.refused,
    workMs: requests === 0 ? 0 : workMs / requests,
  };
}
