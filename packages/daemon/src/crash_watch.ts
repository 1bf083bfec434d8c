/**
 * Finds requests that crash the targets they reach, and holds them back.
 *
 * A target that dies breaks all its connections at once; a target that breaks
 * one connection of several has not died. So what fails on a target is gathered
 * for a moment, and counts as a death only if nothing on it went on.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  type Fingerprint,
  HeldBack,
  type HeldBackMessage,
} from "@poplarthread/coordination";
import type { TargetId } from "@poplarthread/ids";
import type { HeldBackStatus } from "@poplarthread/operator-api";
import type { Attempt, AttemptEnd } from "./http/attempt.ts";
import type { AttemptWatch, Exchange } from "./http/exchange.ts";
import { Task } from "./task.ts";

/** What the task is told. */
export type CrashWatchMessage =
  /** The moment to gather failures on a target is over. */
  | { readonly kind: "judge"; readonly target: TargetId }
  | { readonly kind: "peer"; readonly message: HeldBackMessage };

/** Construction of the task. */
export interface CrashWatchOptions {
  /** Tells all VMs. */
  readonly publish: (message: HeldBackMessage) => void;
  readonly onEnded: (attempt: Attempt, end: AttemptEnd) => void;
}

/** Connections of one process break within one turn of the network; 50 ms spans a round trip and a half between zones. */
const GATHER_MS = 50;
/** Entries remembered for the operators' status. */
const MAX_SHOWN = 100;

interface Suspicion {
  readonly fingerprints: Set<Fingerprint>;
  /** Something on the target went on after the first failure. */
  alive: boolean;
}

/** Owns the table of held-back requests. */
export class CrashWatch extends Task<CrashWatchMessage>
  implements AttemptWatch {
  readonly #options: CrashWatchOptions;
  readonly #heldBack = new HeldBack();
  readonly #suspicions = new Map<TargetId, Suspicion>();
  /** Fingerprints that were heard of, for the status; newest last. */
  readonly #shown = new Map<Fingerprint, Set<TargetId>>();

  constructor(options: CrashWatchOptions) {
    super("crash-watch");
    this.#options = options;
  }

  /** Entries in the table. */
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
        this.#vouch(exchange, attempt);
        return;
      default:
        return;
    }
  }

  statuses(now: number): readonly HeldBackStatus[] {
    return [...this.#shown].flatMap(([fingerprint, deaths]) => {
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
        this.#judge(message.target);
        return;
      case "peer":
        this.#heldBack.receive(message.message, performance.now());
        this.#show(message.message);
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
      suspicion = { fingerprints: new Set(), alive: false };
      this.#suspicions.set(target, suspicion);
      this.sendAfter(GATHER_MS, { kind: "judge", target });
    }
    suspicion.fingerprints.add(fingerprint);
  }

  #vouch(exchange: Exchange, attempt: Attempt): void {
    const suspicion = this.#suspicions.get(attempt.target);
    if (suspicion !== undefined) {
      suspicion.alive = true;
    }
    if (this.#heldBack.size > 0) {
      const fingerprint = fingerprintOf(exchange);
      if (fingerprint !== undefined) {
        this.#heldBack.completed(fingerprint, performance.now())
          .forEach((message) => this.#options.publish(message));
      }
    }
  }

  #judge(target: TargetId): void {
    const suspicion = this.#suspicions.get(target);
    this.#suspicions.delete(target);
    if (suspicion === undefined || suspicion.alive) {
      return;
    }
    const messages = this.#heldBack.targetCrashed(
      target,
      [...suspicion.fingerprints],
      performance.now(),
    );
    for (const message of messages) {
      this.#show(message);
      this.#options.publish(message);
    }
  }

  #show(message: HeldBackMessage): void {
    if (message.kind !== "coincided") {
      return;
    }
    const { fingerprint, target } = message;
    const deaths = this.#shown.get(fingerprint) ?? new Set();
    this.#shown.delete(fingerprint);
    this.#shown.set(fingerprint, deaths.add(target));
    if (this.#shown.size > MAX_SHOWN) {
      const [oldest] = this.#shown.keys();
      this.#shown.delete(oldest!);
    }
  }
}

/**
 * What makes two sendings the same request: caller and key, or caller, method,
 * path and body. Undefined for a streamed body without a key.
 */
function fingerprintOf(exchange: Exchange): Fingerprint | undefined {
  const { head, req } = exchange;
  const hash = createHash("sha256").update(`${head.caller}\n`);
  if (head.key !== undefined) {
    hash.update(`key ${head.key}`);
  } else {
    const whole = exchange.wholeBody;
    if (whole === undefined) {
      return undefined;
    }
    hash.update(`${req.method} ${req.url}\n`).update(whole ?? "");
  }
  return hash.digest("base64url") as Fingerprint;
}
