/**
 * What this VM does about client accounts: which keys it may rely on, and credit for
 * their requests.
 *
 * @module
 */

import { isReliable } from "@poplarthread/coordination/freshness";
import type { AccountId } from "@poplarthread/ids";
import type { CallerRequest } from "../ports.ts";
import type { GatewaySettings } from "../settings.ts";
import type { VmDirectory } from "../vm_directory.ts";
import type { AccountIndex } from "./client_account.ts";
import { type Credit, CreditExchange } from "./credit_exchange.ts";
import { CreditLedger } from "./credit_ledger.ts";

/** How much earlier than allowed a VM stops relying on the keys that it knows, in milliseconds: a store that loses its history may tell of changes a second late. */
const REVOCATION_MARGIN_MS = 1_200;
/** Characters of a key's digest in the log: enough to tell keys apart. */
const KEY_DIGITS = 8;

/** What it works with. */
export interface AccountsOptions {
  readonly settings: GatewaySettings;
  readonly vms: VmDirectory;
  /** The accounts in force; undefined where callers need none. */
  index(): AccountIndex | undefined;
  /** Time since the reading of the store began that gave what is known of the configuration, in milliseconds. */
  readAgeMs(): number;
}

/** See the module's comment. */
export class Accounts {
  /** The task that asks for credit and gives it; its owner supervises it. */
  readonly credit: CreditExchange;
  readonly #options: AccountsOptions;
  readonly #ledger: CreditLedger;
  /** From then on there may have been a newer configuration than the one in force, which could not be used. */
  #unusableSince: number | undefined;

  constructor(options: AccountsOptions) {
    const { settings, vms, index } = options;
    const { listen, zones, bounds } = settings;
    const upInRegion = () => vms.upInRegion(performance.now());
    this.#options = options;
    this.#ledger = new CreditLedger({
      self: vms.self,
      bound: bounds.quotas,
      regions: new Set(zones.values()).size,
      upInRegion,
      knownInRegion: () => vms.knownInRegion(performance.now()),
      quotaOf: (account) => index()?.named(account)?.quota,
      short: (account, wanted) => this.credit.borrow(account, wanted),
    });
    this.credit = new CreditExchange({
      listen: listen.credit,
      self: vms.self,
      ledger: this.#ledger,
      upInRegion,
      otherRegions: () => vms.upInOtherRegions(performance.now()),
    });
  }

  /** Age of what is in force here of the accounts, in milliseconds. */
  get ageMs(): number {
    const readAgeMs = this.#options.readAgeMs();
    return this.#unusableSince === undefined
      ? readAgeMs
      : Math.max(readAgeMs, performance.now() - this.#unusableSince);
  }

  /** Whether this VM knows of every key that was taken away longer ago than the deployment allows. */
  knowsRevocations(): boolean {
    const { revocationMs } = this.#options.settings.bounds;
    return revocationMs === undefined ||
      isReliable(this.ageMs, revocationMs - REVOCATION_MARGIN_MS);
  }

  /** Asks for the credit of one request; `done` is called once, perhaps before this returns. */
  requestCredit(account: AccountId, done: (credit: Credit) => void): void {
    this.credit.request(account, done);
  }

  /** A request that was granted credit did not run. */
  giveBackCredit(account: AccountId): void {
    this.credit.giveBack(account);
  }

  /** A configuration is in force. */
  configured(): void {
    this.#unusableSince = undefined;
    this.#ledger.keepOnly(this.#options.index()?.ids ?? new Set());
  }

  /** A newer configuration than the one in force cannot be used. */
  misconfigured(): void {
    this.#unusableSince ??= performance.now() - this.ageMs;
  }

  /** What the log says of who sent a request that was refused. */
  fieldsOf(
    request: CallerRequest | undefined,
  ): { readonly key?: string; readonly accountsMs?: number } {
    if (request?.credential.kind !== "key") {
      return {};
    }
    return {
      key: request.credential.digest.slice(0, KEY_DIGITS),
      accountsMs: Math.round(this.ageMs),
    };
  }
}
