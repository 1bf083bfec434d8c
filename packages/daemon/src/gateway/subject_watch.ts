/**
 * Follows one subject of the platform's store: reads the store itself, or gets its
 * changes from another VM of the region, a relay.
 *
 * @module
 */

import {
  freshnessReport,
  knownSinceRead,
  laterKnownSince,
} from "@poplarthread/coordination/freshness";
import { messageOf } from "../errors.ts";
import { type ExchangeEnd, JsonCallError } from "../json_exchange.ts";
import { pause } from "../pause.ts";
import { ChangeSources, type ChangeSourcesOptions } from "./change_sources.ts";
import { Lag } from "./lag.ts";
import {
  HistoryGoneError,
  type Member,
  type PlatformPort,
  type RowsPage,
  type StoredRow,
  type WatchedSubject,
} from "./ports.ts";
import {
  relayedRead,
  type RelayRequest,
  type RelayResponse,
  StillReadingError,
} from "./relay.ts";
import { RestoredRows } from "./restored_rows.ts";
import { type RowChanges, RowCopy, type StoreVersion } from "./row_copy.ts";
import {
  type HistoryRead,
  type ReadVerdict,
  StoreHistory,
} from "./store_history.ts";
import { SuspensionWatch } from "./suspension_watch.ts";

/**
 * How long one call waits for a change. Each response also confirms that no change was
 * missed, so the wait must stay well below the bounds of 2.5 s and more within which
 * changes must arrive. VMs also find each other by heartbeats, so their rows may be
 * later.
 */
const CHANGE_WAIT_MS: Readonly<Record<WatchedSubject, number>> = {
  operator: 1_000,
  targets: 1_000,
  members: 5_000,
};
/** Rows are stale when their last confirmation is older than a call's wait plus this: twice the slowest response of a slow store. */
const STALE_MARGIN_MS = 500;
/** How much older rows may be while a relay reads newer ones, and how long it may read all: on a narrow link, its VMs would need longer together. */
const READING_MARGIN_MS = 1_500;
/** How long the first call waits after failed ones or after stale rows of a relay: short, to learn soon that the store responds. */
const RECONNECT_WAIT_MS = 20;
/** A call that still waits this long after a peer has reported a newer version is doubted: many times the store's usual response time of 4 ms. */
const MISSED_CHANGE_TIMEOUT_MS = 300;
/** Rows that were missing for longer are reported: changes must be in force within 2.5 s and more. */
const LATE_MS = 1_000;
/** Bounds of the pause after a failed call, which doubles each time: the store bills the calls that it refuses, too. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;
/** Pause after which rows are passed on again that could not be applied. */
const APPLY_RETRY_MS = 1_000;
/** Pause after a change, so that changes that come together cost one call: VMs that start together register within some hundred milliseconds. */
const CHANGE_BATCH_MS = 150;
/**
 * A VM that has lost the store calls it again this long before its rows become stale.
 * Once they are stale, the VMs that use it as their relay call the store. If the store
 * were back by then, they would read that entries have expired without knowing of the
 * outage, and remove targets that are alive.
 */
const RETRY_BEFORE_STALE_MS = 100;
/**
 * A VM whose rows are stale, but which may be about to read the store, holds requests
 * of other VMs for this long: a round trip to a store in another region and some more.
 * With an immediate response, all of them would call the store together.
 */
const PENDING_READ_WAIT_MS = 300;
/** Back-off from a relay that does not respond: until its heartbeats are missed, too. */
const UNRESPONSIVE_BACK_OFF_MS = 3_000;
/** Back-off from a relay whose rows are stale: it notices that by then, too. */
const STALE_BACK_OFF_MS = 500;
/** How much longer than the store itself a relay may take: it passes a confirmation on only after it has received it. */
const RELAY_EXTRA_WAIT_MS = 250;
/** How long a fallback may wait for the store. */
const FALLBACK_WAIT_MS = 400;
/** Back-off from a fallback whose rows the store has not confirmed since the local VM lost it: a VM that reaches the store gets a confirmation each second. */
const UNCONFIRMED_BACK_OFF_MS = 300;
/** How long a relay that has lost the store is replaced by the next one. */
const LOST_RELAY_MS = 1_000;
/** Back-off from a relay that gets its rows from other VMs, not from the store. */
const RELAYED_BACK_OFF_MS = 2_000;
/**
 * A VM that has lost the store calls it again after this time even if other VMs respond:
 * if all have lost it, none of them can report its return. A VM with relays calls less
 * often, because the first relay calls the store on its behalf.
 */
const STORE_RETRY_MS = 1_000;
const STORE_RETRY_WITH_RELAYS_MS = 3_000;
/** Age of rows that the store has never confirmed: far above every age that counts as fresh. */
const NEVER_CONFIRMED_AGE_MS = 3_600_000;
/** How long other VMs must know of a store's return: expired entries are back within two seconds. */
const RECENT_RECOVERY_MS = 2_000;
/** Reports of the same return of the store differ by less than this. */
const SAME_RECOVERY_TOLERANCE_MS = 1_000;

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

/** The store's history that is used from now on, and the one used before. */
export interface HistoryChange {
  readonly era: number;
  readonly eraBefore: number;
}

/** Receives the rows of the subject and the state of the connection. */
export interface SubjectListener {
  /**
   * The store was restored from a copy and has these rows; called before they are used.
   * For the keys that are held, what was known before stays in use.
   */
  restored(
    rows: ReadonlyMap<string, StoredRow>,
    change: HistoryChange & { readonly held: readonly string[] },
  ): void;
  /** Called with all rows, by key, after each change; again if it throws. */
  rowsChanged(rows: ReadonlyMap<string, StoredRow>): void;
  /** {@link rowsChanged} has thrown; not called for the same reason in a row. */
  rowsNotApplied(reason: string): void;
  /** Neither the store nor a relay responds (`isLost`), or one does again. */
  connectivityChanged(isLost: boolean, reason?: string): void;
  /** A response of the store is not used because it belongs to another history than expected. */
  responseNotUsed(era: number): void;
  /** Another VM named a history that the store does not have. */
  claimRefuted(claimed: number, era: number): void;
  /** A relay has not responded. */
  relayUnresponsive(relay: Member): void;
  /** A call of the store, or of a relay, has ended. */
  callEnded(end: ExchangeEnd, relay: Member | undefined): void;
  /** Rows have arrived late. */
  readLate(read: LateRead): void;
  /** A relay is not used for a while. */
  relaySkipped(relay: Member, reason: string): void;
}

/** Rows that have arrived late. */
export interface LateRead {
  /** For how long peers knew of them; 0 if they named none. */
  readonly behindMs: number;
  /** Time since the store had last confirmed that none were missing. */
  readonly unconfirmedMs: number;
  /** The call that brought them; undefined if it is not known. */
  readonly end: ExchangeEnd | undefined;
  /** The VM that was called; undefined for the store. */
  readonly relay: Member | undefined;
}

/** Options of a {@link SubjectWatch}. */
export interface SubjectWatchOptions extends ChangeSourcesOptions {
  readonly store: Pick<PlatformPort, "list" | "changes" | "isOlder">;
  queryRelay(relay: Member, request: RelayRequest): Promise<RelayResponse>;
  readonly listener: SubjectListener;
}

/** See the module's comment. */
export class SubjectWatch {
  readonly #subject: WatchedSubject;
  readonly #options: SubjectWatchOptions;
  readonly #copy = new RowCopy();
  readonly #restoredRows: RestoredRows;
  #publishTimer: NodeJS.Timeout | undefined;
  /** Why the listener could not apply the rows that it got last. */
  #notApplied: string | undefined;
  readonly #history = new StoreHistory();
  #restores = 0;
  /** The history of the store's latest response if that was not used. */
  #unusedEra: number | undefined;
  readonly #sources: ChangeSources;
  readonly #closed = new AbortController();
  /** Wakes requests of peers that wait for changes. */
  readonly #waiters = new Set<() => void>();
  #callAbort = new AbortController();
  /** Asks the relay again that has not responded. */
  #askAgain = new AbortController();
  readonly #lag = new Lag();
  /** Whether a response is arriving. */
  #isArriving = false;
  /** The call that ended last. */
  #lastCall: Pick<LateRead, "end" | "relay"> = {
    end: undefined,
    relay: undefined,
  };
  /** Since when the relay has been reading all rows; undefined if it has responded since. */
  #stillReadingSince: number | undefined;
  /** The VM that a request is pending at. */
  #queriedRelay: Member | undefined;
  readonly #suspension = new SuspensionWatch();
  /** The rows are complete up to this time, on the clock of {@link #steadyNow}. */
  #knownSince = performance.now() - NEVER_CONFIRMED_AGE_MS;
  /** When the store last confirmed that the copy is complete. */
  #confirmedAt = performance.now() - NEVER_CONFIRMED_AGE_MS;
  /** How old the rows were when the store last confirmed them; 0 after it was lost. */
  #unconfirmedMs = 0;
  /** When the store was last restored, for this VM or its relay. */
  #restoredAt = -Infinity;
  #isLost = false;
  #lostAt = -Infinity;
  /** When this VM itself last called the store. */
  #lastStoreCallAt = -Infinity;
  /** Another VM was queried since then. */
  #hasQueriedOthers = false;
  #retryMs = MIN_RETRY_MS;
  #missedChangeTimer: NodeJS.Timeout | undefined;

  constructor(subject: WatchedSubject, options: SubjectWatchOptions) {
    this.#subject = subject;
    this.#restoredRows = new RestoredRows({
      missingMs: MISSING_ROWS_MS[subject],
      outdatedMs: OUTDATED_ROWS_MS[subject],
      isOlder: (row, than) => options.store.isOlder(subject, row, than),
    });
    this.#sources = new ChangeSources(options);
    this.#options = options;
  }

  /** Version of the newest row seen, in the history that the rows belong to; era 0 if none were read. */
  get newest(): StoreVersion {
    return { era: this.#history.era, version: this.#copy.newest };
  }

  /** How many times the rows were replaced by those of a restored store. */
  get restores(): number {
    return this.#restores;
  }

  /** Time since the store last confirmed that no change is missing. */
  get ageMs(): number {
    return performance.now() - this.#confirmedAt;
  }

  /**
   * Time since the start of the read of the store that gave the rows: every change
   * accepted before that is included. Time at relays and suspensions of this VM count.
   */
  get readAgeMs(): number {
    return this.#steadyNow - this.#knownSince;
  }

  /** Follows the subject until {@link close}. */
  async run(): Promise<void> {
    while (!this.#closed.signal.aborted) {
      this.#callAbort = new AbortController();
      this.#askAgain = new AbortController();
      try {
        await this.#fetch();
      } catch (err) {
        await this.#failed(err);
      }
    }
  }

  /** A peer reports the newest row that it has seen. */
  hint(seen: StoreVersion): void {
    const isClaim = this.#history.claim(seen.era, this.#steadyNow);
    const isBehind = this.#isBehind(seen);
    if (isBehind) {
      this.#lag.missed(seen.version, performance.now());
    }
    if ((!isClaim && !isBehind) || this.#missedChangeTimer !== undefined) {
      return;
    }
    this.#missedChangeTimer = setTimeout(() => {
      this.#missedChangeTimer = undefined;
      if (this.#isBehind(seen)) {
        this.#catchUp();
      } else if (this.#history.isReadDue) {
        this.#readNow();
      }
    }, MISSED_CHANGE_TIMEOUT_MS);
  }

  /** Gives up a request that is pending at a VM, which has not responded to others. */
  leaveRelay({ vm }: Member): void {
    if (this.#queriedRelay?.vm === vm) {
      this.#callAbort.abort(
        new JsonCallError("it has not responded to another call"),
      );
    }
  }

  /** Doubts the pending call, which has not brought what peers know. */
  #catchUp(): void {
    const step = this.#lag.nextStep({
      now: performance.now(),
      isArriving: this.#isArriving,
      relay: this.#queriedRelay?.vm,
    });
    switch (step) {
      case "wait":
        return;
      case "ask-again":
        this.#askAgain.abort(new JsonCallError("peers know a newer version"));
        return;
      case "start-over":
        this.#callAbort.abort(new JsonCallError("peers know a newer version"));
        return;
    }
  }

  /** Whether the copy lacks a row of its history. */
  #isBehind(seen: StoreVersion): boolean {
    const { newest, position = 0 } = this.#copy;
    // A removal from before the first read is in the position alone.
    return this.#history.claimVersion(seen, this.#steadyNow) &&
      seen.version > Math.max(newest, position);
  }

  /** Ends a call of the store that waits for changes. A relay has its own news of histories. */
  #readNow(): void {
    if (this.#queriedRelay === undefined) {
      this.#callAbort.abort();
    }
  }

  /**
   * Response to a peer's request, as soon as there are changes or a confirmation, or the
   * wait is over; undefined if the rows have not been read. Rejects with a
   * {@link StillReadingError} if they are arriving.
   */
  async changesAfter(
    request: RelayRequest,
  ): Promise<RelayResponse | undefined> {
    const receivedAt = performance.now();
    const steadyReceivedAt = this.#steadyNow;
    const waitUntil = receivedAt + request.waitMs;
    if (this.#history.claim(request.era, steadyReceivedAt)) {
      this.#readNow();
    }
    for (;;) {
      const isOutdated = this.#history.era < request.era &&
        this.#history.isOpen(request.era);
      const changes = isOutdated ? undefined : this.#changesFor(request);
      const now = performance.now();
      if (changes === undefined) {
        if (this.#isArriving && now >= waitUntil) {
          throw new StillReadingError();
        }
        const dueAt = this.#isArriving
          ? waitUntil
          : receivedAt + PENDING_READ_WAIT_MS;
        if (now >= dueAt || this.#closed.signal.aborted) {
          return undefined;
        }
        await this.#waitForWake(dueAt - now);
        continue;
      }
      const isSecondHand = this.#sources.isRelayed(now);
      const staleAt = request.isPatient || this.#isArriving
        ? Infinity
        : this.#staleResponseAt(receivedAt, now);
      const isDue = changes.isWhole || changes.rows.length > 0 ||
        isSecondHand || (this.#isLost && request.mayReplace) ||
        this.#confirmedAt > receivedAt ||
        now >= Math.min(waitUntil, staleAt) ||
        (request.isPatient && now < this.#staleAt);
      if (isDue || this.#closed.signal.aborted) {
        return {
          ...changes,
          ageMs: Math.round(this.ageMs),
          ...freshnessReport(this.#knownSince, {
            requestedAt: steadyReceivedAt,
            respondedAt: this.#steadyNow,
          }),
          regainedMs: Number.isFinite(this.#restoredAt)
            ? Math.round(now - this.#restoredAt)
            : undefined,
          isSecondHand,
          isLost: this.#isLost,
          isReading: this.#isArriving,
          numbering: this.#history.numbering,
        };
      }
      await this.#waitForWake(Math.min(waitUntil, staleAt) - now);
    }
  }

  #changesFor(request: RelayRequest): RowChanges | undefined {
    const isKnown = this.#history.isKnown(request, this.#copy.position ?? 0);
    return this.#copy.changesAfter(
      isKnown ? request : { era: request.era, version: -1 },
    );
  }

  close(): void {
    clearTimeout(this.#missedChangeTimer);
    clearTimeout(this.#publishTimer);
    this.#closed.abort();
    this.#callAbort.abort();
    this.#wakeWaiters();
  }

  /** The monotonic clock plus the time for which this VM was suspended. */
  get #steadyNow(): number {
    return performance.now() + this.#suspension.suspendedMs;
  }

  /** Until then the copy counts as complete. */
  get #staleAt(): number {
    return this.#confirmedAt + CHANGE_WAIT_MS[this.#subject] + STALE_MARGIN_MS;
  }

  /** When a request received at `receivedAt` gets a response because this VM's rows are stale. */
  #staleResponseAt(receivedAt: number, now: number): number {
    const isStuck = this.#queriedRelay === undefined &&
      now >= this.#lastStoreCallAt + PENDING_READ_WAIT_MS;
    return isStuck
      ? this.#staleAt
      : Math.max(this.#staleAt, receivedAt + PENDING_READ_WAIT_MS);
  }

  readonly #begun = (): void => {
    this.#isArriving = true;
  };

  readonly #storeCallEnded = (end: ExchangeEnd): void =>
    this.#callEnded(end, undefined);

  #callEnded(end: ExchangeEnd, relay: Member | undefined): void {
    this.#isArriving = false;
    this.#lastCall = { end, relay };
    this.#options.listener.callEnded(end, relay);
  }

  async #fetch(): Promise<void> {
    const now = performance.now();
    const relay = this.#isStoreRetryDue(now)
      ? undefined
      : this.#sources.next(now, {
        isLost: this.#isLost,
        isFirst: this.#copy.position === undefined,
      });
    if (relay !== undefined) {
      this.#hasQueriedOthers = true;
      await this.#queryRelay(relay);
      return;
    }
    this.#hasQueriedOthers = false;
    this.#lastStoreCallAt = now;
    if (this.#copy.position === undefined) {
      await this.#readAll();
    } else {
      await this.#readChanges();
    }
  }

  /** Whether the lost store must be called again although other VMs could be queried. */
  #isStoreRetryDue(now: number): boolean {
    if (!this.#isLost || !this.#hasQueriedOthers) {
      return false;
    }
    const afterMs = this.#sources.hasRelays
      ? STORE_RETRY_WITH_RELAYS_MS
      : STORE_RETRY_MS;
    return now >= this.#lastStoreCallAt + afterMs;
  }

  async #queryRelay(relay: Member): Promise<void> {
    this.#queriedRelay = relay;
    const isFallback = this.#sources.isFallback(relay);
    const requestedAt = this.#steadyNow;
    const mayReplace = !isFallback && !this.#isLost &&
      this.#sources.mayReplaceLost(performance.now());
    const response = await this.#options.queryRelay(relay, {
      version: this.#history.isWholeDue ? -1 : this.#copy.position ?? -1,
      era: this.#history.era,
      numbering: this.#history.numbering,
      // A fallback that has lost the store, too, could hold the request for the whole
      // wait, and this VM would notice the store's return late.
      waitMs: isFallback && this.#isLost
        ? FALLBACK_WAIT_MS
        : CHANGE_WAIT_MS[this.#subject] + RELAY_EXTRA_WAIT_MS,
      isPatient: this.#isLost,
      mayReplace,
      signal: this.#callAbort.signal,
      repeatSignal: this.#askAgain.signal,
      begun: this.#begun,
      ended: (end) => this.#callEnded(end, relay),
    });
    this.#queriedRelay = undefined;
    this.#stillReadingSince = undefined;
    if (response.isReading) {
      this.#lag.progressed(performance.now());
    }
    const respondedAt = this.#steadyNow;
    const { isWhole, rows } = response;
    const read = relayedRead(response, { requestedAt, respondedAt });
    const verdict = this.#history.judge(read, { isOwn: false, isWhole });
    if (this.#history.isWholeDue) {
      return;
    }
    if (verdict === "unused") {
      const reason = "its rows are from before the store was restored";
      this.#backOff(relay, STALE_BACK_OFF_MS, reason);
      return;
    }
    const now = performance.now();
    const isFresh =
      response.ageMs < CHANGE_WAIT_MS[this.#subject] + STALE_MARGIN_MS;
    this.#noteRelayRecovery(response, now);
    const isConfirmedSince = isFresh && now - response.ageMs > this.#lostAt;
    if (isFallback) {
      this.#sources.fallbackResponded(isConfirmedSince, now);
    }
    // A confirmation from before the loss doesn't show that the fallback reaches the store.
    const isConfirmation = isFallback ? isConfirmedSince : isFresh;
    if (isConfirmation) {
      this.#succeeded(now - response.ageMs);
    }
    this.#apply({ ...read, rows }, { isWhole, verdict });
    this.#recordKnownSince(read.startedAt);
    if (response.isLost && mayReplace) {
      this.#sources.replaceLost(relay, now + LOST_RELAY_MS);
      this.#options.listener.relaySkipped(relay, "it has lost the store");
    } else if (!isFresh) {
      if (!this.#isReadInTime(response)) {
        this.#backOff(relay, STALE_BACK_OFF_MS, "its rows are stale");
      }
    } else if (!isConfirmation) {
      this.#backOff(
        relay,
        UNCONFIRMED_BACK_OFF_MS,
        "the store has not confirmed its rows since the loss; it may have lost the store, too",
      );
    } else if (response.isSecondHand) {
      const until = performance.now() + RELAYED_BACK_OFF_MS;
      this.#sources.exclude(relay, until);
      const reason = "the store refused it; it gets its rows from other VMs";
      this.#options.listener.relaySkipped(relay, reason);
    }
  }

  /** Whether a relay is reading what its rows lack, and has not taken too long. */
  #isReadInTime({ isReading, isSecondHand, ageMs }: RelayResponse): boolean {
    // One that gets its rows from other VMs responds at once each time.
    return isReading && !isSecondHand &&
      ageMs < CHANGE_WAIT_MS[this.#subject] + READING_MARGIN_MS;
  }

  /**
   * A relay that had lost the store passes on removals of entries that merely expired
   * during the outage. The receiver must know that they came right after an outage, or
   * it would remove targets that are alive.
   */
  #noteRelayRecovery({ regainedMs }: RelayResponse, now: number): void {
    if (regainedMs === undefined || regainedMs > RECENT_RECOVERY_MS) {
      return;
    }
    const restoredAt = now - regainedMs;
    if (
      !this.#isLost &&
      restoredAt > this.#restoredAt + SAME_RECOVERY_TOLERANCE_MS
    ) {
      this.#restoredAt = restoredAt;
      this.#options.listener.connectivityChanged(
        true,
        "the relay had lost the store",
      );
      this.#options.listener.connectivityChanged(false);
    }
  }

  async #readChanges(): Promise<void> {
    const startedAt = this.#steadyNow;
    const page = await this.#options.store.changes(this.#subject, {
      version: this.#copy.position!,
      waitMs: this.#isLost || this.#history.isReadDue
        ? RECONNECT_WAIT_MS
        : this.#waitBeforeStale(),
      signal: this.#callAbort.signal,
      begun: this.#begun,
      ended: this.#storeCallEnded,
    });
    if (page.era !== this.#copy.era) {
      // The changes follow a version of another history.
      this.#rejectRead(page.era);
    }
    this.#succeeded(performance.now());
    const read = { ...page, startedAt, endedAt: this.#steadyNow };
    this.#apply(read, { isWhole: false, verdict: "current" });
    this.#recordRead(startedAt);
    if (page.rows.length > 0) {
      await pause(CHANGE_BATCH_MS, this.#closed.signal);
    }
  }

  /**
   * How long a call waits for changes: until its rows become stale, or the VMs that use
   * this one as their relay would all call the store as well.
   */
  #waitBeforeStale(): number {
    const leftMs = this.#staleAt - PENDING_READ_WAIT_MS - performance.now();
    const waitMs = Math.min(CHANGE_WAIT_MS[this.#subject], Math.floor(leftMs));
    return Math.max(RECONNECT_WAIT_MS, waitMs);
  }

  async #readAll(): Promise<void> {
    const startedAt = this.#steadyNow;
    const rows: StoredRow[] = [];
    let first: RowsPage | undefined;
    let from: string | undefined;
    for (;;) {
      const page = await this.#options.store.list(this.#subject, from, {
        begun: this.#begun,
        ended: this.#storeCallEnded,
      });
      // With the version of the first page, changes between pages are read again
      // by the next call for changes.
      first ??= page;
      if (page.era !== first.era) {
        this.#rejectRead(page.era);
      }
      rows.push(...page.rows);
      if (!page.isTruncated || page.rows.length === 0) {
        break;
      }
      from = `${page.rows.at(-1)!.key}\0`;
    }
    const { version, era } = first;
    const read = { era, version, startedAt, endedAt: this.#steadyNow };
    const isWhole = true;
    const verdict = this.#history.judge(read, { isOwn: true, isWhole });
    if (verdict === "unused") {
      this.#rejectRead(era);
    }
    this.#succeeded(performance.now());
    this.#apply({ ...read, rows }, { isWhole, verdict });
    this.#recordRead(startedAt);
  }

  /** All rows are read again: those read are not of the history in use. */
  #rejectRead(era: number): never {
    this.#reportUnused(era);
    throw new HistoryGoneError("the store was restored", era);
  }

  #reportUnused(era: number): void {
    if (era !== this.#unusedEra) {
      this.#unusedEra = era;
      this.#options.listener.responseNotUsed(era);
    }
  }

  #recordRead(startedAt: number): void {
    this.#unusedEra = undefined;
    const endedAt = this.#steadyNow;
    this.#recordKnownSince(knownSinceRead({ startedAt, endedAt }));
  }

  #recordKnownSince(since: number): void {
    this.#knownSince = laterKnownSince(this.#knownSince, since);
  }

  #apply(
    read: HistoryRead & Pick<RowsPage, "rows">,
    { isWhole, verdict }: {
      readonly isWhole: boolean;
      readonly verdict: Exclude<ReadVerdict, "unused">;
    },
  ): void {
    const eraBefore = this.#history.era;
    for (const claimed of this.#history.use(read, verdict)) {
      this.#options.listener.claimRefuted(claimed, read.era);
    }
    if (verdict === "new-history") {
      this.#lag.reset();
      this.#replaceByRestored(read, eraBefore);
    } else if (isWhole) {
      this.#copy.replace(read);
    } else {
      this.#copy.advance(read);
    }
    this.#restoredRows.rowsRead(read.rows, read.version);
    this.#wakeWaiters();
    if (isWhole || read.rows.length > 0) {
      this.#reportLag(this.#unconfirmedMs);
      this.#publishRows();
    }
  }

  #reportLag(unconfirmedMs: number): void {
    const { newest, position = 0 } = this.#copy;
    const behindMs = this.#lag.arrived(
      Math.max(newest, position),
      performance.now(),
    );
    const isOverdue = unconfirmedMs < NEVER_CONFIRMED_AGE_MS &&
      unconfirmedMs > CHANGE_WAIT_MS[this.#subject] + LATE_MS;
    if (behindMs > LATE_MS || isOverdue) {
      this.#options.listener.readLate({
        behindMs,
        unconfirmedMs,
        ...this.#lastCall,
      });
    }
  }

  /** Replaces the copy after the store was restored, and keeps what the store has lost. */
  #replaceByRestored(
    page: Omit<RowsPage, "isTruncated">,
    eraBefore: number,
  ): void {
    const before = {
      rows: new Map(this.#copy.rows),
      removed: new Map(this.#copy.lastRows),
    };
    this.#copy.begin(page);
    this.#restoredAt = performance.now();
    this.#restoredRows.restored(this.#copy.rows, before, this.#restoredAt);
    this.#restores += 1;
    const { heldKeys: held } = this.#restoredRows;
    this.#options.listener.restored(this.#copy.rows, {
      era: page.era,
      eraBefore,
      held,
    });
  }

  /** Passes the rows on to the listener: now, when a row is no longer kept after a restore, and again if they were not applied. */
  #publishRows(): void {
    const now = performance.now();
    const rows = this.#restoredRows.merge(this.#copy.rows, now);
    const isApplied = this.#passOn(rows);
    clearTimeout(this.#publishTimer);
    const dueAt = Math.min(
      this.#restoredRows.dueAt ?? Infinity,
      isApplied ? Infinity : now + APPLY_RETRY_MS,
    );
    if (dueAt < Infinity) {
      this.#publishTimer = setTimeout(() => this.#publishRows(), dueAt - now);
    }
  }

  /** An error of the listener is not one of the store: the rows are up to date, and other VMs may have them. */
  #passOn(rows: ReadonlyMap<string, StoredRow>): boolean {
    const { listener } = this.#options;
    try {
      listener.rowsChanged(rows);
      this.#notApplied = undefined;
      return true;
    } catch (err) {
      const reason = messageOf(err);
      if (reason !== this.#notApplied) {
        this.#notApplied = reason;
        listener.rowsNotApplied(reason);
      }
      return false;
    }
  }

  /**
   * Must be called before the rows are applied: the listener has to know of the store's
   * return first, because rows that are missing right after it may have merely expired.
   */
  #succeeded(confirmedAt: number): void {
    this.#unconfirmedMs = this.#isLost ? 0 : this.ageMs;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    this.#regained();
  }

  /** The store answers, though without rows: it is to be read, in place of other VMs. */
  #storeAnswered(): void {
    this.#sources.storeAnswered();
    this.#regained();
  }

  #regained(): void {
    this.#retryMs = MIN_RETRY_MS;
    if (this.#isLost) {
      this.#isLost = false;
      this.#restoredAt = performance.now();
      this.#options.listener.connectivityChanged(false);
    }
  }

  async #failed(err: unknown): Promise<void> {
    const relay = this.#queriedRelay;
    this.#queriedRelay = undefined;
    if (this.#closed.signal.aborted) {
      return;
    }
    if (relay !== undefined) {
      if (err instanceof StillReadingError && this.#mayReadOn()) {
        return;
      }
      this.#stillReadingSince = undefined;
      this.#backOff(relay, UNRESPONSIVE_BACK_OFF_MS, messageOf(err));
      if (!this.#callAbort.signal.aborted) {
        this.#options.listener.relayUnresponsive(relay);
      }
      return;
    }
    if (err instanceof HistoryGoneError) {
      this.#copy.requireFullRead();
      this.#storeAnswered();
      // Without the pause, a store that keeps no history would be read in a busy loop.
      await pause(CHANGE_BATCH_MS, this.#closed.signal);
      return;
    }
    if (this.#callAbort.signal.aborted) {
      // Aborted because a peer reported a newer version: called again at once.
      return;
    }
    this.#sources.storeFailed();
    if (!this.#isLost) {
      this.#isLost = true;
      this.#lostAt = performance.now();
      this.#options.listener.connectivityChanged(true, messageOf(err));
      this.#wakeWaiters();
    }
    const jittered = this.#retryMs * (0.5 + Math.random());
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
    await pause(this.#capBeforeStale(jittered), this.#closed.signal);
  }

  /** Whether the relay, which is reading all rows, may take longer. */
  #mayReadOn(): boolean {
    const now = performance.now();
    this.#stillReadingSince ??= now;
    this.#lag.progressed(now);
    return now < this.#stillReadingSince + READING_MARGIN_MS;
  }

  /** The pause, shortened if needed so that it ends before this VM's rows become stale. */
  #capBeforeStale(ms: number): number {
    const leftMs = this.#staleAt - RETRY_BEFORE_STALE_MS - performance.now();
    return leftMs > 0 ? Math.min(ms, leftMs) : ms;
  }

  #backOff(relay: Member, ms: number, reason: string): void {
    this.#sources.backOff(relay, performance.now() + ms);
    this.#options.listener.relaySkipped(relay, reason);
  }

  #wakeWaiters(): void {
    const waiting = [...this.#waiters];
    this.#waiters.clear();
    waiting.forEach((wake) => wake());
  }

  /** Settles at the next change or confirmation, after `ms` at the latest. */
  #waitForWake(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, ms));
      this.#waiters.add(wake);
    });
  }
}
