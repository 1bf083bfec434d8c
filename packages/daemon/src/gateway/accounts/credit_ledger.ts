/**
 * Credit of client accounts that this VM keeps for its region.
 *
 * @module
 */

import type { AccountId } from "@poplarthread/ids";
import {
  CreditBucket,
  type CreditLimit,
  creditLimit,
  KEEPER_PARTS,
  keepersOf,
  partOf,
  type Quota,
  type QuotaBound,
} from "@poplarthread/placement";
import type { RankedMember } from "../vm_directory.ts";

/** What a keeper says to one request. */
export type CreditAnswer =
  | { readonly kind: "granted" }
  /** The account has used its credit up; there will be some again in so many milliseconds. */
  | { readonly kind: "used-up"; readonly readyInMs: number }
  /** This VM keeps none for the account, as far as it knows. */
  | { readonly kind: "not-kept" };

/** What the ledger works with. */
export interface CreditLedgerOptions {
  readonly self: RankedMember;
  readonly bound: QuotaBound;
  /** Regions among which each quota is divided. */
  readonly regions: number;
  /** VMs of the region that are up, this one among them. */
  upInRegion(): readonly RankedMember[];
  /** VMs of the region that were up lately, this one among them. */
  knownInRegion(): number;
  /** The quota in force; undefined where the account has none or is not known. */
  quotaOf(account: AccountId): Quota | undefined;
  /** Little credit of an account is left: as much as `wanted` had better be borrowed. */
  short(account: AccountId, wanted: number): void;
}

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class CreditLedger {
  readonly #options: CreditLedgerOptions;
  readonly #startedAt: number;
  readonly #buckets = new Map<AccountId, CreditBucket>();

  /** `startedAt` is when this VM began: what it spent in an earlier life is not known. */
  constructor(options: CreditLedgerOptions, startedAt = performance.now()) {
    this.#options = options;
    this.#startedAt = startedAt;
  }

  /** Takes the credit of one request. */
  take(account: AccountId, now: number): CreditAnswer {
    const kept = this.#kept(account);
    if (kept === undefined) {
      return { kind: "not-kept" };
    }
    const { bucket, limit } = kept;
    const isGranted = bucket.take(limit, now);
    if (bucket.isShort(limit, now)) {
      this.#options.short(account, Math.ceil(limit.most));
    }
    return isGranted
      ? { kind: "granted" }
      : { kind: "used-up", readyInMs: bucket.promise(limit, now) };
  }

  /** Gives credit to the keeper of another region; returns how much. */
  lend(
    account: AccountId,
    loan: { readonly asked: number; readonly now: number },
  ): number {
    const kept = this.#kept(account);
    return kept?.bucket.lend(kept.limit, loan) ?? 0;
  }

  /** The keeper of another region gave credit. */
  borrowed(
    account: AccountId,
    loan: { readonly lent: number; readonly now: number },
  ): void {
    const kept = this.#kept(account);
    kept?.bucket.borrowed(kept.limit, loan);
  }

  /** Accounts that are gone are forgotten. */
  keepOnly(accounts: ReadonlySet<AccountId>): void {
    for (const account of this.#buckets.keys()) {
      if (!accounts.has(account)) {
        this.#buckets.delete(account);
      }
    }
  }

  #kept(
    account: AccountId,
  ):
    | { readonly bucket: CreditBucket; readonly limit: CreditLimit }
    | undefined {
    const limit = this.#limitOf(account);
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

  /** This VM's part of an account's credit. */
  #limitOf(account: AccountId): CreditLimit | undefined {
    const { self, bound, regions } = this.#options;
    const quota = this.#options.quotaOf(account);
    const up = this.#options.upInRegion();
    const keepers = keepersOf(account, up);
    const rank = keepers.findIndex(({ vm }) => vm === self.vm);
    if (quota === undefined || rank < 0) {
      return undefined;
    }
    const own = keepers.length === 1 ? 1 : KEEPER_PARTS[rank]!;
    // Those behind a cut may have keepers of their own.
    const heard = up.length /
      Math.max(up.length, this.#options.knownInRegion());
    const part = own * heard / regions;
    return partOf(creditLimit(quota, bound), part);
  }
}
