/**
 * Open-loop load at a constant rate: requests start whether or not earlier ones
 * have ended, as with independent callers.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Caller } from "./caller.ts";
import type { RequestKind } from "./request_kind.ts";

/** The requests to send and their rate. */
export interface LoadOptions {
  readonly mix: readonly RequestKind[];
  readonly perSecond: number;
  /** Number of distinct caller names. */
  readonly names: number;
  readonly seed: number;
}

const TICK_MS = 20;

/** Sends a mix of requests until stopped. */
export class LoadGenerator {
  readonly #caller: Caller;
  readonly #options: LoadOptions;
  readonly #generator;
  readonly #pending = new Set<Promise<unknown>>();
  #timer: NodeJS.Timeout | undefined;
  #dueCount = 0;
  #lastTickAt = 0;

  constructor(caller: Caller, options: LoadOptions) {
    this.#caller = caller;
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  start(): void {
    this.#lastTickAt = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Stops sending and waits for open requests. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
  }

  #tick(): void {
    const now = performance.now();
    this.#dueCount += (now - this.#lastTickAt) / 1_000 *
      this.#options.perSecond;
    this.#lastTickAt = now;
    for (; this.#dueCount >= 1; this.#dueCount--) {
      this.#sendOne();
    }
  }

  #sendOne(): void {
    const name = Math.floor(this.#random() * this.#options.names);
    const sent = this.#caller
      .send(this.#pickKind(), { caller: `caller-${name}` })
      .finally(() => this.#pending.delete(sent));
    this.#pending.add(sent);
  }

  #pickKind(): RequestKind {
    const { mix } = this.#options;
    const total = mix.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = this.#random() * total;
    for (const kind of mix) {
      remaining -= kind.weight;
      if (remaining < 0) {
        return kind;
      }
    }
    return mix[mix.length - 1]!;
  }

  #random(): number {
    return uniformFloat64(this.#generator);
  }
}
