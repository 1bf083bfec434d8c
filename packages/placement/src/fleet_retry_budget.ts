/**
 * This process's part of the retries that all VMs together may send to a service.
 *
 * Prevents retry storms, like the token bucket of the decisions package, but for
 * deployments that bound retries in any window over all VMs by a share of the
 * requests plus a fixed number. The requests that arrive at a process earn retries,
 * and so does the time for which it runs. It saves up no more than a share of the
 * requests of its last window, and of the fixed number. In any window a process thus
 * sends at most what the requests and the time of that window earn, and its savings,
 * for which the window before has paid. Sums of these hold without any messages,
 * whichever processes end, start, or take over callers of others.
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

/** Share of the ratio that each request earns. */
const EARNED_SHARE = 0.65;
/**
 * Share of the ratio that is saved up, of the requests of the last window. Together
 * with {@link EARNED_SHARE} less than 1: requests are counted when they are read, and
 * retries arrive some time after they were sent.
 */
const SAVED_SHARE = 0.3;
/** Share of the fixed number that all VMs together earn in a window. */
const FIXED_EARNED_SHARE = 0.3;
/** Share of the fixed number that all VMs together save up. */
const FIXED_SAVED_SHARE = 0.4;
/**
 * Share of the fixed number with which all VMs together begin, so that the first
 * requests of a process can be retried. Each restart of all VMs within a window adds it
 * once more: with the shares above, the bound holds for six of them.
 */
const FIXED_START_SHARE = 0.05;
/** Windows in which all that can be saved up of the fixed number is earned. */
const WINDOWS_TO_SAVE_ALL = FIXED_SAVED_SHARE / FIXED_EARNED_SHARE;

/** The retry budget of one service in one process. Times are milliseconds of the monotonic clock. */
export class FleetRetryBudget {
  readonly #bound: RetryBound;
  readonly #requests: WindowCount;
  readonly #retries: WindowCount;
  /** Retries saved up from requests. */
  #saved = 0;
  /** Retries of the fixed number that all processes as old as this one have saved up. */
  #fixedSaved: number;
  #fixedSavedAt: number;
  /** Retries that wait to be sent. They are paid for when they are. */
  #reserved = 0;

  /** `startedAt` is when the process started; long ago by default. */
  constructor(bound: RetryBound, { startedAt = -Infinity } = {}) {
    this.#bound = bound;
    this.#fixedSaved = bound.fixed * FIXED_START_SHARE;
    this.#fixedSavedAt = startedAt;
    this.#requests = new WindowCount(bound.windowMs);
    this.#retries = new WindowCount(bound.windowMs);
  }

  /** Records the arrival of a caller's request for the service. */
  arrived(now: number): void {
    this.#requests.add(now);
    this.#saved += this.#bound.ratio * EARNED_SHARE;
    this.#update(now);
  }

  /** Requests and retries of this process in the window that ends at `now`. */
  used(now: number): RetryUse {
    return {
      requests: this.#requests.sum(now),
      retries: this.#retries.sum(now),
    };
  }

  /**
   * Reserves one retry of this process, one of `vms` VMs; false if less than
   * `keptShare` of what it can save up would be left. The retry is to be sent with
   * {@link trySend}, or given up with {@link release}.
   */
  tryReserve(now: number, vms: number, { keptShare = 0 } = {}): boolean {
    const parts = Math.max(1, vms);
    const available = this.#available(now, parts) - this.#reserved;
    const most = this.#mostSaved(now) + this.#mostFixedSaved / parts;
    if (available - 1 < most * keptShare) {
      return false;
    }
    this.#reserved += 1;
    return true;
  }

  /** Gives up a reserved retry. */
  release(): void {
    this.#reserved -= 1;
  }

  /**
   * Takes a reserved retry from the budget, right before it is sent; false if it is
   * no longer allowed, since what paid for it lies too far back.
   */
  trySend(now: number, vms: number): boolean {
    this.release();
    const parts = Math.max(1, vms);
    if (this.#available(now, parts) < 1) {
      return false;
    }
    const ofRequests = Math.min(1, this.#saved);
    this.#saved -= ofRequests;
    if (ofRequests < 1) {
      this.#fixedSaved -= (1 - ofRequests) * parts;
    }
    this.#retries.add(now);
    return true;
  }

  #available(now: number, parts: number): number {
    this.#update(now);
    return this.#saved + this.#fixedSaved / parts;
  }

  /** Brings what is saved up to `now`. */
  #update(now: number): void {
    const { fixed, windowMs } = this.#bound;
    this.#saved = Math.min(this.#saved, this.#mostSaved(now));
    const windows = Math.min(
      WINDOWS_TO_SAVE_ALL,
      (now - this.#fixedSavedAt) / windowMs,
    );
    this.#fixedSaved = Math.min(
      this.#fixedSaved + fixed * FIXED_EARNED_SHARE * windows,
      this.#mostFixedSaved,
    );
    this.#fixedSavedAt = now;
  }

  #mostSaved(now: number): number {
    return this.#requests.sum(now) * this.#bound.ratio * SAVED_SHARE;
  }

  get #mostFixedSaved(): number {
    return this.#bound.fixed * FIXED_SAVED_SHARE;
  }
}
