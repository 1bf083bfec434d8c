/**
 * Holds back requests that crash each target they reach.
 *
 * A fingerprint that was in flight on several targets when they crashed is held
 * back on all VMs for a limited time, which doubles with each further crash. Two
 * rules protect a request that merely shared a target with it: crashes do not
 * count against a fingerprint that a target has completed since or shortly
 * before, and two suspects are never sent to the same target (see
 * {@link HeldBack.verdict}), so that the next crash implicates only one of them.
 *
 * VMs learn of crashes from messages about each, or from repeated reports on all
 * that a VM knows, which also reach VMs that start later.
 *
 * @module
 */

import {
  chooseReports,
  type HeldBackReport,
  shortenReport,
} from "./held_back_reports.ts";
import type {
  Fingerprint,
  HeldBackMessage,
  HeldBackPolicy,
  HeldBackVerdict,
  TargetRun,
} from "./held_back_types.ts";

/**
 * Crashes after which a request is held back. One is no proof: every request on
 * a crashed target was in flight then.
 */
const MIN_CRASHES = 2;
/** Lifetime of an entry: enough for an operator to notice it and for callers to give up. */
const ENTRY_LIFETIME_MS = 600_000;
/**
 * Limit of each table; the oldest entry is evicted. 4,096 entries of about 300
 * bytes take 1.2 MB.
 */
const MAX_ENTRIES = 4_096;
/**
 * More crashes than this within {@link CRASH_BURST_MS} are due to a rack, a
 * zone or a release, not to a request.
 */
const MAX_CRASHES_IN_BURST = 3;
/**
 * A caller retries within seconds, whereas a failing zone loses its targets
 * within one heartbeat timeout.
 */
const CRASH_BURST_MS = 2_000;
/**
 * Crashes are not learned from reports in this last part of their lifetime. A
 * report takes some time to arrive, and VMs would otherwise revive each other's
 * expired entries.
 */
const REPORT_MARGIN_MS = 5_000;

/** How long reports tell of a single crash. */
const SINGLE_CRASH_REPORT_MS = 10_000;
/** How long reports tell that a suspect was cleared: several reports, since single ones get lost. */
const CLEARED_REPORT_MS = 10_000;

/** The policy used by default. */
export const DEFAULT_HELD_BACK_POLICY: HeldBackPolicy = {
  minCrashes: MIN_CRASHES,
  lifetimeMs: ENTRY_LIFETIME_MS,
  firstHoldMs: ENTRY_LIFETIME_MS,
  maxHoldMs: ENTRY_LIFETIME_MS,
  completionMs: ENTRY_LIFETIME_MS,
  maxCrashesInBurst: MAX_CRASHES_IN_BURST,
};

/** What is known of one fingerprint. */
interface HeldBackEntry {
  /** When each run crashed. */
  readonly crashes: ReadonlyMap<TargetRun, number>;
  /** Largest number of crashes that another VM has reported; it may not have listed all. */
  readonly reportedCount: number;
  readonly expiresAt: number;
}

/** One VM's table of suspected and held-back requests. Times are milliseconds of one clock. */
export class HeldBack {
  readonly #policy: HeldBackPolicy;
  readonly #entries = new Map<Fingerprint, HeldBackEntry>();
  /** When a target last completed each request. */
  readonly #completedAt = new Map<Fingerprint, number>();
  /** Suspects that a completion has cleared, and when this VM learned of it. */
  readonly #clearedAt = new Map<Fingerprint, number>();
  #recentCrashes: number[] = [];
  /** Number of reports made, so that each begins with other entries. */
  #reports = 0;

  constructor(policy: HeldBackPolicy = DEFAULT_HELD_BACK_POLICY) {
    this.#policy = policy;
  }

  /** Number of entries in the table. */
  get size(): number {
    return this.#entries.size;
  }

  /** Number of requests that are held back. */
  countHeldBack(now: number): number {
    return [...this.#entries.keys()]
      .filter((one) => this.verdict(one, now).kind === "held-back").length;
  }

  /** Number of requests under which several targets crashed. */
  countRepeated(now: number): number {
    return [...this.#entries.keys()]
      .filter((one) => this.crashesOf(one, now) > 1).length;
  }

  /** Number of requests under which a target has crashed in the last `ms`. */
  countSuspects(now: number, ms: number): number {
    return [...this.#entries.keys()].filter((one) =>
      this.#countedCrashes(one, now).some((at) => now - at < ms)
    ).length;
  }

  /** Returns whether a request with this fingerprint may be sent now. */
  verdict(fingerprint: Fingerprint, now: number): HeldBackVerdict {
    const count = this.crashesOf(fingerprint, now);
    if (count === 0) {
      return { kind: "free" };
    }
    const retryAfterMs = (this.heldUntil(fingerprint, now) ?? now) - now;
    return retryAfterMs <= 0
      ? { kind: "suspect" }
      : { kind: "held-back", retryAfterMs };
  }

  /** When the latest hold of a request ends or ended; undefined if it has not been held back. */
  heldUntil(fingerprint: Fingerprint, now: number): number | undefined {
    const { minCrashes, firstHoldMs, maxHoldMs } = this.#policy;
    const count = this.crashesOf(fingerprint, now);
    if (count < minCrashes) {
      return undefined;
    }
    const holdMs = firstHoldMs * 2 ** (count - minCrashes);
    const times = this.#countedCrashes(fingerprint, now);
    return Math.max(...times) + Math.min(holdMs, maxHoldMs);
  }

  /** Number of crashes that count against a request. */
  crashesOf(fingerprint: Fingerprint, now: number): number {
    const entry = this.#unexpired(fingerprint, now);
    return Math.max(entry?.crashes.size ?? 0, entry?.reportedCount ?? 0);
  }

  /** Whether a crash counts against a request already. */
  knowsCrash(fingerprint: Fingerprint, run: TargetRun): boolean {
    return this.#entries.get(fingerprint)?.crashes.has(run) ?? false;
  }

  /** Whether a completion shows that a request that broke at `at` does not crash its targets. */
  isCleared(fingerprint: Fingerprint, at: number): boolean {
    const completedAt = this.#completedAt.get(fingerprint) ?? -Infinity;
    return completedAt > at - this.#policy.completionMs;
  }

  /**
   * Records that a target crashed with these requests in flight. Returns the
   * messages to send to the peers.
   */
  targetCrashed(
    target: TargetRun,
    inFlight: readonly Fingerprint[],
    now: number,
  ): readonly HeldBackMessage[] {
    this.#recentCrashes = this.#recentCrashes.filter((at) =>
      now - at < CRASH_BURST_MS
    );
    this.#recentCrashes.push(now);
    if (this.#recentCrashes.length > this.#policy.maxCrashesInBurst) {
      return [];
    }
    const messages = inFlight.map((fingerprint) => ({
      kind: "coincided" as const,
      fingerprint,
      target,
      remainingMs: this.#policy.lifetimeMs,
    }));
    messages.forEach((message) => this.receive(message, now));
    return messages;
  }

  /**
   * Records that a target completed this request, which shows that it does not
   * crash targets. Returns the messages to send to the peers.
   */
  completed(
    fingerprint: Fingerprint,
    now: number,
  ): readonly HeldBackMessage[] {
    const isSuspect = this.verdict(fingerprint, now).kind !== "free";
    this.#recordCompletion(fingerprint, now, now);
    const remainingMs = this.#policy.lifetimeMs;
    return isSuspect ? [{ kind: "completed", fingerprint, remainingMs }] : [];
  }

  /** Applies a peer's message; messages may arrive in any order and repeatedly. */
  receive(message: HeldBackMessage, now: number): void {
    const { fingerprint } = message;
    const { lifetimeMs } = this.#policy;
    const remainingMs = Math.min(message.remainingMs, lifetimeMs);
    const at = now + remainingMs - lifetimeMs;
    if (message.kind === "completed") {
      this.#recordCompletion(fingerprint, at, now);
    } else {
      this.#recordCrash(fingerprint, { run: message.target, at }, now);
    }
  }

  /** Includes the completion of a request in the next reports: others may know of crashes only. */
  reportCompletion(fingerprint: Fingerprint, now: number): void {
    putNewest(this.#clearedAt, fingerprint, now);
  }

  /**
   * What other VMs should know, with at most `maxCrashes` crashes. Repeated calls
   * return all of it in turns, and what is newest each time.
   */
  reports(now: number, maxCrashes: number): readonly HeldBackReport[] {
    this.#reports += 1;
    for (const [one, at] of this.#clearedAt) {
      if (now - at >= CLEARED_REPORT_MS) {
        this.#clearedAt.delete(one);
      }
    }
    const suspects = [...this.#entries.keys()]
      .filter((one) => this.#isWorthReporting(one, now));
    const known = new Set([...this.#clearedAt.keys(), ...suspects]);
    const candidates = [...known].reverse()
      .map((one) => this.#reportOf(one, now));
    return chooseReports(candidates, { maxCrashes, turn: this.#reports });
  }

  /** What is known of one request; of the crashes, only some of `runs` are listed. */
  report(
    fingerprint: Fingerprint,
    now: number,
    runs: ReadonlySet<TargetRun>,
  ): HeldBackReport {
    const report = this.#reportOf(fingerprint, now);
    const crashes = report.crashes.filter(({ run }) => runs.has(run));
    return shortenReport({ ...report, crashes });
  }

  /**
   * Applies a report of another VM. Returns the crashes that were not known before.
   */
  merge(
    { fingerprint, crashes, count = 0, completedAgeMs }: HeldBackReport,
    now: number,
  ): readonly TargetRun[] {
    if (completedAgeMs !== undefined) {
      this.#recordCompletion(fingerprint, now - completedAgeMs, now);
    }
    const maxAgeMs = this.#policy.lifetimeMs - REPORT_MARGIN_MS;
    const known = this.#entries.get(fingerprint)?.crashes;
    const news = crashes.filter(({ run, ageMs }) =>
      ageMs <= maxAgeMs && !known?.has(run)
    );
    const counted = news.filter(({ run, ageMs }) =>
      this.#recordCrash(fingerprint, { run, at: now - ageMs }, now)
    );
    if (counted.length === news.length) {
      this.#recordCount(fingerprint, count);
    }
    return counted.map(({ run }) => run);
  }

  /** Many requests coincide with one crash; after a while that is no longer news. */
  #isWorthReporting(fingerprint: Fingerprint, now: number): boolean {
    const times = this.#countedCrashes(fingerprint, now);
    return this.crashesOf(fingerprint, now) > 1 ||
      times.some((at) => now - at < SINGLE_CRASH_REPORT_MS);
  }

  #reportOf(fingerprint: Fingerprint, now: number): HeldBackReport {
    const crashes = this.#unexpired(fingerprint, now)?.crashes ?? [];
    const completedAt = this.#completedAt.get(fingerprint);
    return {
      fingerprint,
      crashes: [...crashes].map(([run, at]) => ({
        run,
        ageMs: Math.max(0, Math.round(now - at)),
      })),
      count: this.crashesOf(fingerprint, now),
      ...(completedAt === undefined
        ? {}
        : { completedAgeMs: Math.max(0, Math.round(now - completedAt)) }),
    };
  }

  #countedCrashes(fingerprint: Fingerprint, now: number): readonly number[] {
    return [...this.#unexpired(fingerprint, now)?.crashes.values() ?? []];
  }

  #unexpired(
    fingerprint: Fingerprint,
    now: number,
  ): HeldBackEntry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined && entry.expiresAt <= now) {
      this.#entries.delete(fingerprint);
      return undefined;
    }
    return entry;
  }

  /** Returns false if a completion has cleared the request of this crash. */
  #recordCrash(
    fingerprint: Fingerprint,
    { run, at }: { readonly run: TargetRun; readonly at: number },
    now: number,
  ): boolean {
    if (this.isCleared(fingerprint, at)) {
      this.reportCompletion(fingerprint, now);
      return false;
    }
    const old = this.#unexpired(fingerprint, now);
    const crashes = new Map(old?.crashes);
    crashes.set(run, Math.min(crashes.get(run) ?? Infinity, at));
    const expiresAt = Math.max(
      old?.expiresAt ?? 0,
      at + this.#policy.lifetimeMs,
    );
    const reportedCount = old?.reportedCount ?? 0;
    const entry = { crashes, reportedCount, expiresAt };
    putNewest(this.#entries, fingerprint, entry);
    return true;
  }

  #recordCount(fingerprint: Fingerprint, count: number): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined && count > entry.reportedCount) {
      this.#entries.set(fingerprint, { ...entry, reportedCount: count });
    }
  }

  /** Records a completion, and drops the crashes that it clears the request of. */
  #recordCompletion(fingerprint: Fingerprint, at: number, now: number): void {
    const completedAt = this.#completedAt.get(fingerprint) ?? -Infinity;
    putNewest(this.#completedAt, fingerprint, Math.max(completedAt, at));
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) {
      return;
    }
    const counted = [...entry.crashes]
      .filter(([_, crashedAt]) => !this.isCleared(fingerprint, crashedAt));
    if (counted.length === entry.crashes.size) {
      return;
    }
    this.reportCompletion(fingerprint, now);
    if (counted.length === 0) {
      this.#entries.delete(fingerprint);
    } else {
      this.#entries.set(fingerprint, {
        ...entry,
        crashes: new Map(counted),
        reportedCount: 0,
      });
    }
  }
}

/** Keeps the map ordered by last update, and drops its oldest item if there are too many. */
function putNewest<T>(
  items: Map<Fingerprint, T>,
  fingerprint: Fingerprint,
  item: T,
): void {
  items.delete(fingerprint);
  items.set(fingerprint, item);
  if (items.size > MAX_ENTRIES) {
    const [oldest] = items.keys();
    items.delete(oldest!);
  }
}
