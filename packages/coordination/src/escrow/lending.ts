/**
 * The lender's side of a loan. Every step lowers the lender's own count before
 * the borrower can know of it.
 *
 * @module
 */

import type { EscrowMessage, LoanId, PoolId } from "./messages.ts";
import { send } from "./ownership.ts";
import { type Context, entriesOf, type Lent } from "./state.ts";

type Borrow = EscrowMessage & { kind: "borrow" };

/** Lends, lengthens a loan, or refuses. */
export function answerBorrow(ctx: Context, asked: Borrow): void {
  const { state } = ctx;
  const known = state.lent[asked.loan];
  if (known === undefined && state.closed[asked.loan] !== undefined) {
    // A repeat of a request for a loan that was given back would lock its slots
    // until they expire.
    return refuse(ctx, asked);
  }
  const durationMs = grantableMs(ctx, asked.durationMs);
  const slots = known?.slots ??
    Math.min(asked.slots, spareOf(ctx, asked.pool));
  if (slots <= 0 || durationMs <= 0) {
    return refuse(ctx, asked);
  }
  const takeBackAt = ctx.rules.takesBackAt(durationMs, ctx.now);
  if (known === undefined) {
    state.lent[asked.loan] = {
      pool: asked.pool,
      slots,
      borrower: asked.from,
      takeBackAt,
    };
  } else {
    known.takeBackAt = Math.max(known.takeBackAt, takeBackAt);
  }
  send(ctx, asked.from, {
    kind: "grant",
    from: ctx.self,
    loan: asked.loan,
    slots,
    attempt: asked.attempt,
    durationMs,
  });
}

/** A loan ends before the lender's own term does: what it may not use it may not lend. */
function grantableMs({ state, times, now }: Context, asked: number): number {
  return Math.min(asked, times.loanMs, state.validUntil - now);
}

/** Half of what is free, rounded up: the lender's own callers come next. */
export function spareOf(ctx: Context, pool: PoolId): number {
  const { state, rules } = ctx;
  const entry = state.pools[pool];
  if (entry === undefined) {
    return 0;
  }
  const free = entry.share - entry.used - rules.lentOf(state, pool);
  return Math.ceil(Math.max(0, free) / 2);
}

function refuse(ctx: Context, asked: Borrow): void {
  send(ctx, asked.from, {
    kind: "refuse",
    from: ctx.self,
    loan: asked.loan,
    spare: spareOf(ctx, asked.pool),
  });
}

/** The borrower has stopped: the slots are this VM's again. */
export function takeReturn(ctx: Context, loan: LoanId): void {
  const { state, times, now } = ctx;
  delete state.lent[loan];
  state.closed[loan] = now + times.loanMs;
}

/** Takes back what has run out, and forgets what was closed long ago. */
export function takeBackExpired(ctx: Context): void {
  const { state, now } = ctx;
  for (const [id, loan] of entriesOf<LoanId, Lent>(state.lent)) {
    if (now >= loan.takeBackAt) {
      delete state.lent[id];
    }
  }
  for (const [id, until] of entriesOf(state.closed)) {
    if (now >= until) {
      delete state.closed[id];
    }
  }
}
