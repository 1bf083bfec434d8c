/**
 * Deletes claims that are older than their lifetime.
 *
 * A key guards a request for that lifetime and no longer: a repeat that comes
 * later would run again. The table knows no time, so the age comes from the
 * wall clock of the VM that claimed; the lifetime is long enough that clocks
 * which are minutes apart make no difference.
 *
 * @module
 */

import { type Row, type Table, TableError } from "../table.ts";
import { CLAIM_PREFIX, claimOf } from "./claim_row.ts";

/** A day: callers send again within minutes, and an outage may last an hour or two. */
export const CLAIM_LIFETIME_MS = 86_400_000;
/** Rows of one page. With {@link PAGE_PAUSE_MS} 8.6 million claims are looked through in a day, by one read a second. */
const PAGE_ROWS = 100;
const PAGE_PAUSE_MS = 1_000;

/** Options of a {@link ClaimSweep}. */
export interface ClaimSweepOptions {
  /** Whether this VM sweeps at present, for example because it holds a lease. */
  readonly isMine: () => boolean;
}

/** Goes through all claims, over and over, a page a second. */
export class ClaimSweep {
  readonly #table: Table;
  readonly #isMine: () => boolean;
  #after = CLAIM_PREFIX;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #running = false;

  constructor(table: Table, options: ClaimSweepOptions) {
    this.#table = table;
    this.#isMine = options.isMine;
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

  /** Looks through the next page. A page that the table fails is taken again. */
  async sweepPage(): Promise<void> {
    const page = { after: this.#after, limit: PAGE_ROWS };
    const rows = await this.#table.scan(CLAIM_PREFIX, page);
    const expired = expiredClaims(rows, Date.now());
    if (expired.length > 0) {
      await this.#table.transact({
        // A claim that changed since the scan keeps the whole page for the next
        // round; nothing is lost by that.
        conditions: expired.map(({ key, version }) => ({ key, version })),
        writes: expired.map(({ key }) => ({ key, value: undefined })),
      });
    }
    this.#after = rows.length < PAGE_ROWS
      ? CLAIM_PREFIX
      : rows[rows.length - 1]!.key;
  }

  #schedule(): void {
    this.#timer = setTimeout(() => void this.#turn(), PAGE_PAUSE_MS);
  }

  async #turn(): Promise<void> {
    try {
      if (this.#isMine()) {
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

/** The rows whose claim has outlived its lifetime at wall-clock time `now`. */
export function expiredClaims(
  rows: readonly Row[],
  now: number,
): readonly Row[] {
  return rows.filter((row) => {
    const claim = claimOf(row);
    return claim !== undefined && now - claim.claimedAt > CLAIM_LIFETIME_MS;
  });
}
