/**
 * Client accounts: who sends a request, by its key, and where it may run.
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
  /** Goes before the rank of the route; undefined where the account has none. */
  readonly priority: number | undefined;
  /** Regions in which its requests may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
}

/** What the header of a request says of its sender. */
export type Credential =
  | { readonly kind: "none" }
  | { readonly kind: "key"; readonly digest: KeyDigest }
  /** More than one, of which nobody can say which counts. */
  | { readonly kind: "several" }
  /** Not by a key. */
  | { readonly kind: "other-scheme" };

/** Who sends a request, and where it may run. */
export type CallerIdentity =
  /** Nobody is asked: there are no accounts, or the route is for everybody. */
  | { readonly kind: "anonymous"; readonly regions: readonly RegionId[] }
  | {
    readonly kind: "known";
    readonly account: ClientAccount;
    readonly key: KeyDigest;
    readonly regions: readonly RegionId[];
  }
  | {
    readonly kind: "refused";
    readonly reason: "unauthenticated" | "not-allowed";
  };

/** The accounts of one configuration by their keys. */
export class AccountIndex {
  readonly #byId = new Map<AccountId, ClientAccount>();
  readonly #byKey = new Map<KeyDigest, ClientAccount>();

  constructor(accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      this.#byId.set(account.id, account);
      account.keys.forEach((key) => this.#byKey.set(key, account));
    }
  }

  /** The account that holds a key; undefined where none does. */
  holderOf(key: KeyDigest): ClientAccount | undefined {
    return this.#byKey.get(key);
  }

  /** The account of this name; undefined where there is none. */
  named(id: AccountId): ClientAccount | undefined {
    return this.#byId.get(id);
  }

  /** Names of all accounts. */
  get ids(): ReadonlySet<AccountId> {
    return new Set(this.#byId.keys());
  }

  /** Who sends a request on `route`. */
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
    const regions = commonRegions(route.regions, account.regions);
    return regions === undefined
      ? { kind: "refused", reason: "not-allowed" }
      : { kind: "known", account, key: credential.digest, regions };
  }
}

/** Regions that both lists allow, an empty list being all; undefined where there is none. */
function commonRegions(
  one: readonly RegionId[],
  other: readonly RegionId[],
): readonly RegionId[] | undefined {
  if (one.length === 0 || other.length === 0) {
    return one.length === 0 ? other : one;
  }
  const common = one.filter((region) => other.includes(region));
  return common.length === 0 ? undefined : common;
}

/** Ranks of routes within one rank of accounts. */
const ROUTE_RANKS = 1_000;

/** Rank of a request among those that wait; lower ones go first. */
export function rankOf(
  route: Pick<Route, "priority">,
  account: Pick<ClientAccount, "priority"> | undefined,
): number {
  return (account?.priority ?? route.priority) * ROUTE_RANKS + route.priority;
}
