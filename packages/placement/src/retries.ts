/**
 * Which requests of this VM are retried: those that the retry budgets of their
 * services allow, and that can succeed.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import { FleetRetryBudget, type RetryBound } from "./fleet_retry_budget.ts";
import type { RetryRequest } from "./room/vm_room.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Retries {
  readonly #known: TargetKnowledge;
  readonly #bound: RetryBound;
  readonly #budgets = new Map<ServiceId, FleetRetryBudget>();

  constructor(known: TargetKnowledge, bound: RetryBound) {
    this.#known = known;
    this.#bound = bound;
  }

  /** Records the arrival of a caller's request. */
  arrived(service: ServiceId, now: number): void {
    this.#budget(service).arrived(now);
  }

  /** Takes one retry; false if the budget doesn't allow it or it can't succeed. */
  take(service: ServiceId, now: number, retry: RetryRequest): boolean {
    const { room, rates, serviceTimes } = this.#known;
    const runMs = serviceTimes.meanMs(service);
    const terms = room.retryTerms(service, retry, { runMs, now });
    if (terms.kind === "hopeless") {
      return false;
    }
    // The part of a fixed number can't be told while the number of VMs is not known.
    const vms = rates.isFleetKnown ? rates.totalVms : Infinity;
    const isTaken = this.#budget(service).trySpend(now, vms, terms);
    if (!isTaken) {
      room.retryDenied(service, retry.priority, now);
    }
    return isTaken;
  }

  #budget(service: ServiceId): FleetRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new FleetRetryBudget(this.#bound);
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
