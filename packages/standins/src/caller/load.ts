/**
 * Load of a steady rate: requests begin whether or not earlier ones have
 * ended, as with people who know nothing of each other.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Caller } from "./caller.ts";
import type { RequestKind } from "./request_kind.ts";

/** What is sent and how fast. */
export interface LoadOptions {
  readonly mix: readonly RequestKind[];
  readonly perSecond: number;
  /** Number of names that the callers use. */
  readonly names: number;
  readonly seed: number;
}

const TICK_MS = 20;

/** Sends a mix of requests until it is stopped. */
export class Load {
  readonly #caller: Caller;
  readonly #options: LoadOptions;
  readonly #generator;
  readonly #open = new Set<Promise<unknown>>();
  #timer: NodeJS.Timeout | undefined;
  #due = 0;
  #lastAt = 0;

  constructor(caller: Caller, options: LoadOptions) {
    this.#caller = caller;
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  start(): void {
    this.#lastAt = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Begins no more requests and waits for those that are open. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
  }

  #tick(): void {
    const now = performance.now();
    this.#due += (now - this.#lastAt) / 1_000 * this.#options.perSecond;
    this.#lastAt = now;
    for (; this.#due >= 1; this.#due--) {
      this.#begin();
    }
  }

  #begin(): void {
    const name = Math.floor(this.#random() * this.#options.names);
    const sent = this.#caller
      .send(this.#pick(), { caller: `caller-${name}` })
      .finally(() => this.#open.delete(sent));
    this.#open.add(sent);
  }

  #pick(): RequestKind {
    const { mix } = this.#options;
    const total = mix.reduce((sum, { weight }) => sum + weight, 0);
    let left = this.#random() * total;
    for (const kind of mix) {
      left -= kind.weight;
      if (left < 0) {
        return kind;
      }
    }
    return mix[mix.length - 1]!;
  }

  #random(): number {
    return uniformFloat64(this.#generator);
  }
}
