/**
 * News of requests that may have crashed targets, between VMs.
 *
 * @module
 */

import type { SuspectedCrash } from "./crash_suspects.ts";

/** Crashes that one datagram tells of; it stays below 1,400 bytes. */
const MOST_CRASHES = 8;
/** How long a crash is told of, in milliseconds: some heartbeats, as single ones are lost. */
const CRASH_NEWS_MS = 5_000;

/**
 * Crashes to tell of, each for a while only. Told of for ever, they would count
 * anew with each heartbeat, and a request that met three of them would be held
 * back for good.
 */
export class CrashNews {
  #crashes: readonly { crash: SuspectedCrash; until: number }[] = [];

  add(crash: SuspectedCrash): void {
    const isKnown = this.#crashes.some((known) =>
      known.crash.digest === crash.digest && known.crash.target === crash.target
    );
    if (!isKnown) {
      const until = performance.now() + CRASH_NEWS_MS;
      this.#crashes = [...this.#crashes, { crash, until }].slice(-MOST_CRASHES);
    }
  }

  current(): readonly SuspectedCrash[] {
    const now = performance.now();
    this.#crashes = this.#crashes.filter(({ until }) => now < until);
    return this.#crashes.map(({ crash }) => crash);
  }
}
