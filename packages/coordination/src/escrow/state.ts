/**
 * The state of an escrow core: plain data, so that a model checker can copy and
 * compare it. A restart loses all of it.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import type { EscrowEffect, EscrowPlan, LoanId, PoolId } from "./messages.ts";
import type { EscrowRules } from "./rules.ts";

/** State of one pool on this VM. */
export interface PoolState {
  /** Slots that the plan assigns to this VM. */
  target: number;
  /** Slots held as an owner, including those lent. Above the target only while it is being lowered. */
  share: number;
  /** Owned slots in use. */
  used: number;
  /** Number of slots that this VM wants to hold. */
  wanted: number;
  /** Consecutive refusals since the last grant or change of `wanted`. */
  refusals: number;
  /** Earliest time of the next loan request. */
  nextRequestAt: number;
}

/** State of a pool of which this VM has no share yet. */
export function newPool(): PoolState {
  return {
    target: 0,
    share: 0,
    used: 0,
    wanted: 0,
    refusals: 0,
    nextRequestAt: NEVER,
  };
}

/** A loan that this VM gave. */
export interface Lent {
  readonly pool: PoolId;
  readonly slots: number;
  readonly borrower: Sender;
  takeBackAt: number;
}

/**
 * The latest attempts of one request and their send times. A response counts
 * from the time at which its own attempt was sent. If only the latest attempt
 * were stored, no response would match once the round trip exceeds the retry
 * interval.
 */
export interface RequestLog {
  /** Number of the latest attempt. */
  attempt: number;
  /** Send times of the latest attempts, by attempt number. */
  sentAt: Record<number, number>;
}

/** Attempts stored: with one every 300 ms, responses may take up to 2.4 s. */
const MAX_STORED_ATTEMPTS = 8;

/** The log of a request that was never sent. */
export function newRequestLog(): RequestLog {
  return { attempt: 0, sentAt: {} };
}

/** Records an attempt that is sent now, and returns its number. */
export function recordRequest(log: RequestLog, now: number): number {
  log.attempt += 1;
  log.sentAt[log.attempt] = now;
  delete log.sentAt[log.attempt - MAX_STORED_ATTEMPTS];
  return log.attempt;
}

/** When the latest attempt was sent. */
export function lastSentAt(log: RequestLog): number {
  return log.sentAt[log.attempt] ?? NEVER;
}

/** A loan that this VM has requested or holds. */
export interface Borrowed {
  readonly pool: PoolId;
  readonly lender: Sender;
  readonly requestedSlots: number;
  /** 0 until the first grant. */
  slots: number;
  readonly requests: RequestLog;
  /** End of its use; 0 until the first grant. */
  stopsAt: number;
  used: number;
}

/** The complete state of one core. All times are in ms on its own clock. */
export interface EscrowState {
  plan: EscrowPlan | undefined;
  pools: Record<PoolId, PoolState>;
  lent: Record<LoanId, Lent>;
  borrowed: Record<LoanId, Borrowed>;
  /** Returned loans, with the time until which a late request for them is refused. */
  closed: Record<LoanId, number>;
  /** Slots that each owner last reported it could lend, by instance and pool. */
  spare: Record<string, number>;
  /** End of this VM's term: owned slots may be used until then. */
  validUntil: number;
  renewals: RequestLog;
  /** Instances that have confirmed holding no more than their share of this epoch. */
  confirmed: InstanceId[];
  /** Instances that have ended, according to the platform. */
  ended: InstanceId[];
  /** Instances that have acknowledged that this VM holds no more than its share. */
  loweredAckedBy: InstanceId[];
  loweredSentAt: number;
  /** Since when exactly one other earlier owner has not confirmed; -1 if that is not the case. */
  oneSilentSince: number;
  raised: boolean;
  loans: number;
}

/** Earlier than any time, but finite, so that the state is plain JSON. */
export const NEVER = -1e15;

/** State of a newly started core. */
export function initialState(): EscrowState {
  return {
    plan: undefined,
    pools: {},
    lent: {},
    borrowed: {},
    closed: {},
    spare: {},
    validUntil: NEVER,
    renewals: newRequestLog(),
    confirmed: [],
    ended: [],
    loweredAckedBy: [],
    loweredSentAt: NEVER,
    oneSilentSince: -1,
    raised: false,
    loans: 0,
  };
}

/** Durations of escrow in one deployment. */
export interface EscrowTimes {
  /** How long owned slots stay usable after another owner has confirmed the plan. Longer than any request's deadline. */
  readonly termMs: number;
  /** Duration of a loan. */
  readonly loanMs: number;
  /** Interval after which a message without a response is sent again. */
  readonly retryMs: number;
}

/** Inputs and collected effects of one transition. */
export interface Context {
  readonly self: Sender;
  readonly state: EscrowState;
  readonly rules: EscrowRules;
  readonly times: EscrowTimes;
  readonly now: number;
  readonly effects: EscrowEffect[];
}

/** The entries of a record, with the type of their keys. */
export function entriesOf<Key extends string, Value>(
  record: Record<Key, Value>,
): readonly [Key, Value][] {
  return Object.entries(record) as [Key, Value][];
}
