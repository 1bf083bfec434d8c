/**
 * A caller's side of the look-up: asks any entry VM which ones to use, and
 * caches the answer for its lifetime.
 *
 * @module
 */

import type { Dispatcher } from "undici";

/** Path of the look-up. */
export const LOOKUP_PATH = "/.well-known/poplarthread/lookup";

/** What the cache needs of whoever has the connections. */
export interface LookupOptions {
  /** Addresses that callers know from the start, `host:port`. */
  readonly bootstrap: readonly string[];
  readonly dispatcherOf: (address: string) => Dispatcher;
  /** Told each time a VM answers a look-up. */
  readonly onLookup: () => void;
}

/** An answer and until when it may be used. */
interface Cached {
  readonly addresses: readonly string[];
  readonly until: number;
}

const LOOKUP_TIMEOUT_MS = 3_000;

/** Caches the ranked entry VMs. */
export class LookupCache {
  readonly #options: LookupOptions;
  #cached: Cached | undefined;
  #pending: Promise<readonly string[]> | undefined;

  constructor(options: LookupOptions) {
    this.#options = options;
  }

  /** Addresses of entry VMs, best first; falls back to what is known when none answers. */
  async addresses(): Promise<readonly string[]> {
    if (this.#cached !== undefined && performance.now() < this.#cached.until) {
      return this.#cached.addresses;
    }
    this.#pending ??= this.#ask().finally(() => this.#pending = undefined);
    return await this.#pending;
  }

  async #ask(): Promise<readonly string[]> {
    const known = [
      ...this.#cached?.addresses ?? [],
      ...this.#options.bootstrap,
    ];
    for (const address of new Set(known)) {
      const answer = await this.#askOne(address);
      if (answer !== undefined) {
        this.#options.onLookup();
        this.#cached = answer;
        return answer.addresses;
      }
    }
    return known;
  }

  async #askOne(address: string): Promise<Cached | undefined> {
    // The lifetime counts from before the question: by the VM's clock it began no later.
    const askedAt = performance.now();
    try {
      const res = await this.#options.dispatcherOf(address).request({
        origin: undefined,
        path: LOOKUP_PATH,
        method: "GET",
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      const body = await res.body.json() as LookupBody;
      const addresses = body.vms.map((vm) => vm.address ?? vm.caller ?? "");
      return res.statusCode === 200 && addresses.length > 0
        ? { addresses, until: askedAt + body.lifetimeMs }
        : undefined;
    } catch {
      // A VM that is gone, freezing or starting: the next one is asked.
      return undefined;
    }
  }
}

/** The look-up's answer, as far as a caller needs it. */
interface LookupBody {
  readonly lifetimeMs: number;
  readonly vms: readonly {
    readonly address?: string;
    readonly caller?: string;
  }[];
}
