/**
 * Decides which of the store's histories is the current one.
 *
 * Histories have numbers, but the numbers do not order them: a store may be replaced by
 * one that counts from the start again. What orders them is time. The store's responses
 * are linearizable, so a read that began after another one had ended is the later one,
 * whatever the two are numbered. Numbers decide only between reads that overlap.
 *
 * What another VM says of a history without its rows is a claim: it calls for a read, and
 * the read decides. A refuted claim is left alone until a read gives that history.
 *
 * Times are milliseconds of a monotonic clock that runs on while the VM is suspended.
 *
 * @module
 */

import type { StoreVersion } from "./row_copy.ts";

/** A read of the store, by this VM or by the relay that passed it on. */
export interface HistoryRead extends StoreVersion {
  /** The store received the call at this time or later. */
  readonly startedAt: number;
  /** The store responded at this time or earlier. */
  readonly endedAt: number;
  /** The numbering of a relay; see {@link StoreHistory.numbering}. */
  readonly numbering?: number;
}

/** Whose call a read was, and whether it gave all rows. */
export interface ReadOrigin {
  readonly isOwn: boolean;
  readonly isWhole: boolean;
}

/** What a read is: of the history in use, the first one of another history, or one that must not be used. */
export type ReadVerdict = "current" | "new-history" | "unused";

/** Histories and claims that are remembered: far more than there are restores in a day. */
const MAX_REMEMBERED = 32;
const MAX_NUMBERING = 2 ** 48;
/** Claims cause one additional read per this time: regular reads decide the others within two seconds. */
const CLAIM_READ_INTERVAL_MS = 5_000;

/** See the module's comment. */
export class StoreHistory {
  /** The latest read that was used. */
  #latest: HistoryRead | undefined;
  /** Histories that the store has left, and claimed ones that it does not have. */
  readonly #left = new Set<number>();
  readonly #refuted = new Set<number>();
  /** Claims that no read has decided, with the times at which they were received. */
  readonly #claims = new Map<number, number>();
  #numbering = 0;
  #claimReadAt = -Infinity;
  #isReadDue = false;
  #isWholeDue = false;
  /** The last read was not used because of a claim: the next one is, whatever is claimed. */
  #hasDropped = false;
  /** Versions of the history in use that other VMs have seen and no read has reached or refuted, with the times at which they were received. */
  readonly #versionClaims = new Map<number, number>();
  /** Versions that the store does not have, as a later read showed. */
  readonly #refutedVersions = new Set<number>();

  /**
   * Tells apart rows whose versions went back although the history kept its number, or
   * took an earlier one again. 0 if there was no such return.
   */
  get numbering(): number {
    return this.#numbering;
  }

  /** The history in use; 0 before the first read. */
  get era(): number {
    return this.#latest?.era ?? 0;
  }

  /** The store must be read without waiting for a change, to decide a claim. */
  get isReadDue(): boolean {
    return this.#isReadDue;
  }

  /** Versions went back, as changes of a relay show: all rows must be requested of it. */
  get isWholeDue(): boolean {
    return this.#isWholeDue;
  }

  /** Whether no read has decided yet if this is the current history. */
  isOpen(era: number): boolean {
    return this.#claims.has(era);
  }

  /**
   * Whether a version that another VM has reached is one of those in use. Older versions
   * of the program name no numbering: their version must not be beyond `position`.
   */
  isKnown(
    other: StoreVersion & { readonly numbering?: number },
    position: number,
  ): boolean {
    if (other.era !== this.era) {
      return false;
    }
    return other.numbering === undefined
      ? this.#numbering === 0 || other.version <= position
      : other.numbering === this.#numbering;
  }

  /** Another VM names a history as current. Returns whether the store must be read because of it. */
  claim(era: number, now: number): boolean {
    const isNews = Number.isSafeInteger(era) && era > 0 && era !== this.era &&
      !this.#left.has(era) && !this.#refuted.has(era) && !this.#claims.has(era);
    if (!isNews) {
      return false;
    }
    this.#claims.set(era, now);
    forgetOldest(this.#claims);
    if (
      this.#latest === undefined ||
      now < this.#claimReadAt + CLAIM_READ_INTERVAL_MS
    ) {
      return false;
    }
    this.#claimReadAt = now;
    this.#isReadDue = true;
    return true;
  }

  /** Another VM has seen a version. Returns whether it may be missing here: whether no read has refuted it. */
  claimVersion({ era, version }: StoreVersion, now: number): boolean {
    if (era !== this.era || this.#refutedVersions.has(version)) {
      return false;
    }
    const isBeyond = this.#latest !== undefined &&
      version > this.#latest.version;
    if (isBeyond && !this.#versionClaims.has(version)) {
      this.#versionClaims.set(version, now);
      forgetOldest(this.#versionClaims);
    }
    return true;
  }

  /** What a read is; own reads must be judged one after the other, each before the next one starts. */
  judge(read: HistoryRead, origin: ReadOrigin): ReadVerdict {
    return origin.isOwn ? this.#judgeOwn(read, origin) : this.#judgeRelayed(
      read,
      origin,
    );
  }

  /** A read is used. Returns the claims that it refutes. */
  use(
    read: HistoryRead,
    verdict: "current" | "new-history",
  ): readonly number[] {
    const before = this.#latest;
    if (before === undefined || verdict === "new-history") {
      this.#numbering = read.numbering ?? this.#nextNumbering(read.era);
    }
    if (before !== undefined && before.era !== read.era) {
      this.#left.add(before.era);
      forgetOldest(this.#left);
    }
    if (verdict === "new-history") {
      this.#versionClaims.clear();
      this.#refutedVersions.clear();
    }
    this.#left.delete(read.era);
    this.#refuted.delete(read.era);
    this.#hasDropped = false;
    this.#isReadDue = false;
    this.#isWholeDue = false;
    this.#latest = before === undefined || verdict === "new-history"
      ? read
      : laterOf(before, read);
    this.#decideVersionClaims(read, this.#latest.version);
    return this.#decideClaims(read);
  }

  #nextNumbering(era: number): number {
    const isReturn = this.#left.has(era) || era === this.#latest?.era;
    return isReturn ? 1 + Math.floor(Math.random() * MAX_NUMBERING) : 0;
  }

  #judgeOwn(read: HistoryRead, { isWhole }: ReadOrigin): ReadVerdict {
    const latest = this.#latest;
    if (latest?.era !== read.era && this.#isOverdue(read)) {
      this.#hasDropped = true;
      return "unused";
    }
    const isAnother = latest !== undefined &&
      (latest.era !== read.era || (isWhole && read.version < latest.version));
    return isAnother ? "new-history" : "current";
  }

  #judgeRelayed(read: HistoryRead, { isWhole }: ReadOrigin): ReadVerdict {
    const latest = this.#latest;
    this.#isWholeDue = false;
    if (latest === undefined) {
      return "current";
    }
    const isLater = read.startedAt >= latest.endedAt;
    const isSame = latest.era === read.era &&
      (read.numbering ?? 0) === this.#numbering;
    const isBehind = read.version < latest.version;
    if (isSame && (!isBehind || (!isWhole && !isLater))) {
      return "current";
    }
    const isOverlapping = read.endedAt > latest.startedAt;
    // VMs that have read the same return by themselves tell it apart by different
    // numberings. A VM that kept its own would read the store forever.
    const isOtherwiseNumbered = latest.era === read.era && !isSame;
    if (!isWhole) {
      this.#isWholeDue = isLater || (isOverlapping && isOtherwiseNumbered);
      return "unused";
    }
    const isHigher = read.era > latest.era && !this.#left.has(read.era);
    return isLater || (isOverlapping && (isHigher || isOtherwiseNumbered))
      ? "new-history"
      : "unused";
  }

  /** Whether a later history was claimed while the read was under way: the response may have been delayed. */
  #isOverdue({ era, startedAt }: HistoryRead): boolean {
    return !this.#hasDropped &&
      [...this.#claims].some(([claimed, receivedAt]) =>
        claimed > era && receivedAt > startedAt
      );
  }

  #decideVersionClaims({ startedAt }: HistoryRead, reached: number): void {
    for (const [version, receivedAt] of this.#versionClaims) {
      if (version <= reached) {
        this.#versionClaims.delete(version);
      } else if (receivedAt <= startedAt) {
        this.#versionClaims.delete(version);
        this.#refutedVersions.add(version);
      }
    }
    forgetOldest(this.#refutedVersions);
  }

  #decideClaims({ era, startedAt }: HistoryRead): readonly number[] {
    const decided = [...this.#claims].filter(([claimed, receivedAt]) =>
      claimed === era || receivedAt <= startedAt
    ).map(([claimed]) => claimed);
    decided.forEach((claimed) => this.#claims.delete(claimed));
    const refuted = decided.filter((claimed) => claimed !== era);
    refuted.forEach((claimed) => this.#refuted.add(claimed));
    forgetOldest(this.#refuted);
    return refuted;
  }
}

/** Two reads of one history, taken together. */
function laterOf(a: HistoryRead, b: HistoryRead): HistoryRead {
  return {
    era: b.era,
    version: Math.max(a.version, b.version),
    startedAt: Math.max(a.startedAt, b.startedAt),
    endedAt: Math.max(a.endedAt, b.endedAt),
  };
}

function forgetOldest(
  remembered: Set<number> | Map<number, number>,
): void {
  for (const oldest of remembered.keys()) {
    if (remembered.size <= MAX_REMEMBERED) {
      return;
    }
    remembered.delete(oldest);
  }
}

/**
 * The history that each response of the store belongs to, if some don't name it: the one
 * that was named last. Calls may overlap.
 */
export class NamedHistory {
  #era: number | undefined;
  #endedAt = -Infinity;

  /** The history that was named last; undefined if none was. */
  get era(): number | undefined {
    return this.#era;
  }

  /** The history of a response that names `named`; 0 if no response has named one. */
  resolve(
    named: number | undefined,
    { startedAt, endedAt }: { startedAt: number; endedAt: number },
  ): number {
    if (named === undefined) {
      return this.#era ?? 0;
    }
    const isLater = this.#era === undefined || named >= this.#era ||
      startedAt >= this.#endedAt;
    if (isLater) {
      this.#era = named;
      this.#endedAt = Math.max(this.#endedAt, endedAt);
    }
    return named;
  }
}
