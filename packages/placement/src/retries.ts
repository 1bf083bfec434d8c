/**
 * Which requests of this VM are retried: those that the retry budgets of their
 * services allow, and that can succeed.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import {
  FleetRetryBudget,
  type RetryBound,
  type RetryUse,
} from "./fleet_retry_budget.ts";
import type { RetryRequest } from "./room/vm_room.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";

/** How often requests of a service have asked for a retry, by result. */
export type RetryCounts = Readonly<
  Record<
    | "taken"
    /** The budget was used up. */
    | "denied"
    /** It could not have succeeded. */
    | "hopeless",
    number
  >
>;

/** A retry that the budget of a service did not allow. */
export interface RetryDenial extends RetryUse {
  readonly service: ServiceId;
  /** VMs that the fixed number is divided by; Infinity if their number is not known. */
  readonly vms: number;
}

/** Options of {@link Retries}. */
export interface RetriesOptions {
  readonly bound: RetryBound;
  /** When the process started. */
  readonly startedAt: number;
  /** Called with the first denial of each window, for each service. */
  onDenied?(denial: RetryDenial): void;
}

/** The retries of one service. */
class ServiceRetries {
  readonly budget: FleetRetryBudget;
  readonly counts = { taken: 0, denied: 0, hopeless: 0 };
  /** When a denial was last reported. */
  reportedAt = -Infinity;

  constructor({ bound, startedAt }: RetriesOptions) {
    this.budget = new FleetRetryBudget(bound, { startedAt });
  }
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Retries {
  readonly #known: TargetKnowledge;
  readonly #options: RetriesOptions;
  readonly #services = new Map<ServiceId, ServiceRetries>();

  constructor(known: TargetKnowledge, options: RetriesOptions) {
    this.#known = known;
    this.#options = options;
  }

  /** Counters by service, for metrics. */
  counts(): ReadonlyMap<ServiceId, RetryCounts> {
    return new Map(
      [...this.#services].map(([name, { counts }]) => [name, counts]),
    );
  }

  /** Records the arrival of a caller's request. */
  arrived(service: ServiceId, now: number): void {
    this.#service(service).budget.arrived(now);
  }

  /** Takes one retry; false if the budget doesn't allow it or it can't succeed. */
  take(service: ServiceId, now: number, retry: RetryRequest): boolean {
    const { room, rates, serviceTimes } = this.#known;
    const { budget, counts } = this.#service(service);
    const runMs = serviceTimes.meanMs(service);
    const terms = room.retryTerms(service, retry, { runMs, now });
    if (terms.kind === "hopeless") {
      counts.hopeless += 1;
      return false;
    }
    const isTaken = budget.trySpend(now, rates.totalVms, terms);
    if (isTaken) {
      counts.taken += 1;
    } else {
      counts.denied += 1;
      room.retryDenied(service, retry.priority, now);
      this.#reportDenial(service, now);
    }
    return isTaken;
  }

  #reportDenial(name: ServiceId, now: number): void {
    const { bound: { windowMs }, onDenied } = this.#options;
    const { rates } = this.#known;
    const service = this.#service(name);
    if (now - service.reportedAt >= windowMs) {
      service.reportedAt = now;
      onDenied?.({
        service: name,
        vms: rates.totalVms,
        ...service.budget.used(now),
      });
    }
  }

  #service(name: ServiceId): ServiceRetries {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = new ServiceRetries(this.#options);
      this.#services.set(name, service);
    }
    return service;
  }
}
