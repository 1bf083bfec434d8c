/**
 * Client accounts on this VM: whether its list of keys is recent enough to
 * authenticate callers, and quota credit for their requests.
 *
 * @module
 */

import { isReliable } from "@poplarthread/coordination/freshness";
import type { AccountId } from "@poplarthread/ids";
import type { CallerRequest } from "../ports.ts";
import type { GatewaySettings } from "../settings.ts";
import type { VmDirectory } from "../vm_directory.ts";
import type { AccountIndex } from "./client_account.ts";
import { CreditExchange, type CreditOutcome } from "./credit_exchange.ts";
import { CreditLedger } from "./credit_ledger.ts";

/** Safety margin by which a VM stops using its list of keys before the revocation bound: a store that loses its history may deliver changes a second late. */
const REVOCATION_MARGIN_MS = 1_200;
/** Characters of a key's digest that are logged: enough to distinguish keys. */
const LOGGED_DIGEST_LENGTH = 8;

/** Dependencies of {@link Accounts}. */
export interface AccountsOptions {
  readonly settings: GatewaySettings;
  readonly vms: VmDirectory;
  /** The accounts in force; undefined where callers need no account. */
  accounts(): AccountIndex | undefined;
  /** Time since the start of the store read that returned the configuration known here, in milliseconds. */
  readAgeMs(): number;
}

/** Account state of this VM; see the module comment. */
export class Accounts {
  /** The task that requests and grants credit; the gateway's supervisor runs it. */
  readonly creditExchange: CreditExchange;
  readonly #options: AccountsOptions;
  readonly #ledger: CreditLedger;
  /** Time since which a newer, unusable configuration may exist; undefined while there is none. */
  #unusableSince: number | undefined;

  constructor(options: AccountsOptions) {
    const { settings, vms, accounts } = options;
    const { listen, zones, bounds } = settings;
    const upInRegion = () => vms.upInRegion(performance.now());
    this.#options = options;
    this.#ledger = new CreditLedger({
      self: vms.self,
      bound: bounds.quotas,
      regions: new Set(zones.values()).size,
      upInRegion,
      knownInRegion: () => vms.knownInRegion(performance.now()),
      quotaOf: (account) => accounts()?.get(account)?.quota,
      onShortage: (account, wanted) =>
        this.creditExchange.borrow(account, wanted),
    });
    this.creditExchange = new CreditExchange({
      listen: listen.credit,
      self: vms.self,
      ledger: this.#ledger,
      upInRegion,
      otherRegions: () => vms.upInOtherRegions(performance.now()),
    });
  }

  /** Age of the accounts in force on this VM, in milliseconds. */
  get ageMs(): number {
    const readAgeMs = this.#options.readAgeMs();
    return this.#unusableSince === undefined
      ? readAgeMs
      : Math.max(readAgeMs, performance.now() - this.#unusableSince);
  }

  /** Whether this VM knows of every key revoked longer ago than the deployment's revocation bound. */
  knowsRevocations(): boolean {
    const { revocationMs } = this.#options.settings.bounds;
    return revocationMs === undefined ||
      isReliable(this.ageMs, revocationMs - REVOCATION_MARGIN_MS);
  }

  /** Requests the credit for one request; calls `done` once, possibly synchronously. */
  requestCredit(
    account: AccountId,
    done: (credit: CreditOutcome) => void,
  ): void {
    this.creditExchange.request(account, done);
  }

  /** Refunds the credit of a request that did not run. */
  refundCredit(account: AccountId): void {
    this.creditExchange.refund(account);
  }

  /** Handles a new configuration in force. */
  configurationApplied(): void {
    this.#unusableSince = undefined;
    this.#ledger.retainOnly(this.#options.accounts()?.ids ?? new Set());
  }

  /** Handles a newer configuration that cannot be used. */
  configurationRejected(): void {
    this.#unusableSince ??= performance.now() - this.ageMs;
  }

  /** Log fields that identify the sender of a refused request. */
  logFieldsOf(
    request: CallerRequest | undefined,
  ): { readonly key?: string; readonly accountsMs?: number } {
    if (request?.credential.kind !== "key") {
      return {};
    }
    return {
      key: request.credential.digest.slice(0, LOGGED_DIGEST_LENGTH),
      accountsMs: Math.round(this.ageMs),
    };
  }
}
