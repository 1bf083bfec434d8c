/**
 * Crash reports between VMs: requests that may have crashed targets.
 *
 * @module
 */

import type { SuspectedCrash } from "./crash_suspects.ts";

/** Limited so that a datagram stays below 1,400 bytes. */
const MAX_CRASHES_PER_HEARTBEAT = 8;
/** How long a crash is reported: several heartbeats, since single ones get lost. */
const CRASH_REPORT_PERIOD_MS = 5_000;

/**
 * The crashes to report, each for a limited time. Reported for ever, they would count
 * again with each heartbeat, and a request that coincided with three crashes would be
 * held back permanently.
 */
export class CrashReports {
  #crashes: readonly { crash: SuspectedCrash; until: number }[] = [];

  add(crash: SuspectedCrash): void {
    const isKnown = this.#crashes.some((known) =>
      known.crash.digest === crash.digest && known.crash.target === crash.target
    );
    if (!isKnown) {
      const until = performance.now() + CRASH_REPORT_PERIOD_MS;
      this.#crashes = [...this.#crashes, { crash, until }].slice(
        -MAX_CRASHES_PER_HEARTBEAT,
      );
    }
  }

  /** Crashes to report now. */
  current(): readonly SuspectedCrash[] {
    const now = performance.now();
    this.#crashes = this.#crashes.filter(({ until }) => now < until);
    return this.#crashes.map(({ crash }) => crash);
  }
}
