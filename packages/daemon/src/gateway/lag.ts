/**
 * How far a VM is behind what other VMs have read, and what it does about that.
 *
 * A relay or the store may be slow rather than lost: on a narrow link, a large change
 * takes longer than it takes peers to name it.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** What a VM does that lacks a change which peers have. */
export type LagStep =
  /** Its source is at work. */
  | "wait"
  /** Asks the relay on a new connection: the open one may be silent. */
  | "ask-again"
  /** Calls the store again, or leaves the relay. */
  | "start-over";

/** Time for which a response of the relay shows that it is alive. */
const RELAY_ALIVE_MS = 500;
/** Longest time for which a relay is kept that responds, but brings nothing. */
const RELAY_PATIENCE_MS = 1_000;
/**
 * A call of the store that is older than this may wait on a silent connection: it is many
 * times the usual response time. It doubles with each call that is given up in vain, since
 * a slow store would never get to respond.
 */
const MIN_STORE_PATIENCE_MS = 300;
const MAX_STORE_PATIENCE_MS = 2_400;

/** The situation of a VM that lacks a change. */
export interface LagState {
  readonly now: number;
  /** Whether a response is arriving. */
  readonly isArriving: boolean;
  /** The relay that is being asked; undefined if it is the store. */
  readonly relay: VmId | undefined;
  /** When the pending call was made. */
  readonly calledAt: number;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Lag {
  /** The oldest version that peers have named and this VM lacks, and since when. */
  #missing: { readonly version: number; readonly since: number } | undefined;
  /** Since when nothing has arrived. */
  #stuckSince = -Infinity;
  /** The relay that was last asked on a new connection, and when. */
  #asked: { readonly relay: VmId; readonly at: number } | undefined;
  #storePatienceMs = MIN_STORE_PATIENCE_MS;

  /** The oldest version that peers have named and this VM lacks, and since when. */
  get missing():
    | { readonly version: number; readonly since: number }
    | undefined {
    return this.#missing;
  }

  /** A peer has named a version that this VM lacks. */
  missed(version: number, now: number): void {
    if (this.#missing === undefined) {
      this.#missing = { version, since: now };
      this.#stuckSince = now;
    }
  }

  /** The source has made progress with what this VM lacks. */
  progressed(now: number): void {
    this.#stuckSince = now;
  }

  /** Rows up to `version` have arrived. Returns for how long one was missing, 0 if none was. */
  arrived(version: number, now: number): number {
    this.#stuckSince = now;
    this.#storePatienceMs = MIN_STORE_PATIENCE_MS;
    const missing = this.#missing;
    if (missing === undefined || version < missing.version) {
      return 0;
    }
    this.#missing = undefined;
    return now - missing.since;
  }

  /** Nothing is missing: peers' versions are those of another history, or none that the store has. */
  reset(): void {
    this.#missing = undefined;
    this.#storePatienceMs = MIN_STORE_PATIENCE_MS;
  }

  nextStep({ now, isArriving, relay, calledAt }: LagState): LagStep {
    if (isArriving) {
      return "wait";
    }
    if (relay === undefined) {
      return this.#nextStoreStep(now - calledAt);
    }
    if (now - this.#stuckSince > RELAY_PATIENCE_MS) {
      return "start-over";
    }
    const asked = this.#asked;
    if (asked?.relay === relay && now - asked.at < RELAY_ALIVE_MS) {
      return "wait";
    }
    this.#asked = { relay, at: now };
    return "ask-again";
  }

  #nextStoreStep(calledMs: number): LagStep {
    if (calledMs < this.#storePatienceMs) {
      return "wait";
    }
    this.#storePatienceMs = Math.min(
      MAX_STORE_PATIENCE_MS,
      2 * this.#storePatienceMs,
    );
    return "start-over";
  }
}
