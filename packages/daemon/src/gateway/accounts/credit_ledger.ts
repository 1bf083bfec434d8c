/**
 * Credit of the client accounts for which this VM is a credit owner in its region.
 *
 * @module
 */

import type { AccountId } from "@poplarthread/ids";
import {
  CreditBucket,
  type CreditLimit,
  creditLimit,
  creditOwners,
  OWNER_SHARES,
  type Quota,
  type QuotaBound,
  scaleLimit,
} from "@poplarthread/placement";
import type { RankedMember } from "../vm_directory.ts";

/** A credit owner's response for one request. */
export type CreditResponse =
  | { readonly kind: "granted" }
  /** The account has used up its credit; more is available in `readyInMs`. */
  | { readonly kind: "used-up"; readonly readyInMs: number }
  /** As far as this VM knows, it is not a credit owner of the account. */
  | { readonly kind: "not-kept" };

/** Dependencies of {@link CreditLedger}. */
export interface CreditLedgerOptions {
  readonly self: RankedMember;
  readonly bound: QuotaBound;
  /** Number of regions among which each quota is divided. */
  readonly regions: number;
  /** VMs of the region that are up, including this one. */
  upInRegion(): readonly RankedMember[];
  /** Number of VMs of the region that were up recently, including this one. */
  knownInRegion(): number;
  /** The quota in force; undefined if the account is unknown or has none. */
  quotaOf(account: AccountId): Quota | undefined;
  /** Called when an account's credit runs low; `wanted` is the amount to borrow. */
  onShortage(account: AccountId, wanted: number): void;
}

/** Grants and lends credit; see the module comment. Times are milliseconds of the monotonic clock. */
export class CreditLedger {
  readonly #options: CreditLedgerOptions;
  readonly #startedAt: number;
  readonly #buckets = new Map<AccountId, CreditBucket>();

  /** `startedAt` is the start of this instance. Credit is earned only from then on, since what an earlier instance granted is not known. */
  constructor(options: CreditLedgerOptions, startedAt = performance.now()) {
    this.#options = options;
    this.#startedAt = startedAt;
  }

  /** Takes the credit for one request. */
  take(account: AccountId, now: number): CreditResponse {
    const owned = this.#ownedBucket(account);
    if (owned === undefined) {
      return { kind: "not-kept" };
    }
    const { bucket, limit } = owned;
    const isGranted = bucket.take(limit, now);
    if (bucket.isLow(limit, now)) {
      this.#options.onShortage(account, Math.ceil(limit.maxCredit));
    }
    return isGranted
      ? { kind: "granted" }
      : { kind: "used-up", readyInMs: bucket.scheduleRetry(limit, now) };
  }

  /** Lends credit to the credit owner of another region; returns the amount lent. */
  lend(
    account: AccountId,
    loan: { readonly asked: number; readonly now: number },
  ): number {
    const owned = this.#ownedBucket(account);
    return owned?.bucket.lend(owned.limit, loan) ?? 0;
  }

  /** Adds credit lent by the credit owner of another region. */
  receiveLoan(
    account: AccountId,
    loan: { readonly lent: number; readonly now: number },
  ): void {
    const owned = this.#ownedBucket(account);
    owned?.bucket.addBorrowed(owned.limit, loan);
  }

  /** Drops the credit of accounts that no longer exist. */
  retainOnly(accounts: ReadonlySet<AccountId>): void {
    for (const account of this.#buckets.keys()) {
      if (!accounts.has(account)) {
        this.#buckets.delete(account);
      }
    }
  }

  #ownedBucket(
    account: AccountId,
  ):
    | { readonly bucket: CreditBucket; readonly limit: CreditLimit }
    | undefined {
    const limit = this.#localLimit(account);
    if (limit === undefined || limit.perSecond <= 0) {
      return undefined;
    }
    let bucket = this.#buckets.get(account);
    if (bucket === undefined) {
      bucket = new CreditBucket(this.#startedAt);
      this.#buckets.set(account, bucket);
    }
    return { bucket, limit };
  }

  /** This VM's share of an account's credit; undefined if the account has no quota or this VM is not a credit owner. */
  #localLimit(account: AccountId): CreditLimit | undefined {
    const { self, bound, regions } = this.#options;
    const quota = this.#options.quotaOf(account);
    const up = this.#options.upInRegion();
    const owners = creditOwners(account, up);
    const rank = owners.findIndex(({ vm }) => vm === self.vm);
    if (quota === undefined || rank < 0) {
      return undefined;
    }
    const ownerShare = owners.length === 1 ? 1 : OWNER_SHARES[rank]!;
    // In a network partition the VMs on the other side may have credit owners of their
    // own, so this side uses only the share of the region's VMs that it sees as up.
    const upShare = up.length /
      Math.max(up.length, this.#options.knownInRegion());
    const share = ownerShare * upShare / regions;
    return scaleLimit(creditLimit(quota, bound), share);
  }
}
