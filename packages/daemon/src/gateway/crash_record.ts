/**
 * Records requests that crash targets in the platform's store. VMs tell each other of
 * them in datagrams; those that do not hear each other read it there.
 *
 * @module
 */

import type { HeldBackReport } from "@poplarthread/coordination/held_back";
import { messageOf } from "../errors.ts";
import type { EventLog } from "./events.ts";

/** Shortest time between two writes: crashes that come together cost one call. */
const WRITE_INTERVAL_MS = 1_000;
/** Longest pause after a failed write; it doubles with each, as the store bills the calls that it refuses. */
const MAX_RETRY_MS = 8_000;

/** Options of {@link CrashRecord}. */
export interface CrashRecordOptions {
  /** What the store should hold of this VM. */
  reports(now: number): readonly HeldBackReport[];
  /** Replaces what the store holds of this VM. */
  write(reports: readonly HeldBackReport[]): Promise<void>;
  readonly log: EventLog;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class CrashRecord {
  readonly #options: CrashRecordOptions;
  /** The contents of the latest write. */
  #written = contentsOf([]);
  #isWriting = false;
  #dueAt = -Infinity;
  #retryMs = WRITE_INTERVAL_MS;

  constructor(options: CrashRecordOptions) {
    this.#options = options;
  }

  /** Writes what has changed. Must be called regularly. */
  tick(now: number): void {
    if (this.#isWriting || now < this.#dueAt) {
      return;
    }
    const reports = this.#options.reports(now);
    const contents = contentsOf(reports);
    if (reports.length > 0 && contents !== this.#written) {
      void this.#write(reports, contents);
    }
  }

  async #write(
    reports: readonly HeldBackReport[],
    contents: string,
  ): Promise<void> {
    const { write, log } = this.#options;
    this.#isWriting = true;
    try {
      await write(reports);
      this.#written = contents;
      this.#retryMs = WRITE_INTERVAL_MS;
      log.write("crashes recorded", { suspects: reports.length });
    } catch (err) {
      log.write("crashes not recorded", { reason: messageOf(err) });
      this.#retryMs = Math.min(2 * this.#retryMs, MAX_RETRY_MS);
    }
    this.#isWriting = false;
    this.#dueAt = performance.now() + this.#retryMs;
  }
}

/** What this VM alone can tell: ages only grow, and the number of all crashes follows from all VMs' records. */
function contentsOf(reports: readonly HeldBackReport[]): string {
  return JSON.stringify(reports.map(({ fingerprint, crashes }) => [
    fingerprint,
    ...crashes.map(({ run }) => run),
  ]));
}
