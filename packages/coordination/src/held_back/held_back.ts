/**
 * Holds back requests that crash each target they reach.
 *
 * A fingerprint that was in flight on two targets when they crashed is held
 * back on all VMs for a limited time. Two rules protect a request that merely
 * shared a target with it: a fingerprint that a target has completed is not
 * held back, and two suspects are never sent to the same target (see
 * {@link HeldBack.verdict}), so that the second crash implicates only one of
 * them.
 *
 * @module
 */

import type { Brand, TargetId } from "@poplarthread/ids";

/**
 * Identifies a request across retries: caller and key, or caller, method, path
 * and body digest.
 */
export type Fingerprint = Brand<"Fingerprint">;

/**
 * Crashes after which a request is held back. One is no proof: every request on
 * a crashed target was in flight then.
 */
const MIN_CRASHES = 2;
/** Lifetime of an entry: enough for an operator to notice it and for callers to give up. */
const ENTRY_LIFETIME_MS = 600_000;
/**
 * Limit of the table; the oldest entry is evicted. 4,096 entries of about 300
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

/** Whether a request may be sent to a target. */
export type HeldBackVerdict =
  | { readonly kind: "free" }
  /**
   * It was in flight on a target that crashed; do not send it to a target that
   * runs another suspect.
   */
  | { readonly kind: "suspect" }
  /** Refuse it immediately; it may be retried after `retryAfterMs`. */
  | { readonly kind: "held-back"; readonly retryAfterMs: number };

/** Messages between VMs; `remainingMs` is the remaining lifetime of the entry. */
export type HeldBackMessage =
  /** The request was in flight on `target` when that crashed. */
  | {
    readonly kind: "coincided";
    readonly fingerprint: Fingerprint;
    readonly target: TargetId;
    readonly remainingMs: number;
  }
  /** A target completed the request. */
  | {
    readonly kind: "completed";
    readonly fingerprint: Fingerprint;
    readonly remainingMs: number;
  };

interface Entry {
  readonly crashedTargets: ReadonlySet<TargetId>;
  readonly isCompleted: boolean;
  readonly expiresAt: number;
}

/** One VM's table of suspected and held-back requests. */
export class HeldBack {
  readonly #entries = new Map<Fingerprint, Entry>();
  #recentCrashes: number[] = [];

  /** Number of entries in the table. */
  get size(): number {
    return this.#entries.size;
  }

  /** Returns whether a request with this fingerprint may be sent now. */
  verdict(fingerprint: Fingerprint, now: number): HeldBackVerdict {
    const entry = this.#unexpired(fingerprint, now);
    if (
      entry === undefined || entry.isCompleted ||
      entry.crashedTargets.size === 0
    ) {
      return { kind: "free" };
    }
    return entry.crashedTargets.size < MIN_CRASHES
      ? { kind: "suspect" }
      : { kind: "held-back", retryAfterMs: entry.expiresAt - now };
  }

  /**
   * Records that a target crashed with these requests in flight. Returns the
   * messages to send to the peers.
   */
  targetCrashed(
    target: TargetId,
    inFlight: readonly Fingerprint[],
    now: number,
  ): readonly HeldBackMessage[] {
    this.#recentCrashes = this.#recentCrashes.filter((at) =>
      now - at < CRASH_BURST_MS
    );
    this.#recentCrashes.push(now);
    if (this.#recentCrashes.length > MAX_CRASHES_IN_BURST) {
      return [];
    }
    const messages = inFlight.map((fingerprint) => ({
      kind: "coincided" as const,
      fingerprint,
      target,
      remainingMs: ENTRY_LIFETIME_MS,
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
    if (this.verdict(fingerprint, now).kind === "free") {
      return [];
    }
    const remainingMs = ENTRY_LIFETIME_MS;
    const message = { kind: "completed", fingerprint, remainingMs } as const;
    this.receive(message, now);
    return [message];
  }

  /** Applies a peer's message; messages may arrive in any order and repeatedly. */
  receive(message: HeldBackMessage, now: number): void {
    const { fingerprint, remainingMs } = message;
    const old = this.#unexpired(fingerprint, now);
    const crashedTargets = new Set(old?.crashedTargets);
    if (message.kind === "coincided") {
      crashedTargets.add(message.target);
    }
    const expiresAt = now + Math.min(remainingMs, ENTRY_LIFETIME_MS);
    this.#put(fingerprint, {
      crashedTargets,
      isCompleted: (old?.isCompleted ?? false) || message.kind === "completed",
      expiresAt: Math.max(old?.expiresAt ?? 0, expiresAt),
    });
  }

  #unexpired(fingerprint: Fingerprint, now: number): Entry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined && entry.expiresAt <= now) {
      this.#entries.delete(fingerprint);
      return undefined;
    }
    return entry;
  }

  /** Keeps the map ordered by last update, so that its first entry is the oldest. */
  #put(fingerprint: Fingerprint, entry: Entry): void {
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, entry);
    if (this.#entries.size > MAX_ENTRIES) {
      const [oldest] = this.#entries.keys();
      this.#entries.delete(oldest!);
    }
  }
}
