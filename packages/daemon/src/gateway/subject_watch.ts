/**
 * Follows one subject of the platform's store: asks the store itself, or another
 * VM of the region that does.
 *
 * @module
 */

import {
  freshnessWord,
  knownSinceReading,
  knownSinceWord,
  newest,
} from "@poplarthread/coordination/freshness";
import { messageOf } from "../errors.ts";
import { pause } from "../pause.ts";
import { NewsSources, type NewsSourcesOptions } from "./news_sources.ts";
import {
  HistoryGoneError,
  type Member,
  type PlatformPort,
  type RowsPage,
  type StoredRow,
  type WatchedSubject,
} from "./ports.ts";
import type { RelayNews, RelayQuestion } from "./relay.ts";
import { RowCopy } from "./row_copy.ts";
import { SuspensionWatch } from "./suspension_watch.ts";

/**
 * How long one call waits for a change, in milliseconds. An answer also shows
 * that nothing was missed, and who is told news late breaks bounds of 2.5 s and
 * more; VMs find each other by heartbeats too, so their rows may be later.
 */
const WAIT_MS: Readonly<Record<WatchedSubject, number>> = {
  operator: 1_000,
  targets: 1_000,
  members: 5_000,
};
/** News whose last confirmation is older than a call's wait by this are not relied on, in milliseconds: twice the longest answer of a slow store. */
const LATE_MS = 500;
/** How long the first call after failed ones, or after a relay's old news, waits, in milliseconds: short, to know soon that the store answers. */
const CONTACT_WAIT_MS = 20;
/** A call that waits for changes this long although a peer has seen one is given up, in milliseconds: a few times the store's usual 4 ms. */
const MISSED_MS = 300;
/** Pauses after a failed call, in milliseconds; they double. A store that turns calls away is paid for each of them. */
const RETRY_FIRST_MS = 100;
const RETRY_MOST_MS = 1_000;
/** Pause after a change, in milliseconds, so that changes that come together cost one call: VMs that start together announce themselves within some hundred. */
const SETTLE_MS = 150;
/**
 * A VM that has lost the store asks again this long before its news become old, in
 * milliseconds. After that, VMs that ask it turn to the store. Were the store back by
 * then, they would read of entries that lapsed without knowing of the loss, and take
 * living targets for gone.
 */
const ASKS_BEFORE_STALE_MS = 100;
/**
 * A VM whose news are old, but which may be about to read the store, lets those that
 * ask it wait this long, in milliseconds: a round trip to a store in another region
 * and some more. Answered at once, all of them would turn to the store together.
 */
const READS_SOON_MS = 300;
/** A relay that does not answer is left alone until its heartbeats are missed too, in milliseconds. */
const SILENT_REST_MS = 3_000;
/** A relay whose own news are old is asked again after this, in milliseconds: it notices by then, too. */
const STALE_REST_MS = 500;
/** A relay tells what the store has confirmed as soon as it hears it, so it is given this much longer than the store itself, in milliseconds. */
const RELAYED_MS = 250;
/** How long a fallback is given to hear from the store, in milliseconds. */
const FALLBACK_WAIT_MS = 400;
/** A VM whose news the store has not confirmed since this one lost it is asked again after this, in milliseconds: it hears from the store each second. */
const UNCONFIRMED_REST_MS = 300;
/** A relay that has its news from others is asked again after this, in milliseconds. */
const SECOND_HAND_REST_MS = 2_000;
/**
 * A VM that has lost the store asks it again after this, in milliseconds, also while
 * there are others to ask: where all have lost it, none of them can tell of its return.
 * One that has relays asks less often, since the first relay asks for it.
 */
const LOST_ASKS_MS = 1_000;
const LOST_RELAYED_ASKS_MS = 3_000;
/** Age of news that the store never confirmed, in milliseconds: far above what is relied on. */
const NEVER_MS = 3_600_000;
/** A regained contact matters to others this long, in milliseconds: entries that lapsed are back within two seconds. */
const REGAINED_MATTERS_MS = 2_000;
/** Two reports of one regained contact differ by less than this, in milliseconds. */
const SAME_REGAIN_MS = 1_000;

/** Told what the subject holds. */
export interface SubjectListener {
  /** All rows, by key, after each change. */
  changed(rows: ReadonlyMap<string, StoredRow>): void;
  /** Neither the store nor a relay answers, or one does again. */
  contact(isLost: boolean, reason?: string): void;
  /** A relay is left alone for a while. */
  relayLeft(relay: Member, reason: string): void;
}

/** What the watch works with. */
export interface SubjectWatchOptions extends NewsSourcesOptions {
  readonly store: Pick<PlatformPort, "list" | "changes">;
  askRelay(relay: Member, question: RelayQuestion): Promise<RelayNews>;
  readonly listener: SubjectListener;
}

/** See the module's comment. */
export class SubjectWatch {
  readonly #subject: WatchedSubject;
  readonly #options: SubjectWatchOptions;
  readonly #copy = new RowCopy();
  readonly #sources: NewsSources;
  readonly #closed = new AbortController();
  /** Peers' calls that wait for news. */
  readonly #waiting = new Set<() => void>();
  #call = new AbortController();
  /** The relay that is being asked. */
  #asked: Member | undefined;
  readonly #suspension = new SuspensionWatch();
  /** What is known is complete up to then, in {@link #steadyNow}. */
  #knownSince = performance.now() - NEVER_MS;
  /** When the store last confirmed that the copy is whole. */
  #confirmedAt = performance.now() - NEVER_MS;
  #regainedAt = -Infinity;
  #isLost = false;
  #lostAt = -Infinity;
  /** When this VM last called the store itself. */
  #storeCallAt = -Infinity;
  /** Another VM was asked since then. */
  #hasAskedOthers = false;
  #pauseMs = RETRY_FIRST_MS;
  #missed: NodeJS.Timeout | undefined;

  constructor(subject: WatchedSubject, options: SubjectWatchOptions) {
    this.#subject = subject;
    this.#sources = new NewsSources(options);
    this.#options = options;
  }

  /** Version of the newest row that was seen. */
  get newest(): number {
    return this.#copy.newest;
  }

  /** Time since the store last confirmed that nothing is missing, in milliseconds. */
  get ageMs(): number {
    return performance.now() - this.#confirmedAt;
  }

  /**
   * Time since the reading of the store began that gave what is known, in
   * milliseconds: whatever was accepted before that is known. Counted through relays
   * and through suspensions of this VM.
   */
  get readAgeMs(): number {
    return this.#steadyNow - this.#knownSince;
  }

  /** Follows the subject until {@link close}. */
  async run(): Promise<void> {
    while (!this.#closed.signal.aborted) {
      this.#call = new AbortController();
      try {
        await this.#next();
      } catch (err) {
        await this.#failed(err);
      }
    }
  }

  /** A peer has seen a row of `version`. */
  hint(version: number): void {
    if (version <= this.newest || this.#missed !== undefined) {
      return;
    }
    this.#missed = setTimeout(() => {
      this.#missed = undefined;
      if (version > this.newest) {
        this.#call.abort();
      }
    }, MISSED_MS);
  }

  /** News for a peer, as soon as there are any; undefined where nothing was read yet. */
  async newsAfter(question: RelayQuestion): Promise<RelayNews | undefined> {
    const askedAt = performance.now();
    const steadyAskedAt = this.#steadyNow;
    const until = askedAt + question.waitMs;
    for (;;) {
      const changes = this.#copy.changesAfter(question.version);
      const now = performance.now();
      if (changes === undefined) {
        if (now >= askedAt + READS_SOON_MS || this.#closed.signal.aborted) {
          return undefined;
        }
        await this.#woken(askedAt + READS_SOON_MS - now);
        continue;
      }
      const isSecondHand = this.#sources.isSecondHand(now);
      const staleAt = question.isPatient
        ? Infinity
        : this.#toldStaleAt(askedAt, now);
      const isDue = changes.isWhole || changes.rows.length > 0 ||
        isSecondHand || this.#confirmedAt > askedAt ||
        now >= Math.min(until, staleAt) ||
        (question.isPatient && now < this.#staleAt);
      if (isDue || this.#closed.signal.aborted) {
        return {
          ...changes,
          ageMs: Math.round(this.ageMs),
          ...freshnessWord(this.#knownSince, {
            askedAt: steadyAskedAt,
            answeredAt: this.#steadyNow,
          }),
          regainedMs: Number.isFinite(this.#regainedAt)
            ? Math.round(now - this.#regainedAt)
            : undefined,
          isSecondHand,
        };
      }
      await this.#woken(Math.min(until, staleAt) - now);
    }
  }

  close(): void {
    clearTimeout(this.#missed);
    this.#closed.abort();
    this.#call.abort();
    this.#wake();
  }

  /** The monotonic clock, and the time for which this VM was suspended. */
  get #steadyNow(): number {
    return performance.now() + this.#suspension.lostMs;
  }

  /** Until then the copy can be taken to be whole. */
  get #staleAt(): number {
    return this.#confirmedAt + WAIT_MS[this.#subject] + LATE_MS;
  }

  /** When one that asked at `askedAt` is told that this VM's news are old. */
  #toldStaleAt(askedAt: number, now: number): number {
    const isStuck = this.#asked === undefined &&
      now >= this.#storeCallAt + READS_SOON_MS;
    return isStuck
      ? this.#staleAt
      : Math.max(this.#staleAt, askedAt + READS_SOON_MS);
  }

  async #next(): Promise<void> {
    const now = performance.now();
    const relay = this.#isStoreDue(now) ? undefined : this.#sources.next(now, {
      isLost: this.#isLost,
      isFirst: this.#copy.position === undefined,
    });
    if (relay !== undefined) {
      this.#hasAskedOthers = true;
      await this.#askRelay(relay);
      return;
    }
    this.#hasAskedOthers = false;
    this.#storeCallAt = now;
    if (this.#copy.position === undefined) {
      await this.#readAll();
    } else {
      await this.#readChanges();
    }
  }

  /** Whether a VM that has lost the store asks it again, whoever else there is to ask. */
  #isStoreDue(now: number): boolean {
    const afterMs = this.#sources.hasRelays
      ? LOST_RELAYED_ASKS_MS
      : LOST_ASKS_MS;
    return this.#isLost && this.#hasAskedOthers &&
      now >= this.#storeCallAt + afterMs;
  }

  async #askRelay(relay: Member): Promise<void> {
    this.#asked = relay;
    const isFallback = this.#sources.isFallback(relay);
    const askedAt = this.#steadyNow;
    const news = await this.#options.askRelay(relay, {
      version: this.#copy.position ?? -1,
      // Held long by one that lost the store, too, this VM would notice its return late.
      waitMs: isFallback && this.#isLost
        ? FALLBACK_WAIT_MS
        : WAIT_MS[this.#subject] + RELAYED_MS,
      isPatient: this.#isLost,
      signal: this.#call.signal,
    });
    this.#asked = undefined;
    const now = performance.now();
    const isFresh = news.ageMs < WAIT_MS[this.#subject] + LATE_MS;
    this.#relayRegained(news, now);
    const isConfirmedSince = isFresh && now - news.ageMs > this.#lostAt;
    if (isFallback) {
      this.#sources.fallbackAnswered(isConfirmedSince, now);
    }
    // What a fallback heard before the loss does not show that the store answers it.
    const isHelpful = isFallback ? isConfirmedSince : isFresh;
    if (isHelpful) {
      this.#succeeded(now - news.ageMs);
    }
    this.#take(news.isWhole, { rows: news.rows, version: news.position });
    this.#knowsSince(
      knownSinceWord(news, { askedAt, answeredAt: this.#steadyNow }),
    );
    if (!isFresh) {
      this.#rest(relay, STALE_REST_MS, "its news are old");
    } else if (!isHelpful) {
      this.#rest(relay, UNCONFIRMED_REST_MS, "it may have lost the store, too");
    } else if (news.isSecondHand) {
      const until = performance.now() + SECOND_HAND_REST_MS;
      this.#sources.passOver(relay, until);
      const reason = "the store turned it away";
      this.#options.listener.relayLeft(relay, reason);
    }
  }

  /**
   * A relay that lost the store passes on removals of entries that merely
   * lapsed meanwhile. Whoever hears them must know that they came right after
   * a loss, or it would take living targets out.
   */
  #relayRegained({ regainedMs }: RelayNews, now: number): void {
    if (regainedMs === undefined || regainedMs > REGAINED_MATTERS_MS) {
      return;
    }
    const regainedAt = now - regainedMs;
    if (!this.#isLost && regainedAt > this.#regainedAt + SAME_REGAIN_MS) {
      this.#regainedAt = regainedAt;
      this.#options.listener.contact(true, "its relay had lost the store");
      this.#options.listener.contact(false);
    }
  }

  async #readChanges(): Promise<void> {
    const startedAt = this.#steadyNow;
    const page = await this.#options.store.changes(this.#subject, {
      version: this.#copy.position!,
      waitMs: this.#isLost || performance.now() >= this.#staleAt
        ? CONTACT_WAIT_MS
        : WAIT_MS[this.#subject],
      signal: this.#call.signal,
    });
    this.#succeeded(performance.now());
    this.#take(false, page);
    this.#hasRead(startedAt);
    if (page.rows.length > 0) {
      await pause(SETTLE_MS, this.#closed.signal);
    }
  }

  async #readAll(): Promise<void> {
    const startedAt = this.#steadyNow;
    const rows: StoredRow[] = [];
    let version: number | undefined;
    let from: string | undefined;
    for (;;) {
      const page = await this.#options.store.list(this.#subject, from);
      // Changes between two pages are read again with the changes that follow.
      version ??= page.version;
      rows.push(...page.rows);
      if (!page.isTruncated || page.rows.length === 0) {
        break;
      }
      from = `${page.rows.at(-1)!.key}\0`;
    }
    this.#succeeded(performance.now());
    this.#take(true, { rows, version });
    this.#hasRead(startedAt);
  }

  #hasRead(startedAt: number): void {
    const endedAt = this.#steadyNow;
    this.#knowsSince(knownSinceReading({ startedAt, endedAt }));
  }

  #knowsSince(since: number): void {
    this.#knownSince = newest(this.#knownSince, since);
  }

  #take(isWhole: boolean, page: Pick<RowsPage, "rows" | "version">): void {
    if (isWhole) {
      this.#copy.replace(page);
    } else {
      this.#copy.advance(page);
    }
    this.#wake();
    if (isWhole || page.rows.length > 0) {
      this.#options.listener.changed(this.#copy.rows);
    }
  }

  /**
   * Told before what was read: rows that are missing right after the store's
   * return mean something else than at other times.
   */
  #succeeded(confirmedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    this.#pauseMs = RETRY_FIRST_MS;
    if (this.#isLost) {
      this.#isLost = false;
      this.#regainedAt = performance.now();
      this.#options.listener.contact(false);
    }
  }

  async #failed(err: unknown): Promise<void> {
    const relay = this.#asked;
    this.#asked = undefined;
    if (this.#closed.signal.aborted) {
      return;
    }
    if (relay !== undefined) {
      this.#rest(relay, SILENT_REST_MS, messageOf(err));
      return;
    }
    if (err instanceof HistoryGoneError) {
      this.#copy.loseHistory();
      // A store that forgets at once would otherwise be read without end.
      await pause(SETTLE_MS, this.#closed.signal);
      return;
    }
    if (this.#call.signal.aborted) {
      // Given up for a change that a peer has seen: asked again at once.
      return;
    }
    if (!this.#isLost) {
      this.#isLost = true;
      this.#lostAt = performance.now();
      this.#options.listener.contact(true, messageOf(err));
    }
    const jittered = this.#pauseMs * (0.5 + Math.random());
    this.#pauseMs = Math.min(RETRY_MOST_MS, this.#pauseMs * 2);
    await pause(this.#beforeStale(jittered), this.#closed.signal);
  }

  /** The pause, or a shorter one that ends before this VM's news become old. */
  #beforeStale(ms: number): number {
    const leftMs = this.#staleAt - ASKS_BEFORE_STALE_MS - performance.now();
    return leftMs > 0 ? Math.min(ms, leftMs) : ms;
  }

  #rest(relay: Member, ms: number, reason: string): void {
    this.#sources.rest(relay, performance.now() + ms);
    this.#options.listener.relayLeft(relay, reason);
  }

  #wake(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  /** Settles at the next news, after `ms` at the latest. */
  #woken(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, ms));
      this.#waiting.add(wake);
    });
  }
}
