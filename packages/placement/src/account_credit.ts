/**
 * Credit for client accounts whose quota holds over all VMs together.
 *
 * An account may send many times its quota over many connections, and so through
 * many VMs at once. If each VM counted on its own, the account would get a multiple
 * of its quota; if the quota were divided evenly among VMs, a small account's share
 * would be less than one request per VM. So for each account two VMs of each region
 * own credit, chosen by rendezvous hashing, and a request runs only if one of these
 * owners grants it credit.
 *
 * Each region and each owner has a fixed share of the quota, and an owner uses only
 * as much of it as corresponds to the share of the region's VMs it can reach. The
 * shares therefore never sum to more than the quota, even during a network
 * partition. An owner starts without credit, since its predecessor may have spent
 * it all.
 *
 * An account's callers are not spread evenly over the regions, so the first owners
 * of the regions lend each other spare credit. The lender deducts a loan before
 * sending it: a lost response loses credit, but never duplicates it.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import { hashText, pairWeight } from "./hash.ts";

/** How a deployment bounds quotas. */
export interface QuotaBound {
  readonly windowMs: number;
  /** Share of the quota by which requests may exceed it in a window. */
  readonly overage: number;
  /** Number of requests by which the quota may be exceeded in a window. */
  readonly slack: number;
}

/** The quota of one account over all VMs together. */
export interface Quota {
  readonly perSecond: number;
  /** Requests that may arrive at once in addition to the rate. */
  readonly burst: number;
}

/** Rate at which credit accrues, and the maximum balance. */
export interface CreditLimit {
  readonly perSecond: number;
  readonly maxCredit: number;
}

/** A VM that can own credit. */
export interface CreditOwner {
  readonly vm: VmId;
  readonly region: RegionId;
  /** Hash of the VM's name. */
  readonly hash: number;
}

/**
 * Longest delay that callers are given: callers given a longer one don't wait for
 * it.
 */
const MAX_RETRY_DELAY_MS = 10_000;
/**
 * An owner borrows below the first share of its maximum balance, and lends above
 * the second one.
 */
const BORROW_BELOW_SHARE = 0.4;
const LEND_ABOVE_SHARE = 0.6;
/**
 * Share of the allowed credit that is allocated: VMs may briefly disagree on its
 * owners.
 */
const ALLOCATED_SHARE = 0.95;
/**
 * Share of the allowed credit that may be used at once; the rest accrues over the
 * window.
 */
const BURST_SHARE = 0.15;
/**
 * Shares of a region's credit held by its first and second owner. The second one
 * serves alone while the first one is down.
 */
export const OWNER_SHARES: readonly number[] = [0.7, 0.3];

/** Limit on an account's total credit, such that no window exceeds the bound. */
export function creditLimit(quota: Quota, bound: QuotaBound): CreditLimit {
  const windowS = bound.windowMs / 1_000;
  const allowed = (quota.perSecond * windowS + quota.burst) *
      (1 + bound.overage) + bound.slack;
  const burst = allowed * BURST_SHARE;
  return {
    perSecond: (allowed * ALLOCATED_SHARE - burst) / windowS,
    maxCredit: burst,
  };
}

/** The given share of a limit. */
export function scaleLimit(limit: CreditLimit, share: number): CreditLimit {
  return {
    perSecond: limit.perSecond * share,
    maxCredit: limit.maxCredit * share,
  };
}

/** The owners of an account's credit in a region, the first owner first. */
export function creditOwners<T extends CreditOwner>(
  account: string,
  vms: readonly T[],
): readonly T[] {
  const hash = hashText(account);
  return vms.toSorted((a, b) =>
    pairWeight(hash, b.hash) - pairWeight(hash, a.hash)
  ).slice(0, OWNER_SHARES.length);
}

/** Credit balance that accrues over time, starting at zero. */
export class CreditBucket {
  #credit = 0;
  #accruedAt: number;
  /** When the credit scheduled last becomes available. */
  #lastRetryAt = -Infinity;

  /** Times are milliseconds of one monotonic clock. */
  constructor(now: number) {
    this.#accruedAt = now;
  }

  /** Takes the credit of one request; false if there is too little. */
  take(limit: CreditLimit, now: number): boolean {
    this.#accrue(limit, now);
    if (this.#credit < 1) {
      return false;
    }
    this.#credit -= 1;
    return true;
  }

  /**
   * Schedules the retry of a refused request and returns the delay in milliseconds
   * until there is credit for it. Each retry is scheduled after the previous one:
   * if all refused callers were given the same delay, they would return together
   * for the credit of one request.
   */
  scheduleRetry(limit: CreditLimit, now: number): number {
    this.#accrue(limit, now);
    const accrueMs = 1_000 / limit.perSecond;
    const earliest = now + Math.max(0, 1 - this.#credit) * accrueMs;
    this.#lastRetryAt = Math.min(
      Math.max(earliest, this.#lastRetryAt + accrueMs),
      now + MAX_RETRY_DELAY_MS,
    );
    return this.#lastRetryAt - now;
  }

  /** Whether the balance is so low that credit should be borrowed. */
  isLow(limit: CreditLimit, now: number): boolean {
    this.#accrue(limit, now);
    return this.#credit < limit.maxCredit * BORROW_BELOW_SHARE;
  }

  /** Lends spare credit to another owner. It is deducted from this balance. */
  lend(
    limit: CreditLimit,
    { asked, now }: { readonly asked: number; readonly now: number },
  ): number {
    this.#accrue(limit, now);
    const spare = Math.floor(this.#credit - limit.maxCredit * LEND_ABOVE_SHARE);
    const lent = Math.max(0, Math.min(asked, spare));
    this.#credit -= lent;
    return lent;
  }

  /**
   * Adds credit lent by another owner, up to the maximum balance; the excess is
   * lost.
   */
  addBorrowed(
    limit: CreditLimit,
    { lent, now }: { readonly lent: number; readonly now: number },
  ): void {
    this.#accrue(limit, now);
    this.#credit = Math.min(limit.maxCredit, this.#credit + lent);
  }

  #accrue({ perSecond, maxCredit: max }: CreditLimit, now: number): void {
    const accrued = (now - this.#accruedAt) / 1_000 * perSecond;
    // The balance must hold at least one request, or an account with a small quota
    // would never be served.
    this.#credit = Math.min(Math.max(1, max), this.#credit + accrued);
    this.#accruedAt = now;
  }
}
