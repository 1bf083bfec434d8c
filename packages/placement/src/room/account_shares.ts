/**
 * Finds client accounts that send far more than their usual share of a service's
 * requests on this VM.
 *
 * When one account floods a service that has no room to spare, the surplus of that
 * account is refused first; otherwise all accounts would pay for it alike. Shares
 * are compared, not rates, since a burst of all accounts is nobody's surplus.
 *
 * @module
 */

import type { AccountId } from "@poplarthread/ids";

/** Half-life of recent requests: a flood is found within about this time. */
const RECENT_HALF_LIFE_MS = 1_500;
/** Half-life of usual requests: much longer than a flood lasts. */
const USUAL_HALF_LIFE_MS = 30_000;
/** Multiple of its usual share above which an account sends too much. */
const MAX_SHARE_FACTOR = 2;
/** Standard deviations by which a random count may exceed its expected value. */
const MAX_DEVIATIONS = 2;
/** Weight of a surplus request in the usual share: a flood must not soon be usual. */
const SURPLUS_WEIGHT = 0.1;
/** Requests from which the usual shares are known well enough. */
const MIN_USUAL_REQUESTS = 30;
/** Number of accounts above which those that have stopped sending are dropped. */
const MAX_ACCOUNTS = 1_000;

/** A count that decays exponentially. */
class DecayingCount {
  readonly #halfLifeMs: number;
  #value = 0;
  #at = 0;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  add(weight: number, now: number): void {
    this.#value = this.at(now) + weight;
    this.#at = now;
  }

  at(now: number): number {
    return this.#value * 2 ** (-(now - this.#at) / this.#halfLifeMs);
  }
}

/** Recent and usual requests of one account, or of all. */
class RequestCounts {
  readonly recent = new DecayingCount(RECENT_HALF_LIFE_MS);
  readonly usual = new DecayingCount(USUAL_HALF_LIFE_MS);

  add(usualWeight: number, now: number): void {
    this.recent.add(1, now);
    this.usual.add(usualWeight, now);
  }

  /** Usual requests before the recent ones. */
  earlier(now: number): number {
    return Math.max(0, this.usual.at(now) - this.recent.at(now));
  }
}

/** The accounts of one service. Times are milliseconds of one monotonic clock. */
export class AccountShares {
  readonly #all = new RequestCounts();
  readonly #accounts = new Map<AccountId, RequestCounts>();

  /** Records the arrival of a request. */
  arrived(account: AccountId, now: number): void {
    let counts = this.#accounts.get(account);
    if (counts === undefined) {
      this.#dropIdle(now);
      counts = new RequestCounts();
      this.#accounts.set(account, counts);
    }
    const weight = this.isFarAboveUsual(account, now) ? SURPLUS_WEIGHT : 1;
    counts.add(weight, now);
    this.#all.add(weight, now);
  }

  /** Whether the account sends far more than its usual share. */
  isFarAboveUsual(account: AccountId, now: number): boolean {
    const counts = this.#accounts.get(account);
    const total = this.#all.earlier(now);
    if (counts === undefined || total < MIN_USUAL_REQUESTS) {
      return false;
    }
    // An account that has just begun to send may have a mean share.
    const usualShare = Math.max(
      counts.earlier(now) / total,
      1 / this.#accounts.size,
    );
    const expected = usualShare * this.#all.recent.at(now);
    const allowed = Math.max(
      MAX_SHARE_FACTOR * expected,
      expected + MAX_DEVIATIONS * Math.sqrt(expected) + 1,
    );
    return counts.recent.at(now) > allowed;
  }

  #dropIdle(now: number): void {
    if (this.#accounts.size < MAX_ACCOUNTS) {
      return;
    }
    for (const [account, { usual }] of this.#accounts) {
      if (usual.at(now) < 0.5) {
        this.#accounts.delete(account);
      }
    }
  }
}
