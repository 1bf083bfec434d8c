/**
 * A stand-in for the callers at one location: looks up entry VMs, sends requests,
 * falls back to the next VM, retries idempotent and keyed requests after an
 * unknown outcome, and checks that each response is complete and belongs to its
 * request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import {
  type AttemptResult,
  type CallerRequest,
  sendAttempt,
} from "./attempt.ts";
import { LookupCache } from "./lookup.ts";
import type { RequestKind } from "./request_kind.ts";
import { increment, type Outcome, Results } from "./results.ts";

/** Identity of the callers, and the VMs that they know. */
export interface CallerOptions {
  /** Prefix of caller names, keys and attempt names; unique across all callers. */
  readonly name: string;
  /** Local address of the callers' connections. */
  readonly localAddress: string;
  /** Addresses for the first look-up, `host:port`. */
  readonly bootstrap: readonly string[];
}

/** Options of one request. */
export interface SendOptions {
  /** Address of the VM to try first; by default the best one of the look-up. */
  readonly via?: string;
  /** Key of an earlier request, to repeat that request. */
  readonly key?: string;
  /**
   * Last path segment, by default the key or a number. Sending the same value again
   * repeats a request that has no key.
   */
  readonly pathSuffix?: string;
  /** Whether each target that runs the request crashes. */
  readonly crashesTarget?: boolean;
  /** Name of the caller; slots are divided fairly among caller names. */
  readonly caller?: string;
  /** Largest number of attempts; 1 means no retries. */
  readonly maxAttempts?: number;
}

/** Result of one request. */
export interface SendResult {
  readonly outcome: Outcome;
  readonly key: string;
  readonly attempts: readonly AttemptResult[];
}

/** Suffix of the names of attempts that must run at most once but have no key. */
export const AT_MOST_ONCE_SUFFIX = "/once";
/** One-way delay between callers and their nearest entry VM. */
const CALLER_TO_VM_DELAY_MS = 1;
const CONNECT_TIMEOUT_MS = 2_000;
/** Largest number of connections from one location to a VM. */
const MAX_CONNECTIONS_PER_VM = 64;
/** Largest number of attempts of one request, fallbacks and retries included. */
const MAX_ATTEMPTS = 6;
/** Wait before a retry if the refusal does not specify one. */
const DEFAULT_RETRY_WAIT_MS = 300;
/** Longest wait between two attempts, also if a refusal requests a longer one. */
const MAX_RETRY_WAIT_MS = 2_000;

/** The callers at one location, which share connections, look-up cache and results. */
export class Caller {
  readonly results = new Results();
  readonly #options: CallerOptions;
  readonly #pools = new Map<string, Pool>();
  readonly #lookup: LookupCache;
  #lastNumber = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
    this.#lookup = new LookupCache({
      bootstrap: options.bootstrap,
      dispatcherOf: (address) => this.#poolFor(address),
      onLookup: () => this.results.lookups += 1,
    });
  }

  /** Sends one request with fallbacks and retries, and records its outcome. */
  async send(
    kind: RequestKind,
    options: SendOptions = {},
  ): Promise<SendResult> {
    this.results.requests += 1;
    const startedAt = performance.now();
    const req = this.#createRequest(kind, options);
    await sleep(CALLER_TO_VM_DELAY_MS);
    const result = await this.#sendWithRetries(req, options);
    increment(this.results.outcomes, result.outcome);
    if (result.outcome === "served") {
      this.results.latency.recordValue(performance.now() - startedAt);
      increment(this.results.servedByKind, kind.name);
      if (req.key !== "") {
        this.results.servedKeys.push(req.key);
      }
    }
    return result;
  }

  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }

  #createRequest(kind: RequestKind, options: SendOptions): CallerRequest {
    const number = String(this.#nextNumber());
    const key = options.key ??
      (kind.repeat === "keyed" ? `${this.#options.name}-${number}` : "");
    // A repeated request must be identical in every part, so path and body are derived from the key.
    const pathSuffix = options.pathSuffix ?? (key === "" ? number : key);
    return {
      kind,
      path: `${kind.path}/${pathSuffix}`,
      key,
      body: Buffer.alloc(kind.bodyBytes, pathSuffix),
      crashesTarget: options.crashesTarget ?? false,
    };
  }

  async #sendWithRetries(
    req: CallerRequest,
    options: SendOptions,
  ): Promise<SendResult> {
    const ranked = await this.#lookup.addresses();
    const addresses = options.via === undefined
      ? ranked
      : [options.via, ...ranked.filter((other) => other !== options.via)];
    const maxAttempts = options.maxAttempts ?? MAX_ATTEMPTS;
    const attempts: AttemptResult[] = [];
    let hadUnknown = false;
    for (let n = 0; n < maxAttempts; n++) {
      const address = addresses[n % addresses.length]!;
      const result = await this.#attempt(req, address, options);
      attempts.push(result);
      const next = nextStep(req.kind, result);
      hadUnknown ||= next.kind === "repeat" && next.outcome === "unknown";
      const isLast = n === maxAttempts - 1;
      if (next.kind === "done" || isLast) {
        const outcome = finalOutcome(next.outcome, hadUnknown);
        this.#countRetryOutcome(next.outcome, {
          hadUnknown,
          isRetry: n > 0,
        });
        return { outcome, key: req.key, attempts };
      }
      if (next.outcome === "unknown") {
        this.results.repeatsSent += 1;
      }
      await sleep(next.waitMs);
    }
    throw new Error("Cannot send a request: maxAttempts must be at least 1");
  }

  #countRetryOutcome(
    last: Outcome,
    { hadUnknown, isRetry }: { hadUnknown: boolean; isRetry: boolean },
  ): void {
    if (hadUnknown && isRetry && last === "served") {
      this.results.repeatsServed += 1;
    }
    if (hadUnknown && last === "refused-not-run") {
      this.results.notRunAfterUnknown += 1;
    }
  }

  async #attempt(
    req: CallerRequest,
    address: string,
    options: SendOptions,
  ): Promise<AttemptResult> {
    const suffix = req.kind.repeat === "unkeyed" ? AT_MOST_ONCE_SUFFIX : "";
    const name = `${this.#options.name}/${this.#nextNumber()}${suffix}`;
    const result = await sendAttempt(this.#poolFor(address), req, {
      attempt: name,
      caller: options.caller ?? this.#options.name,
    });
    this.#countAttempt(result, { address, name });
    return result;
  }

  #countAttempt(
    result: AttemptResult,
    { address, name }: { address: string; name: string },
  ): void {
    const { results } = this;
    switch (result.kind) {
      case "served":
        increment(results.statuses, "200");
        return;
      case "answered-wrongly":
        increment(results.statuses, "200");
        results.partialResponses += result.fault === "partial" ? 1 : 0;
        results.wrongResponses += result.fault === "wrong" ? 1 : 0;
        return;
      case "refused":
        increment(results.statuses, `${result.reason} ${result.outcome}`);
        if (result.outcome === "not-run") {
          results.notRunAttempts.push(name);
        }
        return;
      case "not-taken":
        increment(results.notTakenByVm, address);
        return;
      case "broken":
        increment(results.brokenByVm, address);
    }
  }

  #poolFor(address: string): Pool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS_PER_VM,
      connect: {
        localAddress: this.#options.localAddress,
        timeout: CONNECT_TIMEOUT_MS,
      },
    });
    this.#pools.set(address, pool);
    return pool;
  }

  #nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }
}

/** What a caller does after an attempt. */
type NextStep =
  | { readonly kind: "done"; readonly outcome: Outcome }
  | {
    readonly kind: "repeat";
    readonly outcome: Outcome;
    readonly waitMs: number;
  };

/** Decides whether to retry after an attempt; only requests that may safely be repeated are retried. */
function nextStep(kind: RequestKind, result: AttemptResult): NextStep {
  const mayRetry = kind.repeat !== "unkeyed";
  switch (result.kind) {
    case "served":
      return { kind: "done", outcome: "served" };
    case "answered-wrongly":
      return { kind: "done", outcome: "unknown" };
    case "not-taken":
      // Nothing was sent, so even a request without a key may go to the next VM.
      return { kind: "repeat", outcome: "unreachable", waitMs: 0 };
    case "broken":
      return mayRetry
        ? { kind: "repeat", outcome: "unknown", waitMs: DEFAULT_RETRY_WAIT_MS }
        : { kind: "done", outcome: "unknown" };
    case "refused":
      return nextStepAfterRefusal(kind, result);
  }
}

function nextStepAfterRefusal(
  kind: RequestKind,
  result: AttemptResult & { kind: "refused" },
): NextStep {
  const requestedMs = result.retryAfterMs ?? DEFAULT_RETRY_WAIT_MS;
  const waitMs = Math.min(requestedMs, MAX_RETRY_WAIT_MS);
  switch (result.outcome) {
    case "not-run":
      // Not retried, so that the refusal counts as the outcome; users try again later.
      return { kind: "done", outcome: "refused-not-run" };
    case "unknown":
      return kind.repeat === "unkeyed"
        ? { kind: "done", outcome: "unknown" }
        : { kind: "repeat", outcome: "unknown", waitMs };
    case "unsaid":
      return { kind: "done", outcome: "refused" };
  }
}

/** A refusal only concerns its own attempt; an earlier one may still have run. */
function finalOutcome(lastOutcome: Outcome, hadUnknown: boolean): Outcome {
  return lastOutcome !== "served" && hadUnknown ? "unknown" : lastOutcome;
}
