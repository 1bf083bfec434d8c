/**
 * This VM's share of the retries that all VMs together may send to a service.
 *
 * Answers a storm of retries, like the token bucket of the decisions package,
 * for deployments that bound retries in any window over all VMs: a fixed number
 * besides a share of the requests. Each VM takes the share of its own requests
 * and its part of the fixed number. So the sum holds without a message, also
 * while VMs are cut off from each other.
 *
 * @module
 */

import { WindowCount } from "./window_count.ts";

/** The bound over all VMs. */
export interface RetryBound {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries besides, in each window. */
  readonly fixed: number;
  readonly windowMs: number;
}

/**
 * Part of the fixed number that is used. A VM that restarts has forgotten what
 * it used and may use its part again within the same window.
 */
const FIXED_SHARE = 0.45;
/** Part of the ratio that is used: a VM's requests and retries fall into windows that differ by up to their service time. */
const RATIO_SHARE = 0.8;
/** The budget of one service on one VM. */
export class FleetRetryBudget {
  readonly #bound: RetryBound;
  readonly #requests: WindowCount;
  readonly #retries: WindowCount;

  constructor(bound: RetryBound) {
    this.#bound = bound;
    this.#requests = new WindowCount(bound.windowMs);
    this.#retries = new WindowCount(bound.windowMs);
  }

  /** A caller's request for the service came. */
  arrived(now: number): void {
    this.#requests.add(now);
  }

  /** Whether one more retry fits; if so, it is counted. `vms` is the number of VMs. */
  spend(now: number, vms: number): boolean {
    const { ratio, fixed } = this.#bound;
    const allowed = this.#requests.sum(now) * ratio * RATIO_SHARE +
      fixed * FIXED_SHARE / Math.max(1, vms);
    if (this.#retries.sum(now) + 1 > allowed) {
      return false;
    }
    this.#retries.add(now);
    return true;
  }
}
