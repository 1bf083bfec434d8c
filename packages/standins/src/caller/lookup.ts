/**
 * The caller's side of the look-up: asks any entry VM which ones to use, and
 * caches the response for its lifetime.
 *
 * @module
 */

import type { Dispatcher } from "undici";

/** Path of the look-up. */
export const LOOKUP_PATH = "/.well-known/poplarthread/lookup";

/** Options of a {@link LookupCache}. */
export interface LookupOptions {
  /** Addresses for the first look-up, `host:port`. */
  readonly bootstrap: readonly string[];
  readonly dispatcherOf: (address: string) => Dispatcher;
  /** Called after each successful look-up. */
  readonly onLookup: () => void;
}

/** The result of a look-up and its expiry time. */
interface Cached {
  readonly addresses: readonly string[];
  readonly expiresAt: number;
}

const LOOKUP_TIMEOUT_MS = 3_000;

/** Caches the addresses of entry VMs in the order in which to use them. */
export class LookupCache {
  readonly #options: LookupOptions;
  #cached: Cached | undefined;
  #pending: Promise<readonly string[]> | undefined;

  constructor(options: LookupOptions) {
    this.#options = options;
  }

  /** Returns the addresses of entry VMs, best first; all known ones if no look-up succeeds. */
  async addresses(): Promise<readonly string[]> {
    if (
      this.#cached !== undefined && performance.now() < this.#cached.expiresAt
    ) {
      return this.#cached.addresses;
    }
    this.#pending ??= this.#lookUp().finally(() => this.#pending = undefined);
    return await this.#pending;
  }

  async #lookUp(): Promise<readonly string[]> {
    const candidates = [
      ...this.#cached?.addresses ?? [],
      ...this.#options.bootstrap,
    ];
    for (const address of new Set(candidates)) {
      const found = await this.#lookUpAt(address);
      if (found !== undefined) {
        this.#options.onLookup();
        this.#cached = found;
        return found.addresses;
      }
    }
    return candidates;
  }

  async #lookUpAt(address: string): Promise<Cached | undefined> {
    // Counted from before the request is sent, so the entry expires here no later than on the VM.
    const sentAt = performance.now();
    try {
      const res = await this.#options.dispatcherOf(address).request({
        origin: undefined,
        path: LOOKUP_PATH,
        method: "GET",
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      const body = await res.body.json() as LookupResponse;
      const addresses = body.vms.map((vm) => vm.address ?? vm.caller ?? "");
      return res.statusCode === 200 && addresses.length > 0
        ? { addresses, expiresAt: sentAt + body.lifetimeMs }
        : undefined;
    } catch {
      // The VM is down, frozen or starting: the next one is tried.
      return undefined;
    }
  }
}

/** The fields of the look-up response that a caller needs. */
interface LookupResponse {
  readonly lifetimeMs: number;
  readonly vms: readonly {
    readonly address?: string;
    readonly caller?: string;
  }[];
}
