/**
 * Lets a keyed request run at most once, whichever VMs it is sent to, and gives
 * each repeat the first one's answer.
 *
 * @module
 */

import type { IdempotencyKey, InstanceId } from "@poplarthread/ids";
import type { Table } from "../table.ts";
import {
  advanceAttempt,
  answerForHolder,
  type Attempt,
  type AttemptEffect,
  type AttemptEvent,
  attemptKey,
  type ClaimRefusal,
  type HolderAnswer,
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

/** Attempts remembered at once: of about 1 KB, 20 MB. Past it new ones are refused as not run. */
const MAX_ATTEMPTS = 20_000;
/** Longest time that a repeat waits for the first sending before it is told to come back. */
const MAX_HOLDER_WAIT_MS = 30_000;
/** When to come back to a request that still runs. */
const RUNNING_RETRY_MS = 1_000;
/** When to come back to a claim whose holder does not answer: longer than a heartbeat timeout. */
const UNKNOWN_RETRY_MS = 5_000;

/** When to come back in an outage: within a few probes, and not all of a second's callers a second later. */
const NOT_RUN_RETRY_MS = 2_000;

/** A question to the instance that holds a claim. */
export interface HolderQuestion {
  readonly instance: InstanceId;
  readonly claim: ClaimId;
  readonly attempt: AttemptId;
}

/** The port to the other instances. */
export interface ClaimHolders {
  /**
   * Asks the instance, which waits up to `waitMs` for the outcome. Answers
   * `dead` only if that instance can never dispatch again, and `unreachable`
   * where it may live; never throws.
   */
  ask(question: HolderQuestion, waitMs: number): Promise<HolderAnswer>;
}

/** What {@link RequestClaims} works with. */
export interface RequestClaimsOptions extends BatchOptions {
  readonly table: Table;
  /** This life of the process; never used again by another one. */
  readonly instance: InstanceId;
  readonly holders: ClaimHolders;
}

/** One sending of a keyed request. */
export interface KeyedRequest {
  /** Who used the key, for example the caller; equal keys of two scopes never meet. */
  readonly scope: string;
  readonly key: IdempotencyKey;
  /** Digest of method, path and body. */
  readonly bodyDigest: string;
  /** Time left until the caller gives up, in ms. */
  readonly timeLeftMs: number;
}

/** What a sending may do. */
export type ClaimOutcome =
  /** It may run, by this grant alone. */
  | { readonly kind: "granted"; readonly grant: ClaimGrant }
  | {
    readonly kind: "refused";
    readonly refusal: ClaimRefusal;
    /** When asking again is worthwhile; undefined where it never is. */
    readonly retryAfterMs: number | undefined;
  };

/** The right to run one request once. Every grant must be ended. */
export interface ClaimGrant {
  /**
   * Call directly before the first byte goes to a target. False: do not send;
   * the caller's time is over, or the grant was used.
   */
  dispatch(): boolean;
  /**
   * How it ended. Before `dispatch` only `not-run` is true; after it, `not-run`
   * only if the target said so.
   */
  end(outcome: RunOutcome): void;
}

interface Tracked {
  attempt: Attempt;
  readonly refuse: (refusal: ClaimRefusal) => void;
  readonly grant: (grant: ClaimGrant) => void;
  readonly waitMs: number;
  /** When the caller gives up, by the monotonic clock. */
  readonly deadline: number;
  /** Peers that wait for the outcome. */
  readonly waiters: (() => void)[];
}

/** The claims of one instance. */
export class RequestClaims {
  readonly #options: RequestClaimsOptions;
  readonly #commits: GroupCommit;
  readonly #tracked = new Map<AttemptId, Tracked>();
  #attempts = 0;

  constructor(options: RequestClaimsOptions) {
    this.#options = options;
    this.#commits = new GroupCommit(options.table, options);
  }

  /** Attempts whose outcome is not in the table yet. A planned stop waits until it is 0. */
  get pending(): number {
    return this.#tracked.size;
  }

  /** For a planned stop, once nothing is pending. */
  close(): void {
    this.#commits.close();
  }

  /** Decides whether this sending may run. Never throws for a failing table. */
  claim(req: KeyedRequest): Promise<ClaimOutcome> {
    if (this.#tracked.size >= MAX_ATTEMPTS || this.#commits.isRefusing) {
      const refusal = { kind: "not-run", proof: "this-sending" } as const;
      return Promise.resolve(refused(refusal));
    }
    return new Promise((resolve) => {
      const started = startAttempt({
        id: this.#newAttemptId(),
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
      const tracked: Tracked = {
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

  /** Answers a peer that met a claim of this instance. */
  async answerPeer(
    question: HolderQuestion,
    waitMs: number,
  ): Promise<HolderAnswer> {
    if (question.instance !== this.#options.instance) {
      // An earlier life on this VM: nothing of it is left that could dispatch.
      return { kind: "dead" };
    }
    const tracked = this.#tracked.get(question.attempt);
    const answer = answerForHolder(tracked?.attempt);
    if (tracked === undefined || answer.kind !== "running") {
      return answer;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, MAX_HOLDER_WAIT_MS));
      tracked.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
    return answerForHolder(tracked.attempt);
  }

  #newAttemptId(): AttemptId {
    this.#attempts += 1;
    return `${this.#options.instance}/${this.#attempts}` as AttemptId;
  }

  #advance(tracked: Tracked, event: AttemptEvent): void {
    const { attempt, effects } = advanceAttempt(tracked.attempt, event);
    tracked.attempt = attempt;
    const isOver = answerForHolder(attempt).kind !== "running";
    if (isOver) {
      tracked.waiters.splice(0).forEach((wake) => wake());
    }
    if (attempt.phase.kind === "closed") {
      this.#tracked.delete(attempt.id);
    }
    effects.forEach((effect) => this.#perform(tracked, effect));
  }

  #perform(tracked: Tracked, effect: AttemptEffect): void {
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

  #grantOf(tracked: Tracked): ClaimGrant {
    return {
      dispatch: () => {
        // A process that was paused for long could otherwise run a request
        // whose claim has expired and was taken by another sending since.
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
    tracked: Tracked,
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

  async #read(tracked: Tracked): Promise<void> {
    const row = await this.#commits.readBack(attemptKey(tracked.attempt));
    const event: AttemptEvent = row === undefined
      ? { kind: "failed", effect: "none" }
      : { kind: "row", row };
    this.#advance(tracked, event);
  }

  async #ask(tracked: Tracked, row: ClaimRow): Promise<void> {
    const { instance, attempt } = row;
    const question = { instance, attempt, claim: tracked.attempt.claim };
    const answer = instance === this.#options.instance
      ? await this.answerPeer(question, tracked.waitMs)
      : await this.#options.holders.ask(question, tracked.waitMs);
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
