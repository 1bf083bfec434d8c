/**
 * How old a copy of the store's rows is.
 *
 * @module
 */

import {
  knownSinceRead,
  laterKnownSince,
  type TableRead,
} from "@poplarthread/coordination/freshness";
import { SuspensionWatch } from "./suspension_watch.ts";

/** Age of rows that the store has never confirmed: far above every age that counts as fresh. */
const NEVER_CONFIRMED_AGE_MS = 3_600_000;

/** See the module comment. */
export class RowsAge {
  readonly #suspension = new SuspensionWatch();
  /** The rows are complete up to this time, on the clock of {@link steadyNow}. */
  #knownSince = performance.now() - NEVER_CONFIRMED_AGE_MS;
  #confirmedAt = performance.now() - NEVER_CONFIRMED_AGE_MS;

  /** The monotonic clock plus the time for which this VM was suspended. */
  get steadyNow(): number {
    return performance.now() + this.#suspension.suspendedMs;
  }

  /** When the store last confirmed that no change is missing, on the monotonic clock. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Whether the store has ever confirmed the rows. */
  get isConfirmed(): boolean {
    return this.unconfirmedMs < NEVER_CONFIRMED_AGE_MS;
  }

  /** Time since then, in milliseconds. */
  get unconfirmedMs(): number {
    return performance.now() - this.#confirmedAt;
  }

  /** Up to when the rows are complete, on the clock of {@link steadyNow}. */
  get knownSince(): number {
    return this.#knownSince;
  }

  /** Time since the start of the read that gave the rows; time at relays and suspensions of this VM count. */
  get readAgeMs(): number {
    return this.steadyNow - this.#knownSince;
  }

  /** The store has confirmed the rows. */
  confirmed(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** The store was read, by this VM or its relay; times on the clock of {@link steadyNow}. */
  read(read: TableRead): void {
    this.#knownSince = laterKnownSince(this.#knownSince, knownSinceRead(read));
  }
}
