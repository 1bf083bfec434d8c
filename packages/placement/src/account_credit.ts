/**
 * Credit for requests of client accounts whose quota holds over all VMs together.
 *
 * Answers accounts that send many times what they may, from many connections and so
 * through many VMs at once. Each VM alone sees little of it: counted by each for
 * itself, the account gets a multiple of its quota; divided evenly among VMs, the quota
 * of a small account is less than one request for each. So for each account two VMs of
 * each region keep credit, which all VMs compute alike, and a request runs only for
 * credit that one of them gave. Each region and each keeper has a fixed part of the
 * quota, and a keeper uses only as much of it as it hears of the region's VMs: so parts
 * never sum to more than the quota, also while VMs are cut off from each other. A
 * keeper that starts has none and earns it, since the one before it may have spent all.
 * Callers of an account don't stand in all regions alike, so first keepers lend each
 * other what they can spare. What is lent is gone from the lender before it is sent; an
 * answer that is lost takes it away, and doubles nothing.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import { hashText, pairWeight } from "./hash.ts";

/** How a deployment bounds quotas. */
export interface QuotaBound {
  readonly windowMs: number;
  /** Share of the quota that may run beyond it in a window. */
  readonly overage: number;
  /** Requests that may run beyond it in a window. */
  readonly slack: number;
}

/** The quota of one account, over all VMs together. */
export interface Quota {
  readonly perSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}

/** How fast credit is earned, and how much is kept. */
export interface CreditLimit {
  readonly perSecond: number;
  readonly most: number;
}

/** A VM that may keep credit. */
export interface CreditKeeper {
  readonly vm: VmId;
  readonly region: RegionId;
  /** Hash of its name. */
  readonly hash: number;
}

/** The longest time that is promised, in milliseconds: callers that are told more don't wait for it. */
const MOST_PROMISED_MS = 10_000;
/** Below this part of what a keeper keeps at most, it borrows; above the other one, it lends. */
const SHORT_SHARE = 0.4;
const KEPT_SHARE = 0.6;
/** Part of what the bound allows that is given out: VMs may disagree for a moment on who keeps it. */
const GIVEN_SHARE = 0.95;
/** Part of what the bound allows that may come at once; the rest is earned over the window. */
const BURST_SHARE = 0.15;
/** Parts of a region's credit that its first and second keeper have. The second serves alone while the first is lost. */
export const KEEPER_PARTS: readonly number[] = [0.7, 0.3];

/** All credit of an account, so that no window has more than the bound allows. */
export function creditLimit(quota: Quota, bound: QuotaBound): CreditLimit {
  const windowS = bound.windowMs / 1_000;
  const allowed = (quota.perSecond * windowS + quota.burst) *
      (1 + bound.overage) + bound.slack;
  const most = allowed * BURST_SHARE;
  return { perSecond: (allowed * GIVEN_SHARE - most) / windowS, most };
}

/** A part of a limit. */
export function partOf(limit: CreditLimit, part: number): CreditLimit {
  return { perSecond: limit.perSecond * part, most: limit.most * part };
}

/** The keepers of an account's credit in a region, the first one first. */
export function keepersOf<T extends CreditKeeper>(
  account: string,
  vms: readonly T[],
): readonly T[] {
  const hash = hashText(account);
  return vms.toSorted((a, b) =>
    pairWeight(hash, b.hash) - pairWeight(hash, a.hash)
  ).slice(0, KEEPER_PARTS.length);
}

/** Credit that is earned over time. It begins with none. */
export class CreditBucket {
  #credit = 0;
  #earnedAt: number;
  /** When the credit comes that was promised last. */
  #promisedAt = -Infinity;

  /** Times are milliseconds of one monotonic clock. */
  constructor(now: number) {
    this.#earnedAt = now;
  }

  /** Takes the credit of one request, if there is any. */
  take(limit: CreditLimit, now: number): boolean {
    this.#earn(limit, now);
    if (this.#credit < 1) {
      return false;
    }
    this.#credit -= 1;
    return true;
  }

  /**
   * Promises credit to a request that got none, and returns in how many milliseconds
   * there will be some. Each promise lies behind the one before: told the same time,
   * all callers that were refused would come back together for the credit of one.
   */
  promise(limit: CreditLimit, now: number): number {
    this.#earn(limit, now);
    const earnMs = 1_000 / limit.perSecond;
    const soonest = now + Math.max(0, 1 - this.#credit) * earnMs;
    this.#promisedAt = Math.min(
      Math.max(soonest, this.#promisedAt + earnMs),
      now + MOST_PROMISED_MS,
    );
    return this.#promisedAt - now;
  }

  /** Whether so little is left that more had better be borrowed. */
  isShort(limit: CreditLimit, now: number): boolean {
    this.#earn(limit, now);
    return this.#credit < limit.most * SHORT_SHARE;
  }

  /** Gives credit to another keeper, as far as this one can spare it: it is gone from here. */
  lend(
    limit: CreditLimit,
    { asked, now }: { readonly asked: number; readonly now: number },
  ): number {
    this.#earn(limit, now);
    const spare = Math.floor(this.#credit - limit.most * KEPT_SHARE);
    const lent = Math.max(0, Math.min(asked, spare));
    this.#credit -= lent;
    return lent;
  }

  /** Takes in what another keeper gave; what does not fit is lost. */
  borrowed(
    limit: CreditLimit,
    { lent, now }: { readonly lent: number; readonly now: number },
  ): void {
    this.#earn(limit, now);
    this.#credit = Math.min(limit.most, this.#credit + lent);
  }

  #earn({ perSecond, most }: CreditLimit, now: number): void {
    const earned = (now - this.#earnedAt) / 1_000 * perSecond;
    // One request must fit, or an account with a small quota would never be served.
    this.#credit = Math.min(Math.max(1, most), this.#credit + earned);
    this.#earnedAt = now;
  }
}
