/**
 * Runs a request with an idempotency key at most once, whichever VMs receive
 * it, and returns the stored response to duplicates.
 *
 * @module
 */

import type { IdempotencyKey, InstanceId } from "@poplarthread/ids";
import type { Table } from "../table.ts";
import {
  advanceAttempt,
  type Attempt,
  type AttemptEffect,
  type AttemptEvent,
  attemptKey,
  type ClaimRefusal,
  type HolderResponse,
  holderResponseFor,
  type RunOutcome,
  startAttempt,
} from "./attempt.ts";
import type { BatchOptions, WriteResult } from "./batch.ts";
import {
  type AttemptId,
  type ClaimId,
  claimId,
  claimJson,
  type ClaimRow,
} from "./claim_row.ts";
import { GroupCommit, OUTAGE_PROBE_MS } from "./group_commit.ts";

/** Maximum attempts in memory: 20 MB at about 1 KB each. Beyond it, new attempts are refused as not run. */
const MAX_ATTEMPTS = 20_000;
/** Maximum time that a duplicate waits for the running attempt before it is told to retry. */
const MAX_HOLDER_WAIT_MS = 30_000;
/** Retry-After for a request that is still running. */
const RUNNING_RETRY_MS = 1_000;
/** Retry-After if the claim's holder does not respond: longer than a heartbeat timeout. */
const UNKNOWN_RETRY_MS = 5_000;

/** Retry-After in a table outage: a few probe intervals, and long enough that one second's callers do not all return in the next second. */
const NOT_RUN_RETRY_MS = 2_000;

/** A query to the instance that holds a claim. */
export interface HolderQuery {
  readonly instance: InstanceId;
  readonly claim: ClaimId;
  readonly attempt: AttemptId;
}

/** Interface to the other instances. */
export interface ClaimHolders {
  /**
   * Queries the instance, which waits up to `waitMs` for the outcome. Returns
   * `dead` only if that instance can never dispatch again, and `unreachable`
   * if it may still be alive. Never throws.
   */
  ask(query: HolderQuery, waitMs: number): Promise<HolderResponse>;
}

/** Options of {@link RequestClaims}. */
export interface RequestClaimsOptions extends BatchOptions {
  readonly table: Table;
  /** Identifies this run of the process; never reused by another run. */
  readonly instance: InstanceId;
  readonly holders: ClaimHolders;
}

/** One attempt at a request with an idempotency key. */
export interface KeyedRequest {
  /** Namespace of the key, for example the caller; equal keys in different scopes are independent. */
  readonly scope: string;
  readonly key: IdempotencyKey;
  /** Digest of method, path and body. */
  readonly bodyDigest: string;
  /** Time left until the caller gives up. */
  readonly timeLeftMs: number;
}

/** Whether an attempt may run. */
export type ClaimOutcome =
  /** It may run, under this grant only. */
  | { readonly kind: "granted"; readonly grant: ClaimGrant }
  | {
    readonly kind: "refused";
    readonly refusal: ClaimRefusal;
    /** When to retry; undefined if a retry can never succeed. */
    readonly retryAfterMs: number | undefined;
  };

/** Permission to run one request once. Every grant must be ended. */
export interface ClaimGrant {
  /**
   * Call immediately before the first byte is sent to a target. If false, do not
   * send: the caller's deadline has passed, or the grant is already used.
   */
  dispatch(): boolean;
  /**
   * Reports the outcome. Before `dispatch` only `not-run` is valid; afterwards,
   * `not-run` only if the target said so.
   */
  end(outcome: RunOutcome): void;
}

/** An attempt in progress and how to settle it. */
interface TrackedAttempt {
  attempt: Attempt;
  readonly refuse: (refusal: ClaimRefusal) => void;
  readonly grant: (grant: ClaimGrant) => void;
  readonly waitMs: number;
  /** When the caller gives up, on the monotonic clock. */
  readonly deadline: number;
  /** Wakes the peers that wait for the outcome. */
  readonly waiters: (() => void)[];
}

/** Manages the claims of one instance. */
export class RequestClaims {
  readonly #options: RequestClaimsOptions;
  readonly #commits: GroupCommit;
  readonly #tracked = new Map<AttemptId, TrackedAttempt>();
  #attemptCount = 0;

  constructor(options: RequestClaimsOptions) {
    this.#options = options;
    this.#commits = new GroupCommit(options.table, options);
  }

  /** Number of attempts whose outcome is not yet in the table. A planned stop waits until it is 0. */
  get pending(): number {
    return this.#tracked.size;
  }

  /** Call in a planned stop, once nothing is pending. */
  close(): void {
    this.#commits.close();
  }

  /** Decides whether this attempt may run. Never throws for a table failure. */
  claim(req: KeyedRequest): Promise<ClaimOutcome> {
    if (this.#tracked.size >= MAX_ATTEMPTS || this.#commits.isRefusing) {
      const refusal = { kind: "not-run", proof: "this-sending" } as const;
      return Promise.resolve(refused(refusal));
    }
    return new Promise((resolve) => {
      const started = startAttempt({
        id: this.#nextAttemptId(),
        claim: claimId(req.scope, req.key),
        instance: this.#options.instance,
        bodyDigest: req.bodyDigest,
        claimedAt: Date.now(),
      });
      const timer = setTimeout(
        () => this.#advance(tracked, { kind: "expired" }),
        req.timeLeftMs,
      );
      const decide = (outcome: ClaimOutcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const tracked: TrackedAttempt = {
        attempt: started.attempt,
        refuse: (refusal) => decide(refused(refusal)),
        grant: (grant) => decide({ kind: "granted", grant }),
        waitMs: Math.min(req.timeLeftMs, MAX_HOLDER_WAIT_MS),
        deadline: performance.now() + req.timeLeftMs,
        waiters: [],
      };
      this.#tracked.set(started.attempt.id, tracked);
      started.effects.forEach((effect) => this.#perform(tracked, effect));
    });
  }

  /** Handles the query of a peer that found a claim of this instance. */
  async handleHolderQuery(
    query: HolderQuery,
    waitMs: number,
  ): Promise<HolderResponse> {
    if (query.instance !== this.#options.instance) {
      // An earlier instance on this VM: it has ended and can never dispatch.
      return { kind: "dead" };
    }
    const tracked = this.#tracked.get(query.attempt);
    const response = holderResponseFor(tracked?.attempt);
    if (tracked === undefined || response.kind !== "running") {
      return response;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, MAX_HOLDER_WAIT_MS));
      tracked.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
    return holderResponseFor(tracked.attempt);
  }

  #nextAttemptId(): AttemptId {
    this.#attemptCount += 1;
    return `${this.#options.instance}/${this.#attemptCount}` as AttemptId;
  }

  #advance(tracked: TrackedAttempt, event: AttemptEvent): void {
    const { attempt, effects } = advanceAttempt(tracked.attempt, event);
    tracked.attempt = attempt;
    const hasOutcome = holderResponseFor(attempt).kind !== "running";
    if (hasOutcome) {
      tracked.waiters.splice(0).forEach((wake) => wake());
    }
    if (attempt.phase.kind === "closed") {
      this.#tracked.delete(attempt.id);
    }
    effects.forEach((effect) => this.#perform(tracked, effect));
  }

  #perform(tracked: TrackedAttempt, effect: AttemptEffect): void {
    switch (effect.kind) {
      case "write":
        return void this.#write(tracked, effect.over, effect.row);
      case "read":
        return void this.#read(tracked);
      case "ask":
        return void this.#ask(tracked, effect.row);
      case "granted":
        return tracked.grant(this.#grantOf(tracked));
      case "refuse":
        return tracked.refuse(effect.refusal);
      case "send":
        return;
    }
  }

  #grantOf(tracked: TrackedAttempt): ClaimGrant {
    return {
      dispatch: () => {
        // After a long process pause, the claim may have expired and been taken
        // over by another attempt, so the deadline is checked first.
        if (performance.now() >= tracked.deadline) {
          this.#advance(tracked, { kind: "expired" });
          return false;
        }
        const before = tracked.attempt.phase.kind;
        this.#advance(tracked, { kind: "dispatch" });
        return before === "claimed";
      },
      end: (outcome) => this.#advance(tracked, { kind: "ended", outcome }),
    };
  }

  async #write(
    tracked: TrackedAttempt,
    over: number,
    row: ClaimRow,
  ): Promise<void> {
    const key = attemptKey(tracked.attempt);
    const write = { key, over, value: claimJson(row) };
    const result: WriteResult = await this.#commits.write(write);
    if (result.kind === "failed" && row.record.kind !== "claimed") {
      await new Promise((resolve) => setTimeout(resolve, 2 * OUTAGE_PROBE_MS));
    }
    this.#advance(tracked, result);
  }

  async #read(tracked: TrackedAttempt): Promise<void> {
    const row = await this.#commits.readBack(attemptKey(tracked.attempt));
    const event: AttemptEvent = row === undefined
      ? { kind: "failed", effect: "none" }
      : { kind: "row", row };
    this.#advance(tracked, event);
  }

  async #ask(tracked: TrackedAttempt, row: ClaimRow): Promise<void> {
    const { instance, attempt } = row;
    const query = { instance, attempt, claim: tracked.attempt.claim };
    const answer = instance === this.#options.instance
      ? await this.handleHolderQuery(query, tracked.waitMs)
      : await this.#options.holders.ask(query, tracked.waitMs);
    this.#advance(tracked, { kind: "holder", answer });
  }
}

function refused(refusal: ClaimRefusal): ClaimOutcome {
  return { kind: "refused", refusal, retryAfterMs: retryAfterMs(refusal) };
}

function retryAfterMs(refusal: ClaimRefusal): number | undefined {
  switch (refusal.kind) {
    case "answered":
    case "answered-unkept":
    case "key-reused":
      return undefined;
    case "running":
      return RUNNING_RETRY_MS;
    case "unknown":
      return UNKNOWN_RETRY_MS;
    case "not-run":
      return NOT_RUN_RETRY_MS;
  }
}
