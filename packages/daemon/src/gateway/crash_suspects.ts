/**
 * Tracks requests that may crash their targets.
 *
 * A request may crash every target that starts to run it, while its caller keeps
 * resending it. If it were always sent on, it would take down the targets of a
 * service one after the other; the symptom is targets that restart after the same
 * last request. A crash counts against a request if an attempt of it got no response
 * from a run of a target that then ended. What follows from that, on all VMs alike,
 * is decided by {@link HeldBack}.
 *
 * @module
 */

import {
  type Fingerprint,
  HeldBack,
  type HeldBackPolicy,
  type HeldBackReport,
  isRepeated,
  type TargetRun,
} from "@poplarthread/coordination/held_back";
import type { ReachState } from "@poplarthread/placement";
import { CountedCrashes } from "./counted_crashes.ts";
import { CrashTrials, type TurnPlace } from "./crash_trials.ts";
import { type RunEnd, UnansweredAttempts } from "./unanswered_attempts.ts";

/**
 * Three crashes: one or two can coincide with any request while targets fail for other
 * reasons. A completion counts for a short time only, so that a request is held back
 * that begins to crash its targets later. There is no burst: targets of a zone that
 * fall together are told from a request by its completions elsewhere.
 */
const POLICY: HeldBackPolicy = {
  minCrashes: 3,
  lifetimeMs: 1_200_000,
  firstHoldMs: 60_000,
  maxHoldMs: 600_000,
  completionMs: 10_000,
  maxCrashesInBurst: Infinity,
};
/** Time after which further targets would have become unreachable if this VM were cut off. */
const SETTLE_MS = 300;
/** Retry-After of a request while it is not settled whether targets crashed under it. */
const UNSETTLED_RETRY_MS = 1_000;

/** A crash of a target under a request. */
export interface SuspectedCrash {
  /** What repeats of the request have in common. */
  readonly digest: Fingerprint;
  readonly target: TargetRun;
}

/** Why a crash does not count against a request whose attempt broke on the target. */
export type UncountedReason =
  /** A target has responded to the same request shortly before, or since. */
  | "succeeded"
  /** This VM turned out to reach no targets. */
  | "no-links";

/** What the tracker has found out. */
export type CrashFinding =
  | {
    readonly kind: "counted";
    readonly crash: SuspectedCrash;
    /** Crashes under the request that this VM knows of. */
    readonly crashes: number;
  }
  | {
    readonly kind: "uncounted";
    readonly crash: SuspectedCrash;
    readonly reason: UncountedReason;
  }
  /** Another VM has counted a crash that this one did not know. */
  | {
    readonly kind: "reported";
    readonly crash: SuspectedCrash;
    readonly crashes: number;
  }
  | {
    readonly kind: "held-back";
    readonly digest: Fingerprint;
    readonly forMs: number;
    readonly crashes: number;
  }
  /** Reports to other VMs leave out so many requests under which several targets crashed. */
  | { readonly kind: "without-room"; readonly suspects: number };

/** Options of {@link CrashSuspects}. */
export interface CrashSuspectsOptions {
  /** Sends the reports to the other VMs, soon. */
  publish(): void;
  /** This VM's place among all VMs; the only one by default. */
  place?(): TurnPlace;
  /** Whether this VM reaches targets; that it does, by default. */
  reach?(): ReachState;
  /** Called with each finding, for log and metrics; not at all by default. */
  found?(finding: CrashFinding): void;
}

/** The crash tracker of one VM; see the module comment. Times are milliseconds of the monotonic clock. */
export class CrashSuspects {
  readonly #options: CrashSuspectsOptions;
  readonly #heldBack = new HeldBack(POLICY);
  readonly #unanswered = new UnansweredAttempts();
  readonly #counted = new CountedCrashes(this.#heldBack);
  /** Requests that were held back and may run again, by turns. */
  readonly #trials = new Map<Fingerprint, CrashTrials>();
  /** Requests with several crashes that the latest reports left out, by the room of the reports. */
  readonly #leftOut = new Map<number, number>();

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
  }

  /** Number of requests that are held back. */
  countHeldBack(now: number): number {
    return this.#heldBack.countHeldBack(now);
  }

  /** Records that a target has responded to the request with success. */
  attemptSucceeded(fingerprints: readonly Fingerprint[], now: number): void {
    fingerprints.forEach((fingerprint) =>
      this.#heldBack.completed(fingerprint, now)
    );
  }

  /**
   * Records that an attempt of this VM ended without a response. This alone proves no
   * crash: connections are reset for many reasons.
   */
  attemptUnanswered(
    fingerprints: readonly Fingerprint[],
    run: TargetRun,
    now: number,
  ): void {
    const hasEnded = this.#unanswered.add(run, { fingerprints, at: now });
    if (hasEnded) {
      this.#countCrash(run, { fingerprints, at: now }, now);
    }
  }

  /** Records that a run has responded to something that was sent at `sentAt`. */
  runResponded(run: TargetRun, sentAt: number): void {
    this.#unanswered.responded(run, sentAt);
  }

  /**
   * Records that the address of a run refused a connection. The run has ended if this
   * VM reaches other targets, which {@link settle} tells.
   */
  runRefused(run: TargetRun, now: number): void {
    if (this.#reach !== "cut-off") {
      this.#unanswered.refused(run, now);
    }
  }

  /** Records that a run does not respond on a new connection, which proves no end of it. */
  runUnresponsive(run: TargetRun): void {
    if (this.#reach !== "cut-off") {
      this.#unanswered.unresponsive(run);
    }
  }

  /** Records that a run has ended. */
  runEnded(run: TargetRun, end: RunEnd, now: number): void {
    for (const attempt of this.#unanswered.ended(run, end, now)) {
      this.#countCrash(run, attempt, now);
    }
  }

  /**
   * Takes runs whose addresses have refused connections for a while for ended, or
   * forgets that if this VM has turned out to be cut off from all targets. Must be
   * called regularly.
   */
  settle(now: number): void {
    this.#unanswered.sweep(now);
    for (const digest of this.#trials.keys()) {
      if (this.#heldBack.heldUntil(digest, now) === undefined) {
        this.#trials.delete(digest);
      }
    }
    switch (this.#reach) {
      case "in-doubt":
        return;
      case "cut-off":
        for (
          const [target, { fingerprints }] of this.#unanswered.forgetRefusals()
        ) {
          this.#foundUncounted(fingerprints, target, "no-links");
        }
        return;
      case "reached":
        for (const run of this.#unanswered.refusedFor(SETTLE_MS, now)) {
          this.runEnded(run, "gone", now);
        }
        return;
    }
  }

  /** What other VMs should know, with at most `maxCrashes` crashes. */
  reports(now: number, maxCrashes: number): readonly HeldBackReport[] {
    const reports = this.#heldBack.reports(now, maxCrashes);
    const repeated = this.#heldBack.countRepeated(now);
    const leftOut = repeated - reports.filter(isRepeated).length;
    if (leftOut !== (this.#leftOut.get(maxCrashes) ?? 0)) {
      this.#leftOut.set(maxCrashes, leftOut);
      this.#options.found?.({ kind: "without-room", suspects: leftOut });
    }
    return reports;
  }

  /** What the platform's store should hold; see {@link CountedCrashes.reports}. */
  reportsToRecord(
    now: number,
    options: { isHeardByAll(): boolean },
  ): readonly HeldBackReport[] {
    return this.#counted.reports(now, options);
  }

  /** Applies a report of another VM. */
  merge(report: HeldBackReport, now: number): void {
    const digest = report.fingerprint;
    const wasHeldBack = this.#isHeldBack(digest, now);
    const news = this.#heldBack.merge(report, now);
    const crashes = this.#heldBack.crashesOf(digest, now);
    for (const target of news) {
      const crash = { digest, target };
      this.#options.found?.({ kind: "reported", crash, crashes });
    }
    this.#announceHold(digest, wasHeldBack, now);
  }

  /** Whether a target has crashed under the request: an attempt that breaks is then not repeated. */
  isSuspect(fingerprints: readonly Fingerprint[], now: number): boolean {
    return fingerprints.some((fingerprint) =>
      this.#heldBack.verdict(fingerprint, now).kind !== "free"
    );
  }

  /** How much longer a copy of the request is held back; 0 if it may run. */
  heldBackMs(
    fingerprints: readonly Fingerprint[],
    now: number,
    copy: object = {},
  ): number {
    const heldMs = Math.max(
      0,
      ...fingerprints.map((fingerprint) => this.#heldMs(fingerprint, now)),
    );
    return heldMs > 0 ? heldMs : this.#trialWaitMs(fingerprints, now, copy);
  }

  /** How long a copy must wait for its turn after the request was held back. */
  #trialWaitMs(
    fingerprints: readonly Fingerprint[],
    now: number,
    copy: object,
  ): number {
    const [last] = fingerprints
      .flatMap((digest) => {
        const heldUntil = this.#heldBack.heldUntil(digest, now);
        return heldUntil === undefined ? [] : [{ digest, heldUntil }];
      })
      .toSorted((a, b) => b.heldUntil - a.heldUntil);
    if (last === undefined) {
      return 0;
    }
    const trials = this.#trials.get(last.digest) ?? new CrashTrials();
    this.#trials.set(last.digest, trials);
    const place = this.#options.place?.() ?? { position: 0, vms: 1 };
    return trials.waitMs(copy, { now, heldUntil: last.heldUntil, place });
  }

  #heldMs(fingerprint: Fingerprint, now: number): number {
    const verdict = this.#heldBack.verdict(fingerprint, now);
    if (verdict.kind === "held-back") {
      return verdict.retryAfterMs;
    }
    if (this.#reach !== "reached") {
      return 0;
    }
    const unsettled = this.#unanswered.countSuspected(fingerprint);
    const crashes = this.#heldBack.crashesOf(fingerprint, now) + unsettled;
    return unsettled === 0 || crashes < POLICY.minCrashes
      ? 0
      : UNSETTLED_RETRY_MS;
  }

  #countCrash(
    target: TargetRun,
    { fingerprints, at }: {
      readonly fingerprints: readonly Fingerprint[];
      readonly at: number;
    },
    now: number,
  ): void {
    for (const digest of fingerprints) {
      if (this.#heldBack.knowsCrash(digest, target)) {
        continue;
      }
      if (this.#heldBack.isCleared(digest, at)) {
        this.#foundUncounted([digest], target, "succeeded");
        this.#heldBack.reportCompletion(digest, now);
        continue;
      }
      const wasHeldBack = this.#isHeldBack(digest, now);
      this.#heldBack.targetCrashed(target, [digest], now);
      this.#counted.add(digest, target, now);
      const crashes = this.#heldBack.crashesOf(digest, now);
      const crash = { digest, target };
      this.#options.found?.({ kind: "counted", crash, crashes });
      this.#announceHold(digest, wasHeldBack, now);
      this.#options.publish();
    }
  }

  #isHeldBack(digest: Fingerprint, now: number): boolean {
    return this.#heldBack.verdict(digest, now).kind === "held-back";
  }

  #announceHold(digest: Fingerprint, wasHeldBack: boolean, now: number): void {
    const verdict = this.#heldBack.verdict(digest, now);
    if (!wasHeldBack && verdict.kind === "held-back") {
      const forMs = verdict.retryAfterMs;
      const crashes = this.#heldBack.crashesOf(digest, now);
      this.#options.found?.({ kind: "held-back", digest, forMs, crashes });
    }
  }

  #foundUncounted(
    digests: readonly Fingerprint[],
    target: TargetRun,
    reason: UncountedReason,
  ): void {
    for (const digest of digests) {
      const crash = { digest, target };
      this.#options.found?.({ kind: "uncounted", crash, reason });
    }
  }

  get #reach(): ReachState {
    return this.#options.reach?.() ?? "reached";
  }
}
