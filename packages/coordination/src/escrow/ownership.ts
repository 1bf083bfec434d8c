/**
 * Ownership of slots: plans, terms, and moves between owners, in which all shares
 * are lowered before any is raised.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { EscrowPlan } from "./messages.ts";
import { unconfirmedOwners } from "./rules.ts";
import { sharesOf } from "./shares.ts";
import {
  type Context,
  entriesOf,
  lastSentAt,
  NEVER,
  newPool,
  type PoolState,
  recordRequest,
} from "./state.ts";

/** Renewal requests per term, so that a few lost messages do not end it. */
const RENEWALS_PER_TERM = 6;

/** Adopts a plan if its epoch is higher than that of the current one. */
export function adoptPlan(ctx: Context, plan: EscrowPlan): void {
  const { state, self } = ctx;
  if (plan.epoch <= (state.plan?.epoch ?? 0)) {
    return;
  }
  state.plan = plan;
  state.confirmed = [];
  state.loweredAckedBy = [];
  state.loweredSentAt = NEVER;
  // Responses about the previous epoch must not count for this one.
  state.renewals.sentAt = {};
  state.oneSilentSince = -1;
  state.raised = false;
  for (const pool of Object.values(state.pools) as PoolState[]) {
    pool.target = 0;
  }
  for (const pool of plan.pools) {
    const entry = state.pools[pool.pool] ??
      newPool();
    entry.target = sharesOf(pool, plan.owners).get(self.instance) ?? 0;
    state.pools[pool.pool] = entry;
  }
  settle(ctx);
}

/** Lowers shares where possible, and raises them once every earlier owner has lowered. */
export function settle(ctx: Context): void {
  const { state, rules, self } = ctx;
  if (state.plan === undefined || state.raised) {
    return;
  }
  for (const [id, pool] of entriesOf(state.pools)) {
    const bound = pool.used + rules.lentOf(state, id);
    pool.share = Math.min(pool.share, Math.max(pool.target, bound));
  }
  if (isLowered(ctx) && !state.confirmed.includes(self.instance)) {
    state.confirmed.push(self.instance);
  }
  trackSingleUnconfirmed(ctx);
  if (isLowered(ctx) && rules.mayRaise(ctx)) {
    state.raised = true;
    for (const pool of Object.values(state.pools) as PoolState[]) {
      pool.share = pool.target;
    }
  }
}

function isLowered({ state }: Context): boolean {
  return (Object.values(state.pools) as PoolState[])
    .every(({ share, target }) => share <= target);
}

function trackSingleUnconfirmed(ctx: Context): void {
  const { state, now } = ctx;
  if (unconfirmedOwners(ctx).length !== 1) {
    state.oneSilentSince = -1;
  } else if (state.oneSilentSince < 0) {
    state.oneSilentSince = now;
  }
}

/** Renews this VM's term with one other owner at a time, in rotation. */
export function renewTerm(ctx: Context): void {
  const { state, self, times, now } = ctx;
  const others = otherOwners(ctx);
  if (others === undefined || others.length === 0) {
    return;
  }
  const intervalMs = state.validUntil > now
    ? times.termMs / RENEWALS_PER_TERM
    : times.retryMs;
  if (now < lastSentAt(state.renewals) + intervalMs) {
    return;
  }
  const attempt = recordRequest(state.renewals, now);
  const other = others[attempt % others.length]!;
  ctx.effects.push({
    kind: "send",
    to: other.vm,
    message: {
      kind: "renew",
      from: self,
      epoch: state.plan!.epoch,
      attempt,
    },
  });
}

/** The other owners, or undefined if the plan does not name this instance as an owner. */
function otherOwners({ state, self }: Context): readonly Sender[] | undefined {
  const owners = state.plan?.owners ?? [];
  if (!owners.some(({ instance }) => instance === self.instance)) {
    return undefined;
  }
  return owners.filter(({ instance }) => instance !== self.instance);
}

/** Handles an owner's request to confirm that its epoch is still the newest. */
export function handleRenew(
  ctx: Context,
  request: { from: Sender; epoch: number; attempt: number },
): void {
  const { state, self, rules } = ctx;
  if (rules.mayVouch(ctx, request.epoch)) {
    send(ctx, request.from, {
      kind: "renewed",
      from: self,
      epoch: request.epoch,
      attempt: request.attempt,
    });
    return;
  }
  const epoch = state.plan?.epoch ?? 0;
  if (epoch > request.epoch) {
    send(ctx, request.from, { kind: "outdated", from: self, epoch });
  } else if (epoch < request.epoch) {
    ctx.effects.push({
      kind: "outdated",
      vm: request.from.vm,
      epoch: request.epoch,
    });
  }
}

/** Handles another owner's confirmation of the epoch. */
export function handleRenewed(
  ctx: Context,
  response: { epoch: number; attempt: number },
): void {
  const { state } = ctx;
  const askedAt = state.renewals.sentAt[response.attempt];
  if (response.epoch === state.plan?.epoch && askedAt !== undefined) {
    extendTerm(ctx, askedAt);
  }
}

/** Extends the term, counted from when the request was sent. */
export function extendTerm(ctx: Context, askedAt: number): void {
  const { state, rules, times, now } = ctx;
  const until = rules.holdsUntil(askedAt, times.termMs, now);
  state.validUntil = Math.max(state.validUntil, until);
}

/** Notifies the owners that this VM has lowered its shares, until each has acknowledged it. */
export function announceLowered(ctx: Context): void {
  const { state, self, times, now } = ctx;
  const { plan } = state;
  const due = plan !== undefined && state.confirmed.includes(self.instance) &&
    now >= state.loweredSentAt + times.retryMs;
  if (!due) {
    return;
  }
  state.loweredSentAt = now;
  const wasOwner = plan.earlierOwners
    .some(({ instance }) => instance === self.instance);
  if (!wasOwner) {
    return;
  }
  for (const owner of plan.owners) {
    const hasAcknowledged = owner.instance === self.instance ||
      state.loweredAckedBy.includes(owner.instance);
    if (!hasAcknowledged) {
      send(ctx, owner, { kind: "lowered", from: self, epoch: plan.epoch });
    }
  }
}

/** Handles the notification that another owner has lowered its shares. */
export function handleLowered(
  ctx: Context,
  { from, epoch }: { from: Sender; epoch: number },
): void {
  const { state, self } = ctx;
  if (epoch !== state.plan?.epoch) {
    return;
  }
  if (!state.confirmed.includes(from.instance)) {
    state.confirmed.push(from.instance);
  }
  send(ctx, from, { kind: "lowered-seen", from: self, epoch });
}

/** Adds a message to the effects. */
export function send(
  ctx: Context,
  to: Sender,
  message: (Context["effects"][number] & { kind: "send" })["message"],
): void {
  ctx.effects.push({ kind: "send", to: to.vm, message });
}
