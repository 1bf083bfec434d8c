/**
 * How much of the bound on retries all VMs together use, for simulations that see all
 * of their requests.
 *
 * @module
 */

import type { RetryBound } from "./fleet_retry_budget.ts";

/** Interval at which windows begin that are judged. */
const STEP_MS = 50;

interface ServiceUse {
  readonly requestedAt: number[];
  readonly retriedAt: number[];
  readonly seen: Set<string>;
}

/** Counts callers' requests and retries by service. Times are milliseconds of the simulation's clock. */
export class RetryUse {
  readonly #services = new Map<string, ServiceUse>();

  /** A caller sends a request. */
  requested(service: string, at: number): void {
    this.#service(service).requestedAt.push(at);
  }

  /** A request arrives at a target, perhaps not for the first time. */
  arrived(service: string, request: string, at: number): void {
    const { seen } = this.#service(service);
    if (seen.has(request)) {
      this.retried(service, at);
    }
    seen.add(request);
  }

  /** A request arrives at a target that is known to be a retry. */
  retried(service: string, at: number): void {
    this.#service(service).retriedAt.push(at);
  }

  /**
   * Retries of the worst window of any service, as a multiple of those allowed: the
   * requests are those of the window, of the one before it, or of the one half a
   * window before it, whichever has most.
   */
  worst(bound: RetryBound): number {
    return Math.max(
      0,
      ...[...this.#services.values()].map((use) => worstOf(use, bound)),
    );
  }

  #service(name: string): ServiceUse {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = { requestedAt: [], retriedAt: [], seen: new Set() };
      this.#services.set(name, service);
    }
    return service;
  }
}

function worstOf(
  { requestedAt, retriedAt }: ServiceUse,
  { ratio, fixed, windowMs }: RetryBound,
): number {
  const until = retriedAt.reduce((latest, at) => Math.max(latest, at), 0);
  const requests = cumulated(requestedAt, until + windowMs);
  const retries = cumulated(retriedAt, until + windowMs);
  const within = (counts: readonly number[], from: number) => {
    const first = Math.round(from / STEP_MS);
    const last = first + Math.round(windowMs / STEP_MS);
    return (counts[last] ?? counts.at(-1)!) - (counts[Math.max(0, first)] ?? 0);
  };
  let worst = 0;
  for (let from = 0; from <= until; from += STEP_MS) {
    const most = Math.max(
      ...[0, windowMs / 2, windowMs].map((earlierMs) =>
        within(requests, from - earlierMs)
      ),
    );
    worst = Math.max(worst, within(retries, from) / (most * ratio + fixed));
  }
  return worst;
}

/** Number of `times` before each multiple of {@link STEP_MS}, up to `until`. */
function cumulated(times: readonly number[], until: number): readonly number[] {
  const counts = new Array<number>(Math.ceil(until / STEP_MS) + 2).fill(0);
  for (const at of times) {
    const step = Math.floor(at / STEP_MS) + 1;
    if (step < counts.length) {
      counts[step]! += 1;
    }
  }
  for (let step = 1; step < counts.length; step++) {
    counts[step]! += counts[step - 1]!;
  }
  return counts;
}
