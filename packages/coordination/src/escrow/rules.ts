/**
 * The rules that keep the sum of slots held within the total, each a function
 * of its own, so that a model can break one at a time and see it matter.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { PoolId } from "./messages.ts";
import type { Context, EscrowState } from "./state.ts";

/** Two clocks may run apart by this share of a duration; VM clocks are slewed by at most 0.0005. */
export const CLOCK_DRIFT = 0.01;

/** Covers a borrower that was paused between reading its clock and sending a request. */
export const TAKE_BACK_MARGIN_MS = 200;

/** See {@link DEFAULT_RULES} for what each guards against. */
export interface EscrowRules {
  lentOf(state: EscrowState, pool: PoolId): number;
  holdsUntil(askedAt: number, durationMs: number, now: number): number;
  takesBackAt(durationMs: number, now: number): number;
  mayVouch(ctx: Context, epoch: number): boolean;
  mayRaise(ctx: Context): boolean;
}

/** The rules that production runs. */
export const DEFAULT_RULES: EscrowRules = {
  /** Slots that this VM has lent of a pool. Were a loan not counted, its slots would be used on both sides. */
  lentOf(state, pool) {
    let lent = 0;
    for (const loan of Object.values(state.lent)) {
      lent += loan.pool === pool ? loan.slots : 0;
    }
    return lent;
  },

  /**
   * A holder counts from when it asked, which is before the other side counted,
   * and leaves out what the two clocks may differ by. Counted from the answer's
   * arrival, a late answer would let it use slots that were taken back.
   */
  holdsUntil(askedAt, durationMs) {
    return askedAt + durationMs * (1 - 2 * CLOCK_DRIFT);
  },

  /** The lender waits out the whole duration and the margin on its own clock. */
  takesBackAt(durationMs, now) {
    return now + durationMs + TAKE_BACK_MARGIN_MS;
  },

  /**
   * Only an owner under this very epoch vouches for it. An owner that has moved
   * on and still vouched would keep a silent one alive while its slots are
   * handed to others.
   */
  mayVouch({ state, self }, epoch) {
    return state.plan?.epoch === epoch &&
      state.plan.owners.some(({ instance }) => instance === self.instance);
  },

  /**
   * Slots are raised when every earlier owner has confirmed that it holds no
   * more than its new share. One silent owner may be waited out: nobody who
   * has confirmed vouches for it any more, so its own slots end with its term.
   * Two silent ones might be vouching for each other, cut off from the rest.
   */
  mayRaise(ctx) {
    const { state, times, now } = ctx;
    const silent = silentOwners(ctx).length;
    if (silent === 0) {
      return true;
    }
    return silent === 1 && state.oneSilentSince >= 0 &&
      now >= state.oneSilentSince + times.termMs + TAKE_BACK_MARGIN_MS;
  },
};

/** Earlier owners that have not confirmed this epoch and are not known to be gone. */
export function silentOwners({ state, self }: Context): readonly Sender[] {
  return (state.plan?.earlierOwners ?? []).filter(({ instance }) =>
    instance !== self.instance &&
    !state.confirmed.includes(instance) &&
    !state.gone.includes(instance)
  );
}
