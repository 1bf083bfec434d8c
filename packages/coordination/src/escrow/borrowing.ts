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
  lastSentAt,
  newRequestLog,
  type PoolState,
  recordRequest,
} from "./state.ts";

/** Number of attempts at one lender before another is tried. */
const MAX_ATTEMPTS = 3;

/**
 * Request interval once every owner has refused. Otherwise, when all owners lack
 * slots, each would send requests to all others without pause.
 */
const ALL_REFUSED_RETRY_MS = 1_000;

/** Slots of a pool that this VM may use now, whether in use or not. */
export function heldOf(ctx: Context, pool: PoolId): number {
  return ownOf(ctx, pool) + loansOf(ctx, pool)
    .reduce((sum, [, loan]) => sum + loan.slots, 0);
}

/** Owned slots of a pool that are not lent; 0 once the term has ended. */
export function ownOf({ state, rules, now }: Context, pool: PoolId): number {
  const entry = state.pools[pool];
  if (entry === undefined || now >= state.validUntil) {
    return 0;
  }
  return entry.share - rules.lentOf(state, pool);
}

/** Loans of a pool that have not expired. */
export function loansOf(
  { state, now }: Context,
  pool: PoolId,
): readonly [LoanId, Borrowed][] {
  return entriesOf<LoanId, Borrowed>(state.borrowed)
    .filter(([, loan]) => loan.pool === pool && now < loan.stopsAt);
}

/** Extends and returns loans, retries requests that are due, and requests missing slots. */
export function updateLoans(ctx: Context): void {
  for (const [id, loan] of entriesOf<LoanId, Borrowed>(ctx.state.borrowed)) {
    updateLoan(ctx, id, loan);
  }
  for (const [id, pool] of entriesOf<PoolId, PoolState>(ctx.state.pools)) {
    requestMissing(ctx, id, pool);
  }
}

function updateLoan(ctx: Context, id: LoanId, loan: Borrowed): void {
  const { state, times, now } = ctx;
  const isGranted = loan.slots > 0;
  if (isGranted && now >= loan.stopsAt) {
    delete state.borrowed[id];
    return;
  }
  if (isGranted && loan.used === 0 && isSurplus(ctx, loan)) {
    returnLoan(ctx, id, loan);
    return;
  }
  if (now < lastSentAt(loan.requests) + times.retryMs) {
    return;
  }
  if (!isGranted) {
    if (loan.requests.attempt >= MAX_ATTEMPTS) {
      returnLoan(ctx, id, loan);
    } else {
      sendRequest(ctx, id, loan);
    }
    return;
  }
  const isHalfOver = loan.stopsAt - now < times.loanMs / 2;
  if (isHalfOver && !isSurplus(ctx, loan)) {
    sendRequest(ctx, id, loan);
  }
}

function isSurplus(ctx: Context, loan: Borrowed): boolean {
  const wanted = ctx.state.pools[loan.pool]?.wanted ?? 0;
  return heldOf(ctx, loan.pool) - loan.slots >= wanted;
}

function requestMissing(ctx: Context, id: PoolId, pool: PoolState): void {
  const { state } = ctx;
  if (pool.wanted === 0) {
    return;
  }
  const missing = pool.wanted - heldOf(ctx, id);
  const isRequesting = (Object.values(state.borrowed) as Borrowed[])
    .some((loan) => loan.pool === id && loan.slots === 0);
  if (missing <= 0 || isRequesting || ctx.now < pool.nextRequestAt) {
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
    requestedSlots: missing,
    slots: 0,
    requests: newRequestLog(),
    stopsAt: 0,
    used: 0,
  };
  const loanId = `${ctx.self.instance}/${state.loans}` as LoanId;
  state.borrowed[loanId] = loan;
  sendRequest(ctx, loanId, loan);
}

/** The owner that last reported the most slots to lend; an owner without a report counts as one slot. */
function chooseLender(ctx: Context, pool: PoolId): Sender | undefined {
  const { state, self } = ctx;
  const others = (state.plan?.owners ?? [])
    .filter(({ instance }) => instance !== self.instance);
  let lender: Sender | undefined;
  let maxSpare = -1;
  for (let step = 0; step < others.length; step++) {
    // The starting owner changes with each loan, so that equal lenders are
    // chosen in rotation.
    const owner = others[(state.loans + step) % others.length]!;
    const spare = state.spare[spareKey(owner, pool)] ?? 1;
    if (spare > maxSpare) {
      lender = owner;
      maxSpare = spare;
    }
  }
  return lender;
}

function spareKey(owner: Sender, pool: PoolId): string {
  return `${owner.instance} ${pool}`;
}

function sendRequest(ctx: Context, id: LoanId, loan: Borrowed): void {
  const attempt = recordRequest(loan.requests, ctx.now);
  send(ctx, loan.lender, {
    kind: "borrow",
    from: ctx.self,
    loan: id,
    pool: loan.pool,
    slots: loan.slots > 0 ? loan.slots : loan.requestedSlots,
    durationMs: ctx.times.loanMs,
    attempt,
  });
}

/** Removes the loan before notifying the lender, so that a late grant cannot restore it. */
function returnLoan(ctx: Context, id: LoanId, loan: Borrowed): void {
  delete ctx.state.borrowed[id];
  send(ctx, loan.lender, { kind: "return", from: ctx.self, loan: id });
}

/** Handles a grant; its duration counts from when its own request was sent. */
export function handleGrant(
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
  const askedAt = loan.requests.sentAt[grant.attempt];
  if (askedAt === undefined) {
    return;
  }
  const until = ctx.rules.holdsUntil(askedAt, grant.durationMs, ctx.now);
  if (until <= Math.max(ctx.now, loan.stopsAt)) {
    // A late or duplicate grant. The lender may since have reclaimed the loan and
    // granted it again with fewer slots, so this grant's number is outdated.
    return;
  }
  loan.slots = grant.slots;
  ctx.state.pools[loan.pool]!.refusals = 0;
  loan.stopsAt = until;
}

/** Handles a refusal: a loan that was not granted ends, a granted one expires by itself. */
export function handleRefusal(
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
    pool.nextRequestAt = ctx.now + ALL_REFUSED_RETRY_MS;
  }
}
