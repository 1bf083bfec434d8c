/**
 * Tracks requests that may crash their targets.
 *
 * A request may crash every target that starts to run it, while its caller keeps
 * resending it. If it were always sent on, it would take down the targets of a
 * service one after the other; the symptom is targets that restart after the same
 * last request. A request whose attempts broke on several crashed targets is held
 * back for a while on all VMs, which send each other crash reports.
 *
 * A popular request runs on several targets at any time, and breaks on all of them
 * when they fall together, with their zone for example. It crashes none of them if
 * others respond to it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Buffer } from "node:buffer";
import type { TargetId } from "@poplarthread/ids";
import type { ReachState } from "@poplarthread/placement";

/** Number of crashed targets after which a request is held back. One or two can coincide with any request while targets fail for other reasons. */
const MIN_CRASHES = 3;
/** How long a crash counts and a request is held back. */
const CRASH_TTL_MS = 30_000;
/** How long a success shows that a request does not crash its targets. */
const SUCCESS_TTL_MS = 10_000;
/** Maximum time from a broken attempt to the crash it is linked to. The crash is detected when the next request or probe fails to connect to the target. */
const CRASH_WINDOW_MS = 1_500;
/** Time after which further targets would have become unreachable if this VM were cut off. */
const SETTLE_MS = 300;
/** Maximum number of digests kept, about 100 bytes each. */
const MAX_DIGESTS = 2_000;
/** Length of a digest in base64 characters: enough to distinguish some thousand requests. */
const DIGEST_CHARACTERS = 12;

/** A crash report, as VMs send it to each other. */
export interface SuspectedCrash {
  readonly digest: string;
  readonly target: TargetId;
}

/** Why a crash does not count against a request whose attempt broke on the target. */
export type UncountedReason =
  /** The attempt broke too long before the crash was noticed. */
  | "late"
  /** A target has responded to the same request shortly before, or since. */
  | "succeeded"
  /** This VM turned out to reach no targets. */
  | "no-links";

/** What the tracker has found out. */
export type CrashFinding =
  | { readonly kind: "counted"; readonly crash: SuspectedCrash }
  | {
    readonly kind: "uncounted";
    readonly crash: SuspectedCrash;
    readonly reason: UncountedReason;
  }
  /** Another VM has counted a crash that this one did not know. */
  | { readonly kind: "reported"; readonly crash: SuspectedCrash }
  | {
    readonly kind: "held-back";
    readonly digest: string;
    readonly forMs: number;
  };

/** Options of {@link CrashSuspects}. */
export interface CrashSuspectsOptions {
  /** Sends a crash report to the other VMs. */
  publish(crash: SuspectedCrash): void;
  /** Called with each finding, for log and metrics; not at all by default. */
  found?(finding: CrashFinding): void;
}

/** The crash tracker of one VM; see the module comment. Times are milliseconds of the monotonic clock. */
export class CrashSuspects {
  readonly #options: CrashSuspectsOptions;
  /** Time of the latest crash, by digest and target, so that each target counts once. */
  readonly #crashes = new Map<string, Map<TargetId, number>>();

  /** When a target last responded with success to a request, by digest. */
  readonly #succeededAt = new Map<string, number>();

  /** Time of recently broken attempts, by target and digest, until a crash of the target is detected. */
  readonly #recentFailures = new Map<TargetId, Map<string, number>>();

  /** Targets that became unreachable, until it is settled whether they crashed. */
  readonly #unreachableSince = new Map<TargetId, number>();

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
  }

  /** Number of requests that are held back. */
  countHeldBack(now: number): number {
    return [...this.#crashes.keys()]
      .filter((digest) => this.heldBackMs(digest, now) > 0).length;
  }

  /** Returns a digest of method, URL and body, which is equal for repeats of a request. */
  digestOf(method: string, url: string, body: Buffer | undefined): string {
    const hash = createHash("sha1").update(`${method} ${url}\n`);
    if (body !== undefined) {
      hash.update(body);
    }
    return hash.digest("base64").slice(0, DIGEST_CHARACTERS);
  }

  /** Records that a target has responded to the request with success. */
  attemptSucceeded(digest: string | undefined, now: number): void {
    if (digest === undefined) {
      return;
    }
    this.#succeededAt.delete(digest);
    this.#succeededAt.set(digest, now);
    dropOldest(this.#succeededAt);
  }

  /** Records that an attempt of this VM broke. This alone proves no crash: connections are reset for many reasons. */
  attemptBroke(
    digest: string | undefined,
    target: TargetId,
    now: number,
  ): void {
    if (digest === undefined) {
      return;
    }
    const recent = this.#recentFailures.get(target) ??
      new Map<string, number>();
    recent.set(digest, now);
    this.#recentFailures.set(target, recent);
  }

  /**
   * Records that no connection to a target could be established. That is a crash only
   * if this VM reaches other targets, which {@link settleUnreachable} tells.
   */
  targetUnreachable(target: TargetId, now: number): void {
    if (!this.#unreachableSince.has(target)) {
      this.#unreachableSince.set(target, now);
    }
  }

  /**
   * Takes targets that became unreachable a while ago for crashed, or forgets them if this
   * VM has turned out to be cut off from all targets. Must be called regularly.
   */
  settleUnreachable(reach: ReachState, now: number): void {
    switch (reach) {
      case "in-doubt":
        return;
      case "cut-off":
        for (const target of this.#unreachableSince.keys()) {
          this.#discard(target, "no-links");
        }
        this.#unreachableSince.clear();
        this.#recentFailures.clear();
        return;
      case "reached":
        break;
    }
    for (const [target, since] of this.#unreachableSince) {
      if (now - since >= SETTLE_MS) {
        this.#unreachableSince.delete(target);
        this.targetCrashed(target, since);
      }
    }
  }

  /** Links a crash of a target to the attempts that broke on it shortly before. */
  targetCrashed(target: TargetId, now: number): void {
    for (const [digest, brokeAt] of this.#recentFailures.get(target) ?? []) {
      const crash = { digest, target };
      if (this.#isCleared(digest, brokeAt)) {
        this.#found({ kind: "uncounted", crash, reason: "succeeded" });
      } else if (now - brokeAt >= CRASH_WINDOW_MS) {
        this.#found({ kind: "uncounted", crash, reason: "late" });
      } else {
        this.#found({ kind: "counted", crash });
        this.#record(crash, now);
        this.#options.publish(crash);
      }
    }
    this.#recentFailures.delete(target);
  }

  /** Records a crash that another VM reported. */
  recordReport(crash: SuspectedCrash, now: number): void {
    const { digest, target } = crash;
    if (!this.#crashes.get(digest)?.has(target)) {
      this.#found({ kind: "reported", crash });
    }
    this.#record(crash, now);
  }

  #record({ digest, target }: SuspectedCrash, now: number): void {
    const wasHeldBack = this.heldBackMs(digest, now) > 0;
    const targets = this.#crashes.get(digest) ?? new Map<TargetId, number>();
    this.#crashes.delete(digest);
    targets.set(target, now);
    this.#crashes.set(digest, targets);
    dropOldest(this.#crashes);
    const forMs = this.heldBackMs(digest, now);
    if (!wasHeldBack && forMs > 0) {
      this.#found({ kind: "held-back", digest, forMs });
    }
  }

  #discard(target: TargetId, reason: UncountedReason): void {
    for (const digest of this.#recentFailures.get(target)?.keys() ?? []) {
      this.#found({ kind: "uncounted", crash: { digest, target }, reason });
    }
  }

  #found(finding: CrashFinding): void {
    this.#options.found?.(finding);
  }

  /** How much longer the request is held back; 0 if it may run. */
  heldBackMs(digest: string, now: number): number {
    const targets = this.#crashes.get(digest);
    if (targets === undefined || targets.size < MIN_CRASHES) {
      return 0;
    }
    const times = [...targets.values()]
      .filter((crashedAt) => !this.#isCleared(digest, crashedAt))
      .toSorted((a, b) => b - a);
    const decidingAt = times[MIN_CRASHES - 1] ?? -Infinity;
    return Math.max(0, decidingAt + CRASH_TTL_MS - now);
  }

  /** Whether a target has responded to the request shortly before a crash, or since. */
  #isCleared(digest: string, crashedAt: number): boolean {
    const succeededAt = this.#succeededAt.get(digest) ?? -Infinity;
    return crashedAt - succeededAt < SUCCESS_TTL_MS;
  }
}

/** Keeps the latest {@link MAX_DIGESTS} entries. */
function dropOldest(byDigest: Map<string, unknown>): void {
  if (byDigest.size > MAX_DIGESTS) {
    const [oldest] = byDigest.keys();
    byDigest.delete(oldest!);
  }
}
