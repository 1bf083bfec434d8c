/**
 * The data of held-back requests: what identifies them, the policy, verdicts and
 * messages.
 *
 * @module
 */

import type { Brand, TargetId } from "@poplarthread/ids";

/**
 * Identifies a request across retries: caller and key, or caller, method, path
 * and body digest.
 */
export type Fingerprint = Brand<"Fingerprint">;

/** Identifies one run of a target, from its start to its end. */
export type TargetRun = Brand<"TargetRun">;

/**
 * Identifies a run of a target by its id and, where targets start again under
 * their id, what tells their starts apart.
 */
export function targetRun(
  target: TargetId,
  start?: string | number,
): TargetRun {
  const run = start === undefined ? target : `${target}@${start}`;
  return run as string as TargetRun;
}

/** When requests are held back, and for how long. */
export interface HeldBackPolicy {
  /** Crashes after which a request is held back. */
  readonly minCrashes: number;
  /** How long a crash counts after the latest one of its request. */
  readonly lifetimeMs: number;
  /** How long a request is held back at first; doubled with each further crash. */
  readonly firstHoldMs: number;
  readonly maxHoldMs: number;
  /** How long a completion shows that a request does not crash its targets. */
  readonly completionMs: number;
  /** More crashes than this within two seconds count against no request. */
  readonly maxCrashesInBurst: number;
}

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
  /** The request was in flight on this run of a target when that crashed. */
  | {
    readonly kind: "coincided";
    readonly fingerprint: Fingerprint;
    readonly target: TargetRun;
    readonly remainingMs: number;
  }
  /** A target completed the request. */
  | {
    readonly kind: "completed";
    readonly fingerprint: Fingerprint;
    readonly remainingMs: number;
  };
