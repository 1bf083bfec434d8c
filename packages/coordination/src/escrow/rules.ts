/**
 * The rules that keep the sum of the slots held within the total. Each is a
 * separate function, so that a model can break one at a time and show that it
 * is needed.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { PoolId } from "./messages.ts";
import type { Context, EscrowState } from "./state.ts";

/** Maximum drift between two clocks, as a share of a duration; VM clocks are slewed by at most 0.0005. */
export const CLOCK_DRIFT = 0.01;

/** Covers a borrower that is paused between reading its clock and sending a request. */
export const TAKE_BACK_MARGIN_MS = 200;

/** {@link DEFAULT_RULES} documents the fault that each rule prevents. */
export interface EscrowRules {
  lentOf(state: EscrowState, pool: PoolId): number;
  holdsUntil(askedAt: number, durationMs: number, now: number): number;
  takesBackAt(durationMs: number, now: number): number;
  mayVouch(ctx: Context, epoch: number): boolean;
  mayRaise(ctx: Context): boolean;
}

/** The rules used in production. */
export const DEFAULT_RULES: EscrowRules = {
  /** Slots of a pool that this VM has lent. If a loan were not counted, its slots would be used on both sides. */
  lentOf(state, pool) {
    let lent = 0;
    for (const loan of Object.values(state.lent)) {
      lent += loan.pool === pool ? loan.slots : 0;
    }
    return lent;
  },

  /**
   * A holder counts from when it sent its request, which is before the other side
   * starts counting, and subtracts the possible clock drift. If it counted from
   * the response's arrival, a late response would let it use slots that were
   * already reclaimed.
   */
  holdsUntil(askedAt, durationMs) {
    return askedAt + durationMs * (1 - 2 * CLOCK_DRIFT);
  },

  /** The lender waits for the full duration and the margin on its own clock. */
  takesBackAt(durationMs, now) {
    return now + durationMs + TAKE_BACK_MARGIN_MS;
  },

  /**
   * Only an owner in this same epoch confirms it. If an owner that has adopted a
   * newer epoch still confirmed, it would extend the term of an unresponsive
   * owner whose slots are being given to others.
   */
  mayVouch({ state, self }, epoch) {
    return state.plan?.epoch === epoch &&
      state.plan.owners.some(({ instance }) => instance === self.instance);
  },

  /**
   * Shares are raised once every earlier owner has confirmed that it holds no
   * more than its new share. If a single owner has not, its term is waited out:
   * no owner that has confirmed renews that term, so its slots end with it. Two
   * such owners could be partitioned from the rest and renew each other's terms.
   */
  mayRaise(ctx) {
    const { state, times, now } = ctx;
    const silent = unconfirmedOwners(ctx).length;
    if (silent === 0) {
      return true;
    }
    return silent === 1 && state.oneSilentSince >= 0 &&
      now >= state.oneSilentSince + times.termMs + TAKE_BACK_MARGIN_MS;
  },
};

/** Earlier owners that have not confirmed this epoch and are not known to have ended. */
export function unconfirmedOwners({ state, self }: Context): readonly Sender[] {
  return (state.plan?.earlierOwners ?? []).filter(({ instance }) =>
    instance !== self.instance &&
    !state.confirmed.includes(instance) &&
    !state.ended.includes(instance)
  );
}
