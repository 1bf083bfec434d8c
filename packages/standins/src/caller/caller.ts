/**
 * A stand-in for callers in one place: looks entry VMs up, sends requests,
 * falls back to the next VM, sends keyed requests again after an unknown
 * outcome, and checks that each answer is whole and its own.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { attempt, type AttemptResult, type CallerRequest } from "./attempt.ts";
import { LookupCache } from "./lookup.ts";
import type { RequestKind } from "./request_kind.ts";
import { increment, type Outcome, Results } from "./results.ts";

/** Who the callers are and whom they know. */
export interface CallerOptions {
  /** Prefix of caller names, keys and attempts; unique over all callers. */
  readonly name: string;
  /** Address that they connect from. */
  readonly localAddress: string;
  /** Addresses that they know from the start, `host:port`. */
  readonly bootstrap: readonly string[];
}

/** What a test may want otherwise of one request. */
export interface SendOptions {
  /** Address of the VM to try first; without it the best of the look-up. */
  readonly via?: string;
  /** Key of an earlier request, to send that one again. */
  readonly key?: string;
  /** Name in the path of a request without key, to send that one again. */
  readonly name?: string;
  readonly crashes?: boolean;
  /** Name of the caller; the system shares slots fairly among names. */
  readonly caller?: string;
  /** Most attempts in all; 1 never sends again. */
  readonly maxAttempts?: number;
}

/** How one request ended. */
export interface SendResult {
  readonly outcome: Outcome;
  readonly key: string;
  readonly attempts: readonly AttemptResult[];
}

/** Ends the names of attempts that must run once though they have no key. */
export const UNKEYED_SUFFIX = "/once";
/** One-way delay between callers and their nearest entry VM. */
const CALLER_DELAY_MS = 1;
const CONNECT_TIMEOUT_MS = 2_000;
/** Connections that callers in one place keep to one VM. */
const CONNECTIONS_PER_VM = 64;
/** Attempts of one request, fallbacks and repeats together. */
const MAX_ATTEMPTS = 6;
/** Wait before a repeat where the refusal does not say how long. */
const REPEAT_WAIT_MS = 300;
/** No caller waits longer than this between two attempts, whatever it is told. */
const MAX_WAIT_MS = 2_000;

/** Callers in one place. */
export class Caller {
  readonly results = new Results();
  readonly #options: CallerOptions;
  readonly #pools = new Map<string, Pool>();
  readonly #lookup: LookupCache;
  #number = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
    this.#lookup = new LookupCache({
      bootstrap: options.bootstrap,
      dispatcherOf: (address) => this.#pool(address),
      onLookup: () => this.results.lookups += 1,
    });
  }

  /** Sends one request of a kind and sees it through. */
  async send(
    kind: RequestKind,
    options: SendOptions = {},
  ): Promise<SendResult> {
    this.results.requests += 1;
    const startedAt = performance.now();
    const req = this.#make(kind, options);
    await sleep(CALLER_DELAY_MS);
    const result = await this.#seeThrough(req, options);
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

  #make(kind: RequestKind, options: SendOptions): CallerRequest {
    const number = String(this.#nextNumber());
    const key = options.key ??
      (kind.repeat === "keyed" ? `${this.#options.name}-${number}` : "");
    // A repeat must be the same request in every part, so all follow the key.
    const name = options.name ?? (key === "" ? number : key);
    return {
      kind,
      path: `${kind.path}/${name}`,
      key,
      body: Buffer.alloc(kind.bodyBytes, name),
      crashes: options.crashes ?? false,
    };
  }

  async #seeThrough(
    req: CallerRequest,
    options: SendOptions,
  ): Promise<SendResult> {
    const ranked = await this.#lookup.addresses();
    const addresses = options.via === undefined
      ? ranked
      : [options.via, ...ranked.filter((other) => other !== options.via)];
    const maxAttempts = options.maxAttempts ?? MAX_ATTEMPTS;
    const attempts: AttemptResult[] = [];
    let wasUnknown = false;
    for (let n = 0; n < maxAttempts; n++) {
      const address = addresses[n % addresses.length]!;
      const result = await this.#attempt(req, address, options);
      attempts.push(result);
      const next = decide(req.kind, result);
      wasUnknown ||= next.kind === "repeat" && next.outcome === "unknown";
      const isLast = n === maxAttempts - 1;
      if (next.kind === "done" || isLast) {
        const outcome = finalOutcome(next.outcome, wasUnknown);
        this.#countEnd(next.outcome, { wasUnknown, isRepeat: n > 0 });
        return { outcome, key: req.key, attempts };
      }
      if (next.outcome === "unknown") {
        this.results.repeatsSent += 1;
      }
      await sleep(next.waitMs);
    }
    throw new Error("Cannot send a request: it has no attempts");
  }

  #countEnd(
    last: Outcome,
    { wasUnknown, isRepeat }: { wasUnknown: boolean; isRepeat: boolean },
  ): void {
    if (wasUnknown && isRepeat && last === "served") {
      this.results.repeatsServed += 1;
    }
    if (wasUnknown && last === "refused-not-run") {
      this.results.notRunAfterUnknown += 1;
    }
  }

  async #attempt(
    req: CallerRequest,
    address: string,
    options: SendOptions,
  ): Promise<AttemptResult> {
    const suffix = req.kind.repeat === "unkeyed" ? UNKEYED_SUFFIX : "";
    const name = `${this.#options.name}/${this.#nextNumber()}${suffix}`;
    const result = await attempt(this.#pool(address), req, {
      attempt: name,
      caller: options.caller ?? this.#options.name,
    });
    this.#count(result, { address, name });
    return result;
  }

  #count(
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
        results.partialAnswers += result.fault === "partial" ? 1 : 0;
        results.wrongAnswers += result.fault === "wrong" ? 1 : 0;
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

  #pool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_VM,
      connect: {
        localAddress: this.#options.localAddress,
        timeout: CONNECT_TIMEOUT_MS,
      },
    });
    this.#pools.set(address, pool);
    return pool;
  }

  #nextNumber(): number {
    this.#number += 1;
    return this.#number;
  }
}

/** What a caller does after an attempt. */
type Next =
  | { readonly kind: "done"; readonly outcome: Outcome }
  | {
    readonly kind: "repeat";
    readonly outcome: Outcome;
    readonly waitMs: number;
  };

/** A caller sends again only what may be sent again: see each line. */
function decide(kind: RequestKind, result: AttemptResult): Next {
  const mayRepeat = kind.repeat !== "unkeyed";
  switch (result.kind) {
    case "served":
      return { kind: "done", outcome: "served" };
    case "answered-wrongly":
      return { kind: "done", outcome: "unknown" };
    case "not-taken":
      // Nothing was sent, so even a request without a key goes to the next VM.
      return { kind: "repeat", outcome: "unreachable", waitMs: 0 };
    case "broken":
      return mayRepeat
        ? { kind: "repeat", outcome: "unknown", waitMs: REPEAT_WAIT_MS }
        : { kind: "done", outcome: "unknown" };
    case "refused":
      return decideRefused(kind, result);
  }
}

function decideRefused(
  kind: RequestKind,
  result: AttemptResult & { kind: "refused" },
): Next {
  const told = result.retryAfterMs ?? REPEAT_WAIT_MS;
  const waitMs = Math.min(told, MAX_WAIT_MS);
  switch (result.outcome) {
    case "not-run":
      // Callers give up on a refusal, so that it is counted; people come back later.
      return { kind: "done", outcome: "refused-not-run" };
    case "unknown":
      return kind.repeat === "unkeyed"
        ? { kind: "done", outcome: "unknown" }
        : { kind: "repeat", outcome: "unknown", waitMs };
    case "unsaid":
      return { kind: "done", outcome: "refused" };
  }
}

/** A refusal speaks of its own attempt; an earlier one may still have run. */
function finalOutcome(last: Outcome, wasUnknown: boolean): Outcome {
  return last !== "served" && wasUnknown ? "unknown" : last;
}
