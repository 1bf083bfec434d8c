/**
 * Detects requests that crash their targets, and holds them back.
 *
 * A target that crashes breaks all its connections at once; one that breaks only some
 * of them has not crashed. Failures on a target are therefore collected for a short
 * time, and count as a crash only if no other request on it completed meanwhile.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  type Fingerprint,
  HeldBack,
  type HeldBackMessage,
  type TargetRun,
  targetRun,
} from "@poplarthread/coordination";
import type { TargetId } from "@poplarthread/ids";
import type { HeldBackStatus } from "@poplarthread/operator-api";
import type { Attempt, AttemptEnd } from "./http/attempt.ts";
import type { AttemptObserver, Exchange } from "./http/exchange.ts";
import { Task } from "./task.ts";

/** Messages of the task. */
export type CrashWatchMessage =
  /** The window for collecting failures on a target has ended. */
  | { readonly kind: "judge"; readonly target: TargetId }
  | { readonly kind: "peer"; readonly message: HeldBackMessage };

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
  /** Publishes a message to all VMs. */
  readonly publish: (message: HeldBackMessage) => void;
  readonly onEnded: (attempt: Attempt, end: AttemptEnd) => void;
}

/** The connections of a crashed process break within one network round trip; 50 ms is one and a half round trips between zones. */
const GATHER_WINDOW_MS = 50;
/** Maximum number of entries kept for the operators' status. */
const MAX_STATUS_ENTRIES = 100;

interface Suspicion {
  readonly fingerprints: Set<Fingerprint>;
  /** Whether a request on the target completed after the first failure. */
  isAlive: boolean;
}

/** Owns the table of held-back requests. */
export class CrashWatch extends Task<CrashWatchMessage>
  implements AttemptObserver {
  readonly #options: CrashWatchOptions;
  readonly #heldBack = new HeldBack();
  readonly #suspicions = new Map<TargetId, Suspicion>();
  /** Targets that crashed with each fingerprint, for the status; newest last. */
  readonly #statusEntries = new Map<Fingerprint, Set<TargetRun>>();

  constructor(options: CrashWatchOptions) {
    super("crash-watch");
    this.#options = options;
  }

  /** Number of entries in the table. */
  get size(): number {
    return this.#heldBack.size;
  }

  heldBackFor(exchange: Exchange): number {
    if (this.#heldBack.size === 0) {
      return 0;
    }
    const fingerprint = fingerprintOf(exchange);
    if (fingerprint === undefined) {
      return 0;
    }
    const verdict = this.#heldBack.verdict(fingerprint, performance.now());
    return verdict.kind === "held-back" ? verdict.retryAfterMs : 0;
  }

  attemptEnded(exchange: Exchange, attempt: Attempt, end: AttemptEnd): void {
    this.#options.onEnded(attempt, end);
    switch (end) {
      case "failed-after-sent":
        this.#suspect(exchange, attempt);
        return;
      case "answered":
      case "answered-error":
        this.#markAlive(exchange, attempt);
        return;
      default:
        return;
    }
  }

  statuses(now: number): readonly HeldBackStatus[] {
    return [...this.#statusEntries].flatMap(([fingerprint, deaths]) => {
      const verdict = this.#heldBack.verdict(fingerprint, now);
      return verdict.kind === "held-back"
        ? [{
          fingerprint,
          deaths: deaths.size,
          forMs: Math.round(verdict.retryAfterMs),
        }]
        : [];
    });
  }

  protected override open(): void {}

  protected override receive(message: CrashWatchMessage): void {
    switch (message.kind) {
      case "judge":
        this.#assess(message.target);
        return;
      case "peer":
        this.#heldBack.receive(message.message, performance.now());
        this.#recordForStatus(message.message);
        return;
    }
  }

  protected override close(): void {
    this.#suspicions.clear();
  }

  #suspect(exchange: Exchange, attempt: Attempt): void {
    const fingerprint = fingerprintOf(exchange);
    if (fingerprint === undefined) {
      return;
    }
    const { target } = attempt;
    let suspicion = this.#suspicions.get(target);
    if (suspicion === undefined) {
      suspicion = { fingerprints: new Set(), isAlive: false };
      this.#suspicions.set(target, suspicion);
      this.sendAfter(GATHER_WINDOW_MS, { kind: "judge", target });
    }
    suspicion.fingerprints.add(fingerprint);
  }

  #markAlive(exchange: Exchange, attempt: Attempt): void {
    const suspicion = this.#suspicions.get(attempt.target);
    if (suspicion !== undefined) {
      suspicion.isAlive = true;
    }
    if (this.#heldBack.size > 0) {
      const fingerprint = fingerprintOf(exchange);
      if (fingerprint !== undefined) {
        this.#heldBack.completed(fingerprint, performance.now())
          .forEach((message) => this.#options.publish(message));
      }
    }
  }

  #assess(target: TargetId): void {
    const suspicion = this.#suspicions.get(target);
    this.#suspicions.delete(target);
    if (suspicion === undefined || suspicion.isAlive) {
      return;
    }
    const messages = this.#heldBack.targetCrashed(
      targetRun(target),
      [...suspicion.fingerprints],
      performance.now(),
    );
    for (const message of messages) {
      this.#recordForStatus(message);
      this.#options.publish(message);
    }
  }

  #recordForStatus(message: HeldBackMessage): void {
    if (message.kind !== "coincided") {
      return;
    }
    const { fingerprint, target } = message;
    const deaths = this.#statusEntries.get(fingerprint) ?? new Set();
    this.#statusEntries.delete(fingerprint);
    this.#statusEntries.set(fingerprint, deaths.add(target));
    if (this.#statusEntries.size > MAX_STATUS_ENTRIES) {
      const [oldest] = this.#statusEntries.keys();
      this.#statusEntries.delete(oldest!);
    }
  }
}

/**
 * Identifies a request across repetitions by caller and key, or by caller, method,
 * path and body. Undefined for a streamed body without a key.
 */
function fingerprintOf(exchange: Exchange): Fingerprint | undefined {
  const { head, req } = exchange;
  const hash = createHash("sha256").update(`${head.caller}\n`);
  if (head.key !== undefined) {
    hash.update(`key ${head.key}`);
  } else {
    const body = exchange.bufferedBody;
    if (body === undefined) {
      return undefined;
    }
    hash.update(`${req.method} ${req.url}\n`).update(body ?? "");
  }
  return hash.digest("base64url") as Fingerprint;
}
