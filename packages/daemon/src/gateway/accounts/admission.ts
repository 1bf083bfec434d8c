/**
 * Who may have a request run: decided before the request waits for a target, and
 * looked at again whenever it is about to be sent.
 *
 * @module
 */

import type { AccountId, RegionId } from "@poplarthread/ids";
import {
  type AccountIndex,
  type CallerIdentity,
  type ClientAccount,
  rankOf,
} from "./client_account.ts";
import type { Route } from "../configuration.ts";
import type { Credit } from "./credit_exchange.ts";
import type { OwnAnswerReason } from "../own_answer.ts";
import type { CallerRequest } from "../ports.ts";

/** Retry-After while this VM does not know which keys are valid, in milliseconds: a read of the store, or of a peer's news, takes some 10 to 200. */
const ACCOUNTS_UNKNOWN_RETRY_MS = 250;

/** Why a request is not let in. */
export interface AdmissionRefusal {
  readonly reason: OwnAnswerReason;
  readonly retryAfterMs: number | undefined;
}

/** A request that is let in. */
export interface AdmittedCaller {
  /** Undefined where nobody asks who sends it. */
  readonly account: AccountId | undefined;
  /** Rank among requests that wait; lower ones go first. */
  readonly rank: number;
  /** Regions in which it may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** Why it must not be sent any more; undefined while it may. */
  recheck(): AdmissionRefusal | undefined;
  /**
   * Counts it for its account's quota, and tells why it may not run, or undefined if
   * it may. Called once, perhaps before it returns.
   */
  count(done: (refusal: AdmissionRefusal | undefined) => void): void;
  /** It was counted, and never ran. */
  uncount(): void;
}

/** A decision. */
export type Admission =
  | { readonly kind: "admitted"; readonly caller: AdmittedCaller }
  | { readonly kind: "refused"; readonly refusal: AdmissionRefusal };

/** What admission works with. */
export interface AdmissionOptions {
  /** The accounts in force; undefined where callers need none. */
  accounts(): AccountIndex | undefined;
  /** Whether this VM surely knows of every key that was taken away longer ago than allowed. */
  knowsRevocations(): boolean;
  /** Asks for the credit of one request of an account that has a quota. */
  requestCredit(account: AccountId, done: (credit: Credit) => void): void;
  /** A request that was granted credit did not run. */
  giveBackCredit(account: AccountId): void;
}

/** See the module's comment. */
export class AdmissionControl {
  readonly #options: AdmissionOptions;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Whether a request on `route` is let in. */
  admit(request: CallerRequest, route: Route): Admission {
    const identity = this.#identify(request, route);
    if (identity.kind === "anonymous") {
      return { kind: "admitted", caller: anonymous(route) };
    }
    // An old list neither proves that a key is valid nor that it is not.
    if (!this.#options.knowsRevocations()) {
      return refused("accounts-unknown", ACCOUNTS_UNKNOWN_RETRY_MS);
    }
    switch (identity.kind) {
      case "refused":
        return refused(identity.reason);
      case "known":
        return {
          kind: "admitted",
          caller: this.#known(identity, route),
        };
    }
  }

  #identify(
    { credential }: CallerRequest,
    route: Route,
  ): CallerIdentity {
    const accounts = this.#options.accounts();
    return accounts === undefined
      ? { kind: "anonymous", regions: route.regions }
      : accounts.identify(credential, route);
  }

  #known(
    { account, key, regions }: Extract<CallerIdentity, { kind: "known" }>,
    route: Route,
  ): AdmittedCaller {
    return {
      account: account.id,
      rank: rankOf(route, account),
      regions,
      recheck: () => {
        if (!this.#options.knowsRevocations()) {
          return refusal("accounts-unknown", ACCOUNTS_UNKNOWN_RETRY_MS);
        }
        const holder = this.#options.accounts()?.holderOf(key);
        return holder?.id === account.id
          ? undefined
          : refusal("unauthenticated");
      },
      count: (done) => this.#count(account, done),
      uncount: () => {
        if (account.quota !== undefined) {
          this.#options.giveBackCredit(account.id);
        }
      },
    };
  }

  #count(
    { id, quota }: ClientAccount,
    done: (refusal: AdmissionRefusal | undefined) => void,
  ): void {
    if (quota === undefined) {
      done(undefined);
      return;
    }
    this.#options.requestCredit(id, (credit) => done(refusalFor(credit)));
  }
}

function refusalFor(credit: Credit): AdmissionRefusal | undefined {
  switch (credit.kind) {
    case "granted":
      return undefined;
    case "used-up":
      return refusal("over-quota", credit.readyInMs);
    case "unknown":
      return refusal("accounts-unknown", ACCOUNTS_UNKNOWN_RETRY_MS);
  }
}

/** A caller that nobody asks for a key. */
export function anonymous(route: Route): AdmittedCaller {
  return {
    account: undefined,
    rank: rankOf(route, undefined),
    regions: route.regions,
    recheck: () => undefined,
    count: (done) => done(undefined),
    uncount: () => undefined,
  };
}

function refused(reason: OwnAnswerReason, retryAfterMs?: number): Admission {
  return { kind: "refused", refusal: refusal(reason, retryAfterMs) };
}

function refusal(
  reason: OwnAnswerReason,
  retryAfterMs?: number,
): AdmissionRefusal {
  return { reason, retryAfterMs };
}
