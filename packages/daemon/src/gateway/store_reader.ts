/**
 * Reads one subject from the platform's store.
 *
 * @module
 */

import { ResponseTooLargeError } from "../json_exchange.ts";
import type { OpenCall } from "./open_calls.ts";
import {
  HistoryGoneError,
  type PlatformPort,
  type RowsPage,
  type StoredRow,
  type WatchedSubject,
} from "./ports.ts";
import type { ReadResult } from "./read_sink.ts";
import { MAX_ROWS_BYTES, RowsTooLargeError, sizeOf } from "./row_bounds.ts";
import type { RowsAge } from "./rows_age.ts";
import type { SubjectRows } from "./subject_rows.ts";

/** Most pages of a table: several times those of 10,000 targets, with 500 rows or 1 MB each. */
const MAX_PAGES = 100;

/** How the store is read. */
export interface StoreReadOptions {
  readonly call: OpenCall;
  /** Ends the call, unless its response has begun to arrive. */
  readonly signal: AbortSignal;
  /** Ends the call in any case. */
  readonly cancelSignal?: AbortSignal;
}

/** Options of a {@link StoreReader}. */
export interface StoreReaderOptions {
  readonly store: Pick<PlatformPort, "list" | "changes">;
  readonly rows: SubjectRows;
  readonly age: RowsAge;
  /** A response is not used because it belongs to another history than expected. */
  responseNotUsed(era: number): void;
}

/** See the module comment. */
export class StoreReader {
  readonly #subject: WatchedSubject;
  readonly #options: StoreReaderOptions;
  /** The history of the store's latest response if that was not used. */
  #unusedEra: number | undefined;

  constructor(subject: WatchedSubject, options: StoreReaderOptions) {
    this.#subject = subject;
    this.#options = options;
  }

  /**
   * The changes after the rows' position, or all rows if those are too large; rejects
   * with a {@link HistoryGoneError} if the store doesn't have that position.
   */
  async changes(
    waitMs: number,
    options: StoreReadOptions,
  ): Promise<ReadResult> {
    try {
      return await this.#changes(waitMs, options);
    } catch (err) {
      if (
        err instanceof ResponseTooLargeError || err instanceof RowsTooLargeError
      ) {
        // Only pages are bounded in size, and all rows replace those that are too large.
        return await this.all(options);
      }
      throw err;
    }
  }

  async #changes(
    waitMs: number,
    { call, ...signals }: StoreReadOptions,
  ): Promise<ReadResult> {
    const { store, rows, age } = this.#options;
    const startedAt = age.steadyNow;
    const page = await store.changes(this.#subject, {
      version: rows.position!,
      waitMs,
      ...signals,
      begun: call.begun,
      ended: call.requestEnded,
    });
    if (page.era !== rows.era) {
      // The changes follow a version of another history.
      this.#reject(page.era);
    }
    this.#unusedEra = undefined;
    rows.checkRoom(page.rows);
    const read = { ...page, startedAt, endedAt: age.steadyNow };
    const confirmedAt = confirmedBy(call);
    return { read, isWhole: false, verdict: "current", confirmedAt };
  }

  /** All rows, page by page. */
  async all(
    { call, cancelSignal }: Omit<StoreReadOptions, "signal">,
  ): Promise<ReadResult> {
    const { store, rows: { history }, age } = this.#options;
    const startedAt = age.steadyNow;
    const rows: StoredRow[] = [];
    let bytes = 0;
    let first: RowsPage | undefined;
    let previous: RowsPage | undefined;
    let from: string | undefined;
    for (let pages = 1;; pages++) {
      const page = await store.list(this.#subject, from, {
        ...(cancelSignal === undefined ? {} : { cancelSignal }),
        begun: call.begun,
        ended: call.requestEnded,
      });
      // With the version of the first page, changes between pages are read again
      // by the next call for changes.
      first ??= page;
      if (previous !== undefined && !isOfOneHistory(previous, page)) {
        this.#reject(page.era);
      }
      previous = page;
      rows.push(...page.rows);
      bytes += sizeOf(page.rows);
      if (bytes > MAX_ROWS_BYTES || pages > MAX_PAGES) {
        throw new RowsTooLargeError();
      }
      if (!page.isTruncated || page.rows.length === 0) {
        break;
      }
      from = `${page.rows.at(-1)!.key}\0`;
    }
    const { version, era } = first;
    const read = { era, version, rows, startedAt, endedAt: age.steadyNow };
    const isWhole = true;
    const verdict = history.judge(read, { isOwn: true, isWhole });
    if (verdict === "unused") {
      this.#reject(era);
    }
    this.#unusedEra = undefined;
    return { read, isWhole, verdict, confirmedAt: confirmedBy(call) };
  }

  /** All rows are read again: those read are not of the history in use. */
  #reject(era: number): never {
    if (era !== this.#unusedEra) {
      this.#unusedEra = era;
      this.#options.responseNotUsed(era);
    }
    throw new HistoryGoneError("the store was restored", era);
  }
}

/** Whether a page can follow another one of the same read: versions go back only if the store was restored in between. */
function isOfOneHistory(page: RowsPage, next: RowsPage): boolean {
  return next.era === page.era && next.version >= page.version;
}

/** A response is of the moment at which it began to arrive. */
function confirmedBy({ arrivedMs }: OpenCall): number {
  return performance.now() - arrivedMs;
}
