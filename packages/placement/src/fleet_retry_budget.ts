/**
 * This VM's share of the retries that all VMs together may send to a service.
 *
 * Prevents retry storms, like the token bucket of the decisions package, but for
 * deployments that bound retries in any window over all VMs by a share of the
 * requests plus a fixed number. Each VM may use the share of its own requests and
 * an equal part of the fixed number. The bound therefore holds without any
 * messages, even during a network partition.
 *
 * @module
 */

import { WindowCount } from "./window_count.ts";

/** The bound over all VMs. */
export interface RetryBound {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly fixed: number;
  readonly windowMs: number;
}

/** What one VM has used of a budget. */
export interface RetryUse {
  readonly requests: number;
  readonly retries: number;
}

/** Share of the fixed number that is used; see {@link START_SHARE}. */
const FIXED_SHARE = 0.45;
/**
 * Share of this part that a process may use at its start; the rest grows over one window.
 * It does not know what processes before it used in the same window: with these shares
 * the bound holds while each VM restarts three times in a window.
 */
const START_SHARE = 0.1;
/**
 * Share of the ratio that is used: a VM's requests and their retries fall into
 * windows that differ by up to the service time.
 */
const RATIO_SHARE = 0.8;

/** The retry budget of one service on one VM. Times are milliseconds of the monotonic clock. */
export class FleetRetryBudget {
  readonly #bound: RetryBound;
  readonly #startedAt: number;
  readonly #requests: WindowCount;
  readonly #retries: WindowCount;

  /** `startedAt` is when the process started; long ago by default. */
  constructor(bound: RetryBound, { startedAt = -Infinity } = {}) {
    this.#bound = bound;
    this.#startedAt = startedAt;
    this.#requests = new WindowCount(bound.windowMs);
    this.#retries = new WindowCount(bound.windowMs);
  }

  /** Records the arrival of a caller's request for the service. */
  arrived(now: number): void {
    this.#requests.add(now);
  }

  /** Requests and retries of this VM in the window that ends at `now`. */
  used(now: number): RetryUse {
    return {
      requests: this.#requests.sum(now),
      retries: this.#retries.sum(now),
    };
  }

  /**
   * Takes one retry from the budget of this VM, one of `vms` VMs; false if no more
   * than `reservedShare` of the budget is left.
   */
  trySpend(now: number, vms: number, { reservedShare = 0 } = {}): boolean {
    const { ratio } = this.#bound;
    const allowed = this.#requests.sum(now) * ratio * RATIO_SHARE +
      this.#fixedAt(now) / Math.max(1, vms);
    if (this.#retries.sum(now) + 1 > allowed * (1 - reservedShare)) {
      return false;
    }
    this.#retries.add(now);
    return true;
  }

  /** The part of the fixed number that all processes of this age together may use. */
  #fixedAt(now: number): number {
    const { fixed, windowMs } = this.#bound;
    const grownShare = Math.min(1, (now - this.#startedAt) / windowMs);
    return fixed * FIXED_SHARE *
      (START_SHARE + (1 - START_SHARE) * grownShare);
  }
}
