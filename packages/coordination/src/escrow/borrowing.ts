/**
 * The borrower's side of a loan.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { EscrowMessage, LoanId, PoolId } from "./messages.ts";
import { send } from "./ownership.ts";
import {
  type Borrowed,
  type Context,
  entriesOf,
  lastAskedAt,
  newAskLog,
  noteAsk,
  type PoolState,
} from "./state.ts";

/** A request for a loan is repeated this often before another lender is asked. */
const ATTEMPTS = 3;

/**
 * Once every owner has refused, one is asked this often. Where all lack slots,
 * each of them would ask all others without a pause, in vain.
 */
const REFUSED_BY_ALL_MS = 1_000;

/** Slots of a pool that this VM may use now, in use or not. */
export function heldOf(ctx: Context, pool: PoolId): number {
  return ownOf(ctx, pool) + loansOf(ctx, pool)
    .reduce((sum, [, loan]) => sum + loan.slots, 0);
}

/** Own slots of a pool that are not lent and whose term runs. */
export function ownOf({ state, rules, now }: Context, pool: PoolId): number {
  const entry = state.pools[pool];
  if (entry === undefined || now >= state.validUntil) {
    return 0;
  }
  return entry.share - rules.lentOf(state, pool);
}

/** Loans of a pool that have not ended. */
export function loansOf(
  { state, now }: Context,
  pool: PoolId,
): readonly [LoanId, Borrowed][] {
  return entriesOf<LoanId, Borrowed>(state.borrowed)
    .filter(([, loan]) => loan.pool === pool && now < loan.stopsAt);
}

/** Lengthens, returns and repeats what is due, and asks for what is lacking. */
export function tendLoans(ctx: Context): void {
  for (const [id, loan] of entriesOf<LoanId, Borrowed>(ctx.state.borrowed)) {
    tendLoan(ctx, id, loan);
  }
  for (const [id, pool] of entriesOf<PoolId, PoolState>(ctx.state.pools)) {
    askForLacking(ctx, id, pool);
  }
}

function tendLoan(ctx: Context, id: LoanId, loan: Borrowed): void {
  const { state, times, now } = ctx;
  const granted = loan.slots > 0;
  if (granted && now >= loan.stopsAt) {
    delete state.borrowed[id];
    return;
  }
  if (granted && loan.used === 0 && isSurplus(ctx, loan)) {
    giveBack(ctx, id, loan);
    return;
  }
  if (now < lastAskedAt(loan.asks) + times.retryMs) {
    return;
  }
  if (!granted) {
    if (loan.asks.attempt >= ATTEMPTS) {
      giveBack(ctx, id, loan);
    } else {
      ask(ctx, id, loan);
    }
    return;
  }
  const halfGone = loan.stopsAt - now < times.loanMs / 2;
  if (halfGone && !isSurplus(ctx, loan)) {
    ask(ctx, id, loan);
  }
}

function isSurplus(ctx: Context, loan: Borrowed): boolean {
  const wanted = ctx.state.pools[loan.pool]?.wanted ?? 0;
  return heldOf(ctx, loan.pool) - loan.slots >= wanted;
}

function askForLacking(ctx: Context, id: PoolId, pool: PoolState): void {
  const { state } = ctx;
  if (pool.wanted === 0) {
    return;
  }
  const lacking = pool.wanted - heldOf(ctx, id);
  const asking = (Object.values(state.borrowed) as Borrowed[])
    .some((loan) => loan.pool === id && loan.slots === 0);
  if (lacking <= 0 || asking || ctx.now < pool.askAgainAt) {
    return;
  }
  const lender = chooseLender(ctx, id);
  if (lender === undefined) {
    return;
  }
  state.loans += 1;
  const loan: Borrowed = {
    pool: id,
    lender,
    asked: lacking,
    slots: 0,
    asks: newAskLog(),
    stopsAt: 0,
    used: 0,
  };
  const loanId = `${ctx.self.instance}/${state.loans}` as LoanId;
  state.borrowed[loanId] = loan;
  ask(ctx, loanId, loan);
}

/** The owner that could last spare most; owners not heard from count as able to spare one. */
function chooseLender(ctx: Context, pool: PoolId): Sender | undefined {
  const { state, self } = ctx;
  const others = (state.plan?.owners ?? [])
    .filter(({ instance }) => instance !== self.instance);
  let best: Sender | undefined;
  let most = -1;
  for (let step = 0; step < others.length; step++) {
    // The start moves on with each loan, so that equal lenders take turns.
    const owner = others[(state.loans + step) % others.length]!;
    const spare = state.spare[spareKey(owner, pool)] ?? 1;
    if (spare > most) {
      best = owner;
      most = spare;
    }
  }
  return best;
}

function spareKey(owner: Sender, pool: PoolId): string {
  return `${owner.instance} ${pool}`;
}

function ask(ctx: Context, id: LoanId, loan: Borrowed): void {
  const attempt = noteAsk(loan.asks, ctx.now);
  send(ctx, loan.lender, {
    kind: "borrow",
    from: ctx.self,
    loan: id,
    pool: loan.pool,
    slots: loan.slots > 0 ? loan.slots : loan.asked,
    durationMs: ctx.times.loanMs,
    attempt,
  });
}

/** Forgets the loan first and tells the lender after: a late grant finds nothing to revive. */
function giveBack(ctx: Context, id: LoanId, loan: Borrowed): void {
  delete ctx.state.borrowed[id];
  send(ctx, loan.lender, { kind: "return", from: ctx.self, loan: id });
}

/** Takes in a grant; it counts from when its own request was sent. */
export function takeGrant(
  ctx: Context,
  grant: EscrowMessage & { kind: "grant" },
): void {
  const loan = ctx.state.borrowed[grant.loan];
  if (loan === undefined) {
    send(ctx, grant.from, {
      kind: "return",
      from: ctx.self,
      loan: grant.loan,
    });
    return;
  }
  const askedAt = loan.asks.sentAt[grant.attempt];
  if (askedAt === undefined) {
    return;
  }
  const until = ctx.rules.holdsUntil(askedAt, grant.durationMs, ctx.now);
  if (until <= Math.max(ctx.now, loan.stopsAt)) {
    // A late or repeated grant. The lender may have taken the loan back and
    // given it anew with fewer slots since: its number must not come back.
    return;
  }
  loan.slots = grant.slots;
  ctx.state.pools[loan.pool]!.refusals = 0;
  loan.stopsAt = until;
}

/** Takes in a refusal: a loan not yet granted ends, a granted one runs out by itself. */
export function takeRefusal(
  ctx: Context,
  refusal: EscrowMessage & { kind: "refuse" },
): void {
  const loan = ctx.state.borrowed[refusal.loan];
  if (loan === undefined) {
    return;
  }
  ctx.state.spare[spareKey(refusal.from, loan.pool)] = refusal.spare;
  if (loan.slots > 0) {
    return;
  }
  delete ctx.state.borrowed[refusal.loan];
  const pool = ctx.state.pools[loan.pool]!;
  pool.refusals += 1;
  if (pool.refusals >= (ctx.state.plan?.owners.length ?? 0) - 1) {
    pool.askAgainAt = ctx.now + REFUSED_BY_ALL_MS;
  }
}
