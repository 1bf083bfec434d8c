/**
 * Deletes claims that are older than their lifetime.
 *
 * A key prevents duplicates only for that lifetime: a later duplicate would run
 * again. The table has no clock, so a claim's age is computed from the wall
 * clock of the VM that claimed; the lifetime is long enough that clocks which
 * differ by minutes do not matter.
 *
 * @module
 */

import { type Row, type Table, TableError } from "../table.ts";
import { CLAIM_PREFIX, claimOf } from "./claim_row.ts";

/** One day: callers retry within minutes, and an outage may last an hour or two. */
export const CLAIM_LIFETIME_MS = 86_400_000;
/** Rows per page. With {@link PAGE_PAUSE_MS} one read a second covers 8.6 million claims a day. */
const PAGE_ROWS = 100;
const PAGE_PAUSE_MS = 1_000;

/** Options of a {@link ClaimSweep}. */
export interface ClaimSweepOptions {
  /** Whether this VM is currently the one that sweeps, for example because it holds a lease. */
  readonly isSweeper: () => boolean;
}

/** Scans all claims repeatedly, one page a second. */
export class ClaimSweep {
  readonly #table: Table;
  readonly #isSweeper: () => boolean;
  #after = CLAIM_PREFIX;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #running = false;

  constructor(table: Table, options: ClaimSweepOptions) {
    this.#table = table;
    this.#isSweeper = options.isSweeper;
  }

  start(): void {
    if (!this.#running) {
      this.#running = true;
      this.#schedule();
    }
  }

  stop(): void {
    this.#running = false;
    clearTimeout(this.#timer);
  }

  /** Sweeps the next page. A page whose read or delete fails is swept again. */
  async sweepPage(): Promise<void> {
    const page = { after: this.#after, limit: PAGE_ROWS };
    const rows = await this.#table.scan(CLAIM_PREFIX, page);
    const expired = expiredClaims(rows, Date.now());
    if (expired.length > 0) {
      await this.#table.transact({
        // If a claim changed since the scan, the transaction deletes nothing and
        // the page's expired claims are left for the next pass.
        conditions: expired.map(({ key, version }) => ({ key, version })),
        writes: expired.map(({ key }) => ({ key, value: undefined })),
      });
    }
    this.#after = rows.length < PAGE_ROWS
      ? CLAIM_PREFIX
      : rows[rows.length - 1]!.key;
  }

  #schedule(): void {
    this.#timer = setTimeout(() => void this.#runOnce(), PAGE_PAUSE_MS);
  }

  async #runOnce(): Promise<void> {
    try {
      if (this.#isSweeper()) {
        await this.sweepPage();
      }
    } catch (err) {
      if (!(err instanceof TableError)) {
        throw err;
      }
    }
    if (this.#running) {
      this.#schedule();
    }
  }
}

/** The rows whose claim has exceeded its lifetime at wall-clock time `now`. */
export function expiredClaims(
  rows: readonly Row[],
  now: number,
): readonly Row[] {
  return rows.filter((row) => {
    const claim = claimOf(row);
    return claim !== undefined && now - claim.claimedAt > CLAIM_LIFETIME_MS;
  });
}
