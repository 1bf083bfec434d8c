/**
 * The lender's side of a loan. Each step lowers the lender's own count before the
 * borrower can learn of it.
 *
 * @module
 */

import type { EscrowMessage, LoanId, PoolId } from "./messages.ts";
import { send } from "./ownership.ts";
import { type Context, entriesOf, type Lent } from "./state.ts";

type Borrow = EscrowMessage & { kind: "borrow" };

/** Handles a loan request: lends, extends the loan, or refuses. */
export function handleBorrow(ctx: Context, request: Borrow): void {
  const { state } = ctx;
  const known = state.lent[request.loan];
  if (known === undefined && state.closed[request.loan] !== undefined) {
    // If a duplicate request for a returned loan were granted, its slots would be
    // unusable until the loan expires.
    return refuse(ctx, request);
  }
  const durationMs = grantableMs(ctx, request.durationMs);
  const slots = known?.slots ??
    Math.min(request.slots, spareOf(ctx, request.pool));
  if (slots <= 0 || durationMs <= 0) {
    return refuse(ctx, request);
  }
  const takeBackAt = ctx.rules.takesBackAt(durationMs, ctx.now);
  if (known === undefined) {
    state.lent[request.loan] = {
      pool: request.pool,
      slots,
      borrower: request.from,
      takeBackAt,
    };
  } else {
    known.takeBackAt = Math.max(known.takeBackAt, takeBackAt);
  }
  send(ctx, request.from, {
    kind: "grant",
    from: ctx.self,
    loan: request.loan,
    slots,
    attempt: request.attempt,
    durationMs,
  });
}

/** A loan ends before the lender's own term: slots that the lender may not use it may not lend. */
function grantableMs(
  { state, times, now }: Context,
  requestedMs: number,
): number {
  return Math.min(requestedMs, times.loanMs, state.validUntil - now);
}

/** Half of the free slots, rounded up; the rest is kept for the lender's own callers. */
export function spareOf(ctx: Context, pool: PoolId): number {
  const { state, rules } = ctx;
  const entry = state.pools[pool];
  if (entry === undefined) {
    return 0;
  }
  const free = entry.share - entry.used - rules.lentOf(state, pool);
  return Math.ceil(Math.max(0, free) / 2);
}

function refuse(ctx: Context, request: Borrow): void {
  send(ctx, request.from, {
    kind: "refuse",
    from: ctx.self,
    loan: request.loan,
    spare: spareOf(ctx, request.pool),
  });
}

/** Handles a returned loan: this VM may use the slots again. */
export function handleReturn(ctx: Context, loan: LoanId): void {
  const { state, times, now } = ctx;
  delete state.lent[loan];
  state.closed[loan] = now + times.loanMs;
}

/** Reclaims expired loans, and removes old entries of closed loans. */
export function reclaimExpired(ctx: Context): void {
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
