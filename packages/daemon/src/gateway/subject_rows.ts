/**
 * The rows of one subject: those of the store's history in use, and what is kept of an
 * earlier one. Passes them on to the listener.
 *
 * @module
 */

import { messageOf } from "../errors.ts";
import type {
  PlatformPort,
  RowsPage,
  StoredRow,
  WatchedSubject,
} from "./ports.ts";
import { MAX_ROWS_BYTES, RowsTooLargeError, sizeOf } from "./row_bounds.ts";
import { RowPatches } from "./row_patches.ts";
import { RestoredRows } from "./restored_rows.ts";
import { type RowChanges, RowCopy, type StoreVersion } from "./row_copy.ts";
import {
  type HistoryRead,
  type ReadVerdict,
  StoreHistory,
} from "./store_history.ts";
import type { SubjectListener } from "./subject_listener.ts";

/** Pause after which rows are passed on again that could not be applied. */
const APPLY_RETRY_MS = 1_000;

/**
 * How long a row is used that a restored store lacks. Targets that are alive are listed
 * again within two seconds; operators write again what they wrote, and a zone that is
 * evacuated without need for some seconds does less harm than one that is used too early.
 */
const MISSING_ROWS_MS: Readonly<Record<WatchedSubject, number>> = {
  operator: 10_000,
  targets: 2_000,
  members: 10_000,
};
/**
 * Longest time for which a row is used though the restored store has an outdated one. A
 * target may be gone, but what operators wrote counts until they write again.
 */
const OUTDATED_ROWS_MS: Readonly<Record<WatchedSubject, number>> = {
  operator: Infinity,
  targets: 30_000,
  members: 30_000,
};

/** Rows that were read, of the store or of a relay. */
export type RowsRead = HistoryRead & Pick<RowsPage, "rows">;

/** What a read is that is used, and whether it gave all rows. */
export interface UsedRead {
  readonly isWhole: boolean;
  readonly verdict: Exclude<ReadVerdict, "unused">;
}

/** Options of {@link SubjectRows}. */
export interface SubjectRowsOptions {
  readonly isOlder: PlatformPort["isOlder"];
  readonly listener: Pick<
    SubjectListener,
    "restored" | "rowsChanged" | "rowsNotApplied" | "claimRefuted"
  >;
}

/** See the module comment. */
export class SubjectRows {
  /** Decides which of the store's histories is the current one. */
  readonly history = new StoreHistory();
  readonly #copy = new RowCopy();
  /** Patches of large rows, to and from other VMs. */
  readonly patches = new RowPatches(this.#copy);
  readonly #restoredRows: RestoredRows;
  readonly #listener: SubjectRowsOptions["listener"];
  #restores = 0;
  /** The rows are at most as large, since they were last counted. */
  #maxBytes = Infinity;
  #publishTimer: NodeJS.Timeout | undefined;
  /** Why the listener could not apply the rows that it got last. */
  #notApplied: string | undefined;

  constructor(
    subject: WatchedSubject,
    { isOlder, listener }: SubjectRowsOptions,
  ) {
    this.#listener = listener;
    this.#restoredRows = new RestoredRows({
      missingMs: MISSING_ROWS_MS[subject],
      outdatedMs: OUTDATED_ROWS_MS[subject],
      isOlder: (row, than) => isOlder(subject, row, than),
    });
  }

  /** Version of the newest row seen, in the history that the rows belong to; era 0 if none were read. */
  get newest(): StoreVersion {
    return { era: this.history.era, version: this.#copy.newest };
  }

  /** The newest version seen, of a row or of the store. */
  get reached(): number {
    // A removal from before the first read is in the position alone.
    return Math.max(this.#copy.newest, this.#copy.position ?? 0);
  }

  /** Version up to which all changes are included; undefined if all rows must be read. */
  get position(): number | undefined {
    return this.#copy.position;
  }

  /** The store's history that the rows belong to; undefined if none were read. */
  get era(): number | undefined {
    return this.#copy.era;
  }

  /** How many times the rows were replaced by those of a restored store. */
  get restores(): number {
    return this.#restores;
  }

  /** Versions of the rows with large values, by key. */
  get largeRows(): Readonly<Record<string, number>> {
    return this.#copy.largeRows;
  }

  /** Whether a row of the history in use is missing. */
  isBehind(seen: StoreVersion, now: number): boolean {
    return this.history.claimVersion(seen, now) && seen.version > this.reached;
  }

  /** Throws a {@link RowsTooLargeError} if the rows would become too large with these. */
  checkRoom(rows: readonly StoredRow[]): void {
    if (rows.length === 0) {
      return;
    }
    const added = sizeOf(rows);
    this.#maxBytes += added;
    if (this.#maxBytes > MAX_ROWS_BYTES) {
      this.#maxBytes = this.#copy.bytes + added;
    }
    if (this.#maxBytes > MAX_ROWS_BYTES) {
      throw new RowsTooLargeError();
    }
  }

  /** All rows must be read again; those known stay in use until then. */
  requireFullRead(): void {
    this.#copy.requireFullRead();
  }

  /** The changes after a version that another VM has reached, all rows if it isn't known; undefined if none were read. */
  changesAfter(
    other: StoreVersion & { readonly numbering?: number },
  ): RowChanges | undefined {
    const isKnown = this.history.isKnown(other, this.#copy.position ?? 0);
    return this.#copy.changesAfter(
      isKnown ? other : { era: other.era, version: -1 },
    );
  }

  /** Takes rows over. They are passed on by {@link publish}. */
  apply(read: RowsRead, { isWhole, verdict }: UsedRead): void {
    const eraBefore = this.history.era;
    this.patches.clear();
    if (isWhole || verdict === "new-history") {
      this.#maxBytes = Infinity;
    }
    for (const claimed of this.history.use(read, verdict)) {
      this.#listener.claimRefuted(claimed, read.era);
    }
    if (verdict === "new-history") {
      this.#replaceByRestored(read, eraBefore);
    } else if (isWhole) {
      this.#copy.replace(read);
    } else {
      this.#copy.advance(read);
    }
    this.#restoredRows.rowsRead(read.rows, read.version);
  }

  /** Passes the rows on to the listener: now, when a row is no longer kept after a restore, and again if they were not applied. */
  publish(): void {
    const now = performance.now();
    const isApplied = this.#passOn(now);
    clearTimeout(this.#publishTimer);
    const dueAt = Math.min(
      this.#restoredRows.dueAt ?? Infinity,
      isApplied ? Infinity : now + APPLY_RETRY_MS,
    );
    if (dueAt < Infinity) {
      this.#publishTimer = setTimeout(() => this.publish(), dueAt - now);
    }
  }

  close(): void {
    clearTimeout(this.#publishTimer);
  }

  /** Replaces the copy after the store was restored, and keeps what the store has lost. */
  #replaceByRestored(page: RowsRead, eraBefore: number): void {
    const before = {
      rows: new Map(this.#copy.rows),
      removed: new Map(this.#copy.lastRows),
    };
    this.#copy.begin(page);
    this.#restoredRows.restored(this.#copy.rows, before, performance.now());
    this.#restores += 1;
    const { heldKeys: held } = this.#restoredRows;
    this.#listener.restored(this.#copy.rows, {
      era: page.era,
      eraBefore,
      held,
    });
  }

  /** An error of the listener is not one of the store: the rows are up to date, and other VMs may have them. */
  #passOn(now: number): boolean {
    try {
      const rows = this.#restoredRows.merge(this.#copy.rows, now);
      this.#listener.rowsChanged(rows);
      this.#notApplied = undefined;
      return true;
    } catch (err) {
      const reason = messageOf(err);
      if (reason !== this.#notApplied) {
        this.#notApplied = reason;
        this.#listener.rowsNotApplied(reason);
      }
      return false;
    }
  }
}
