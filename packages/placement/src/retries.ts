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
    /** It was taken, and the budget was used up when it could be sent. */
    | "lapsed"
    /** It could not have succeeded. */
    | "hopeless",
    number
  >
>;

/** Both sides of the bound on a service's retries, since the process started. */
export type RetryTotals = Readonly<
  Record<
    /** Callers' requests, which raise the bound. */
    | "requests"
    /** Retries that were sent to targets or to other VMs. */
    | "sent",
    number
  >
>;

/** A retry that the budget of a service did not allow. */
export interface RetryDenial extends RetryUse {
  readonly service: ServiceId;
  /** Time since the process started. */
  readonly runningMs: number;
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
  readonly counts = { taken: 0, denied: 0, lapsed: 0, hopeless: 0 };
  readonly totals = { requests: 0, sent: 0 };
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

  /** Both sides of the bound by service, for metrics. */
  totals(): ReadonlyMap<ServiceId, RetryTotals> {
    return new Map(
      [...this.#services].map(([name, { totals }]) => [name, totals]),
    );
  }

  /** Records the arrival of a caller's request. */
  arrived(name: ServiceId, now: number): void {
    const service = this.#service(name);
    service.budget.arrived(now);
    service.totals.requests += 1;
  }

  /**
   * Takes one retry, which is to be sent or released; false if the budget doesn't
   * allow it or it can't succeed.
   */
  take(service: ServiceId, now: number, retry: RetryRequest): boolean {
    const { room, rates, serviceTimes } = this.#known;
    const { budget, counts } = this.#service(service);
    const runMs = serviceTimes.meanMs(service);
    const terms = room.retryTerms(service, retry, { runMs, now });
    if (terms.kind === "hopeless") {
      counts.hopeless += 1;
      return false;
    }
    const isTaken = budget.tryReserve(now, rates.totalVms, terms);
    if (isTaken) {
      counts.taken += 1;
    } else {
      counts.denied += 1;
      room.retryDenied(service, retry.priority, now);
      this.#reportDenial(service, now);
    }
    return isTaken;
  }

  /** A retry that was taken is about to be sent; false if it is no longer allowed. */
  send(name: ServiceId, now: number): boolean {
    const { budget, counts, totals } = this.#service(name);
    const isSent = budget.trySend(now, this.#known.rates.totalVms);
    if (isSent) {
      totals.sent += 1;
    } else {
      counts.lapsed += 1;
      this.#reportDenial(name, now);
    }
    return isSent;
  }

  /** A retry that was taken is not sent. */
  release(service: ServiceId): void {
    this.#service(service).budget.release();
  }

  #reportDenial(name: ServiceId, now: number): void {
    const { bound: { windowMs }, startedAt, onDenied } = this.#options;
    const { rates } = this.#known;
    const service = this.#service(name);
    if (now - service.reportedAt >= windowMs) {
      service.reportedAt = now;
      onDenied?.({
        service: name,
        vms: rates.totalVms,
        runningMs: Math.round(now - startedAt),
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
