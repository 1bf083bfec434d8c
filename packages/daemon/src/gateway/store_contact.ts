/**
 * Whether the store responds, to this VM or to its relay, and when it is called again.
 *
 * @module
 */

import type { SubjectListener } from "./subject_listener.ts";

/** Bounds of the pause after a failed call, which doubles each time: the store bills the calls that it refuses, too. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;
/**
 * A VM that has lost the store calls it again after this time even if other VMs respond:
 * if all have lost it, none of them can report its return. A VM with relays calls less
 * often, because the first relay calls the store on its behalf.
 */
const STORE_RETRY_MS = 1_000;
const STORE_RETRY_WITH_RELAYS_MS = 3_000;
/** How long other VMs must know of a store's return: expired entries are back within two seconds. */
const RECENT_RECOVERY_MS = 2_000;
/** Reports of the same return of the store differ by less than this. */
const SAME_RECOVERY_TOLERANCE_MS = 1_000;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class StoreContact {
  readonly #listener: Pick<SubjectListener, "connectivityChanged">;
  #isLost = false;
  #lostAt = -Infinity;
  #restoredAt = -Infinity;
  /** When this VM itself last called the store. */
  #calledAt = -Infinity;
  /** Another VM was queried since then. */
  #hasQueriedOthers = false;
  #retryMs = MIN_RETRY_MS;

  constructor(listener: Pick<SubjectListener, "connectivityChanged">) {
    this.#listener = listener;
  }

  /** Neither the store nor a relay responds. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** When the store was last lost. */
  get lostAt(): number {
    return this.#lostAt;
  }

  /** When the store was last restored, for this VM or its relay. */
  get restoredAt(): number {
    return this.#restoredAt;
  }

  /** When this VM itself last called the store. */
  get calledAt(): number {
    return this.#calledAt;
  }

  /** Whether the lost store must be called again although other VMs could be queried. */
  isRetryDue(now: number, { hasRelays }: { hasRelays: boolean }): boolean {
    if (!this.#isLost || !this.#hasQueriedOthers) {
      return false;
    }
    const afterMs = hasRelays ? STORE_RETRY_WITH_RELAYS_MS : STORE_RETRY_MS;
    return now >= this.#calledAt + afterMs;
  }

  /** The store is called. */
  called(now: number): void {
    this.#hasQueriedOthers = false;
    this.#calledAt = now;
  }

  /** Another VM is queried in place of the store. */
  queriedOther(): void {
    this.#hasQueriedOthers = true;
  }

  /** Neither the store nor a relay responds. Returns whether that is news. */
  failed(reason: string): boolean {
    if (this.#isLost) {
      return false;
    }
    this.#isLost = true;
    this.#lostAt = performance.now();
    this.#listener.connectivityChanged(true, reason);
    return true;
  }

  /**
   * The store responds. Must be called before rows are applied: the listener has to know
   * of the store's return first, because rows that are missing right after it may have
   * merely expired.
   */
  regained(): void {
    this.#retryMs = MIN_RETRY_MS;
    if (this.#isLost) {
      this.#isLost = false;
      this.#restoredAt = performance.now();
      this.#listener.connectivityChanged(false);
    }
  }

  /** The store was restored from a copy. */
  storeRestored(): void {
    this.#restoredAt = performance.now();
  }

  /**
   * A relay that had lost the store passes on removals of entries that merely expired
   * during the outage. The receiver must know that they came right after an outage, or
   * it would remove targets that are alive.
   */
  relayRegained(regainedMs: number | undefined, now: number): void {
    if (regainedMs === undefined || regainedMs > RECENT_RECOVERY_MS) {
      return;
    }
    const restoredAt = now - regainedMs;
    if (
      !this.#isLost &&
      restoredAt > this.#restoredAt + SAME_RECOVERY_TOLERANCE_MS
    ) {
      this.#restoredAt = restoredAt;
      this.#listener.connectivityChanged(true, "the relay had lost the store");
      this.#listener.connectivityChanged(false);
    }
  }

  /** The pause before the next call after a failed one. */
  nextRetryMs(): number {
    const jittered = this.#retryMs * (0.5 + Math.random());
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
    return jittered;
  }
}
