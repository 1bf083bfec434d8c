/**
 * Stops a request that crashes each target it reaches.
 *
 * A fingerprint that was in flight on two targets when they died is held back
 * on all VMs for a bounded time. A request that merely shared a target with it
 * is told apart by two rules: a fingerprint that was ever completed is
 * innocent, and two suspects are never put on the same target (see
 * {@link HeldBack.verdict}), so that the second death names one of them.
 *
 * @module
 */

import type { Brand, TargetId } from "@poplarthread/ids";

/** What makes two sendings the same request: caller and key, or caller, method, path and body digest. */
export type Fingerprint = Brand<"Fingerprint">;

/** Deaths that convict; one coincidence is bad luck, which every slot of a target shares. */
const DEATHS_TO_HOLD = 2;
/** How long a conviction or a suspicion lasts: time for an operator to see it and for callers to give up. */
const LIFETIME_MS = 600_000;
/** Entries at most. 4,096 of about 300 bytes take 1.2 MB; the oldest gives way. */
const MAX_ENTRIES = 4_096;
/** More deaths than this in {@link BURST_MS} are a rack, a zone or a release, not a request. */
const MAX_DEATHS_IN_BURST = 3;
/** A caller sends again within seconds, a failing zone takes its targets within one heartbeat timeout. */
const BURST_MS = 2_000;

/** Whether a request may run. */
export type HeldBackVerdict =
  | { readonly kind: "free" }
  /** It was on a target that died: not on a target with another suspect. */
  | { readonly kind: "suspect" }
  /** Refuse it, at once; it may be sent again after `retryAfterMs`. */
  | { readonly kind: "held-back"; readonly retryAfterMs: number };

/** What the VMs tell each other; `remainingMs` is the time left of the entry. */
export type HeldBackMessage =
  | {
    readonly kind: "coincided";
    readonly fingerprint: Fingerprint;
    readonly target: TargetId;
    readonly remainingMs: number;
  }
  | {
    readonly kind: "completed";
    readonly fingerprint: Fingerprint;
    readonly remainingMs: number;
  };

interface Entry {
  readonly deaths: ReadonlySet<TargetId>;
  readonly completed: boolean;
  readonly expiresAt: number;
}

/** One VM's table of suspects and held-back requests. */
export class HeldBack {
  readonly #entries = new Map<Fingerprint, Entry>();
  #recentDeaths: number[] = [];

  /** Entries in the table. */
  get size(): number {
    return this.#entries.size;
  }

  /** Whether a request with this fingerprint may run now. */
  verdict(fingerprint: Fingerprint, now: number): HeldBackVerdict {
    const entry = this.#live(fingerprint, now);
    if (entry === undefined || entry.completed || entry.deaths.size === 0) {
      return { kind: "free" };
    }
    return entry.deaths.size < DEATHS_TO_HOLD
      ? { kind: "suspect" }
      : { kind: "held-back", retryAfterMs: entry.expiresAt - now };
  }

  /**
   * A target died with these requests sent and not answered. Answers what the
   * peers must hear.
   */
  targetDied(
    target: TargetId,
    inFlight: readonly Fingerprint[],
    now: number,
  ): readonly HeldBackMessage[] {
    this.#recentDeaths = this.#recentDeaths.filter((at) => now - at < BURST_MS);
    this.#recentDeaths.push(now);
    if (this.#recentDeaths.length > MAX_DEATHS_IN_BURST) {
      return [];
    }
    const messages = inFlight.map((fingerprint) => ({
      kind: "coincided" as const,
      fingerprint,
      target,
      remainingMs: LIFETIME_MS,
    }));
    messages.forEach((message) => this.hear(message, now));
    return messages;
  }

  /** A target answered this request in full: it crashes nobody. */
  completed(
    fingerprint: Fingerprint,
    now: number,
  ): readonly HeldBackMessage[] {
    if (this.verdict(fingerprint, now).kind === "free") {
      return [];
    }
    const remainingMs = LIFETIME_MS;
    const message = { kind: "completed", fingerprint, remainingMs } as const;
    this.hear(message, now);
    return [message];
  }

  /** A peer's message, in any order and any number of times. */
  hear(message: HeldBackMessage, now: number): void {
    const { fingerprint, remainingMs } = message;
    const old = this.#live(fingerprint, now);
    const deaths = new Set(old?.deaths);
    if (message.kind === "coincided") {
      deaths.add(message.target);
    }
    const heard = now + Math.min(remainingMs, LIFETIME_MS);
    this.#put(fingerprint, {
      deaths,
      completed: (old?.completed ?? false) || message.kind === "completed",
      expiresAt: Math.max(old?.expiresAt ?? 0, heard),
    });
  }

  #live(fingerprint: Fingerprint, now: number): Entry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined && entry.expiresAt <= now) {
      this.#entries.delete(fingerprint);
      return undefined;
    }
    return entry;
  }

  /** Keeps the map in order of last change, so that the first one is the oldest. */
  #put(fingerprint: Fingerprint, entry: Entry): void {
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, entry);
    if (this.#entries.size > MAX_ENTRIES) {
      const [oldest] = this.#entries.keys();
      this.#entries.delete(oldest!);
    }
  }
}
