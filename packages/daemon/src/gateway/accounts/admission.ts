/**
 * Admission control: decides which callers may run a request. The decision is made
 * before the request waits for a target and checked again before each send.
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
import type { CreditOutcome } from "./credit_exchange.ts";
import type { LocalReplyReason } from "../local_reply.ts";
import type { CallerRequest } from "../ports.ts";

/** Retry-After while this VM does not know which keys are valid: reading the store, or the changes that a peer relays, takes about 10 to 200 ms. */
const ACCOUNTS_UNKNOWN_RETRY_MS = 250;

/** Why a request is refused. */
export interface AdmissionRefusal {
  readonly reason: LocalReplyReason;
  readonly retryAfterMs: number | undefined;
}

/** An admitted caller of one request. */
export interface AdmittedCaller {
  /** Undefined for anonymous requests. */
  readonly account: AccountId | undefined;
  /** Rank in the wait queue; lower ranks go first. */
  readonly rank: number;
  /** Regions in which the request may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** Checks again before a send; returns the refusal, or undefined if the request may still be sent. */
  recheck(): AdmissionRefusal | undefined;
  /**
   * Charges the request to its account's quota. Calls `done` once, possibly
   * synchronously, with the refusal, or undefined if the request may run.
   */
  chargeQuota(done: (refusal: AdmissionRefusal | undefined) => void): void;
  /** Refunds the charge of a request that never ran. */
  refundQuota(): void;
}

/** An admission decision. */
export type Admission =
  | { readonly kind: "admitted"; readonly caller: AdmittedCaller }
  | { readonly kind: "refused"; readonly refusal: AdmissionRefusal };

/** Dependencies of {@link AdmissionControl}. */
export interface AdmissionOptions {
  /** The accounts in force; undefined where callers need no account. */
  accounts(): AccountIndex | undefined;
  /** Whether this VM knows of every key revoked longer ago than the deployment's revocation bound. */
  knowsRevocations(): boolean;
  /** Requests the credit for one request of an account that has a quota. */
  requestCredit(
    account: AccountId,
    done: (credit: CreditOutcome) => void,
  ): void;
  /** Refunds the credit of a request that did not run. */
  refundCredit(account: AccountId): void;
}

/** Decides which requests are admitted; see the module comment. */
export class AdmissionControl {
  readonly #options: AdmissionOptions;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Decides whether a request on `route` is admitted. */
  admit(request: CallerRequest, route: Route): Admission {
    const identity = this.#identify(request, route);
    if (identity.kind === "anonymous") {
      return { kind: "admitted", caller: anonymousCaller(route) };
    }
    // A stale list of keys proves neither that a key is valid nor that it is invalid.
    if (!this.#options.knowsRevocations()) {
      return refused("accounts-unknown", ACCOUNTS_UNKNOWN_RETRY_MS);
    }
    switch (identity.kind) {
      case "refused":
        return refused(
          identity.reason,
          identity.reason === "accounts-unknown"
            ? ACCOUNTS_UNKNOWN_RETRY_MS
            : undefined,
        );
      case "known":
        return {
          kind: "admitted",
          caller: this.#admitAccount(identity, route),
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

  #admitAccount(
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
      chargeQuota: (done) => this.#chargeQuota(account, done),
      refundQuota: () => {
        if (account.quota !== undefined) {
          this.#options.refundCredit(account.id);
        }
      },
    };
  }

  #chargeQuota(
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

function refusalFor(credit: CreditOutcome): AdmissionRefusal | undefined {
  switch (credit.kind) {
    case "granted":
      return undefined;
    case "used-up":
      return refusal("over-quota", credit.readyInMs);
    case "unknown":
      return refusal("accounts-unknown", ACCOUNTS_UNKNOWN_RETRY_MS);
  }
}

/** The caller of a request that needs no key. */
export function anonymousCaller(route: Route): AdmittedCaller {
  return {
    account: undefined,
    rank: rankOf(route, undefined),
    regions: route.regions,
    recheck: () => undefined,
    chargeQuota: (done) => done(undefined),
    refundQuota: () => undefined,
  };
}

/** The caller of a request that another VM has counted against the account's quota. */
export function withoutQuota(caller: AdmittedCaller): AdmittedCaller {
  return {
    ...caller,
    chargeQuota: (done) => done(undefined),
    refundQuota: () => undefined,
  };
}

function refused(reason: LocalReplyReason, retryAfterMs?: number): Admission {
  return { kind: "refused", refusal: refusal(reason, retryAfterMs) };
}

function refusal(
  reason: LocalReplyReason,
  retryAfterMs?: number,
): AdmissionRefusal {
  return { reason, retryAfterMs };
}
