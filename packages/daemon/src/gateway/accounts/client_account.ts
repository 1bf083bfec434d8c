/**
 * Client accounts: identifies the sender of a request by its key and determines the
 * regions in which the request may run.
 *
 * @module
 */

import type { AccountId, KeyDigest, RegionId } from "@poplarthread/ids";
import type { Quota } from "@poplarthread/placement";
import type { Route } from "../configuration.ts";

/** A client account as operators configured it. */
export interface ClientAccount {
  readonly id: AccountId;
  readonly keys: readonly KeyDigest[];
  /** Takes precedence over the route's priority; undefined where the account has none. */
  readonly priority: number | undefined;
  /** Regions in which its requests may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
  /** False if only its id and keys could be read: its requests are refused. */
  readonly isReadable: boolean;
}

/** The credential that a request's header carries. */
export type Credential =
  | { readonly kind: "none" }
  | { readonly kind: "key"; readonly digest: KeyDigest }
  /** More than one credential, so that it is ambiguous which applies. */
  | { readonly kind: "several" }
  /** A credential of another scheme than a key. */
  | { readonly kind: "other-scheme" };

/** The sender of a request and the regions in which the request may run. */
export type CallerIdentity =
  /** No key is needed: no accounts are configured, or the route is public. */
  | { readonly kind: "anonymous"; readonly regions: readonly RegionId[] }
  | {
    readonly kind: "known";
    readonly account: ClientAccount;
    readonly key: KeyDigest;
    readonly regions: readonly RegionId[];
  }
  | {
    readonly kind: "refused";
    readonly reason: "unauthenticated" | "not-allowed" | "accounts-unknown";
  };

/** The accounts of one configuration, indexed by id and key. */
export class AccountIndex {
  readonly #byId = new Map<AccountId, ClientAccount>();
  readonly #byKey = new Map<KeyDigest, ClientAccount>();

  constructor(accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      this.#byId.set(account.id, account);
      account.keys.forEach((key) => this.#byKey.set(key, account));
    }
  }

  /** The account that a key belongs to; undefined if there is none. */
  holderOf(key: KeyDigest): ClientAccount | undefined {
    return this.#byKey.get(key);
  }

  /** The account with this id; undefined if there is none. */
  get(id: AccountId): ClientAccount | undefined {
    return this.#byId.get(id);
  }

  /** Ids of all accounts. */
  get ids(): ReadonlySet<AccountId> {
    return new Set(this.#byId.keys());
  }

  /** Identifies the sender of a request on `route`. */
  identify(credential: Credential, route: Route): CallerIdentity {
    if (route.isPublic) {
      return { kind: "anonymous", regions: route.regions };
    }
    const account = credential.kind === "key"
      ? this.holderOf(credential.digest)
      : undefined;
    if (account === undefined || credential.kind !== "key") {
      return { kind: "refused", reason: "unauthenticated" };
    }
    if (!account.isReadable) {
      return { kind: "refused", reason: "accounts-unknown" };
    }
    const regions = commonRegions(route.regions, account.regions);
    return regions === undefined
      ? { kind: "refused", reason: "not-allowed" }
      : { kind: "known", account, key: credential.digest, regions };
  }
}

/** Regions that both lists allow, where an empty list allows all; undefined if they have none in common. */
function commonRegions(
  a: readonly RegionId[],
  b: readonly RegionId[],
): readonly RegionId[] | undefined {
  if (a.length === 0 || b.length === 0) {
    return a.length === 0 ? b : a;
  }
  const common = a.filter((region) => b.includes(region));
  return common.length === 0 ? undefined : common;
}

/** Number of route ranks within each account priority. */
const RANKS_PER_PRIORITY = 1_000;

/** Rank of a request in the wait queue; lower ranks go first. */
export function rankOf(
  route: Pick<Route, "priority">,
  account: Pick<ClientAccount, "priority"> | undefined,
): number {
  return (account?.priority ?? route.priority) * RANKS_PER_PRIORITY +
    route.priority;
}
