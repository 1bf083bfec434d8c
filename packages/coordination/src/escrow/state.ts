/**
 * What an escrow core remembers: plain data, so that a model checker can copy
 * and compare it. A restart forgets all of it.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import type { EscrowEffect, EscrowPlan, LoanId, PoolId } from "./messages.ts";
import type { EscrowRules } from "./rules.ts";

/** One pool, as this VM sees it. */
export interface PoolState {
  /** What the plan gives this VM. */
  target: number;
  /** What it holds as an owner, lent slots included. Above the target only while it is being lowered. */
  share: number;
  /** Own slots in use. */
  used: number;
  /** How many slots this VM would like to hold. */
  wanted: number;
  /** Refusals in a row, since the last grant or wish. */
  refusals: number;
  /** No lender is asked before. */
  askAgainAt: number;
}

/** A pool that no plan has given this VM a share of. */
export function newPool(): PoolState {
  return {
    target: 0,
    share: 0,
    used: 0,
    wanted: 0,
    refusals: 0,
    askAgainAt: NEVER,
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
 * The latest attempts of one question, and when each was sent. An answer counts
 * from when its own question was asked; were only the latest remembered, no
 * answer would count once the round trip exceeds the time between attempts.
 */
export interface AskLog {
  /** Number of the latest attempt. */
  attempt: number;
  /** Send times of the latest attempts, by number. */
  sentAt: Record<number, number>;
}

/** Attempts remembered: with one each 300 ms, answers that take up to 2.4 s. */
const REMEMBERED_ATTEMPTS = 8;

/** The log of a question that was never asked. */
export function newAskLog(): AskLog {
  return { attempt: 0, sentAt: {} };
}

/** Notes that the question is asked now, and returns the number of the attempt. */
export function noteAsk(log: AskLog, now: number): number {
  log.attempt += 1;
  log.sentAt[log.attempt] = now;
  delete log.sentAt[log.attempt - REMEMBERED_ATTEMPTS];
  return log.attempt;
}

/** When the question was last asked. */
export function lastAskedAt(log: AskLog): number {
  return log.sentAt[log.attempt] ?? NEVER;
}

/** A loan that this VM asked for or has. */
export interface Borrowed {
  readonly pool: PoolId;
  readonly lender: Sender;
  readonly asked: number;
  /** 0 until the first grant. */
  slots: number;
  readonly asks: AskLog;
  /** Not used from here on; 0 until the first grant. */
  stopsAt: number;
  used: number;
}

/** Everything that one core remembers. All times are of its own clock, in ms. */
export interface EscrowState {
  plan: EscrowPlan | undefined;
  pools: Record<PoolId, PoolState>;
  lent: Record<LoanId, Lent>;
  borrowed: Record<LoanId, Borrowed>;
  /** Loans given back, with the time until which a late request for them is refused. */
  closed: Record<LoanId, number>;
  /** Slots that each owner could last spare, by instance and pool. */
  spare: Record<string, number>;
  /** Own slots may be used until then. */
  validUntil: number;
  renewals: AskLog;
  /** Instances that hold no more than their share of this epoch. */
  confirmed: InstanceId[];
  /** Instances that the platform says are gone. */
  gone: InstanceId[];
  /** Instances that have heard that this VM holds no more than its share. */
  heardLowered: InstanceId[];
  loweredSentAt: number;
  /** Since when all other earlier owners but one have confirmed; -1 while that is not so. */
  oneSilentSince: number;
  raised: boolean;
  loans: number;
}

/** Before any time: finite, so that the state is plain JSON. */
export const NEVER = -1e15;

/** State of a core that has just started. */
export function initialState(): EscrowState {
  return {
    plan: undefined,
    pools: {},
    lent: {},
    borrowed: {},
    closed: {},
    spare: {},
    validUntil: NEVER,
    renewals: newAskLog(),
    confirmed: [],
    gone: [],
    heardLowered: [],
    loweredSentAt: NEVER,
    oneSilentSince: -1,
    raised: false,
    loans: 0,
  };
}

/** The durations of one deployment's escrow, in ms. */
export interface EscrowTimes {
  /** How long own slots stay usable after a fellow owner vouched for the plan. Longer than any request's deadline. */
  readonly termMs: number;
  /** Length of a loan. */
  readonly loanMs: number;
  /** An unanswered message is sent again after this. */
  readonly retryMs: number;
}

/** What the steps of one transition share. */
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
