/**
 * Whose slots are whose: plans, their terms, and moves from owner to owner that
 * lower first and raise after.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { EscrowPlan } from "./messages.ts";
import { silentOwners } from "./rules.ts";
import { sharesOf } from "./shares.ts";
import {
  type Context,
  entriesOf,
  lastAskedAt,
  NEVER,
  newPool,
  noteAsk,
  type PoolState,
} from "./state.ts";

/** A term is renewed this often while it runs, so that a few lost messages cost nothing. */
const RENEWALS_PER_TERM = 6;

/** Takes in a plan with a higher epoch than the one this VM has. */
export function adoptPlan(ctx: Context, plan: EscrowPlan): void {
  const { state, self } = ctx;
  if (plan.epoch <= (state.plan?.epoch ?? 0)) {
    return;
  }
  state.plan = plan;
  state.confirmed = [];
  state.heardLowered = [];
  state.loweredSentAt = NEVER;
  // Answers about the epoch before must not count for this one.
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

/** Lowers what can be lowered, and raises when every earlier owner has lowered. */
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
  watchSilence(ctx);
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

function watchSilence(ctx: Context): void {
  const { state, now } = ctx;
  if (silentOwners(ctx).length !== 1) {
    state.oneSilentSince = -1;
  } else if (state.oneSilentSince < 0) {
    state.oneSilentSince = now;
  }
}

/** Renews this VM's term with one fellow owner at a time, in turn. */
export function renewTerm(ctx: Context): void {
  const { state, self, times, now } = ctx;
  const fellows = fellowOwners(ctx);
  if (fellows === undefined || fellows.length === 0) {
    return;
  }
  const everyMs = state.validUntil > now
    ? times.termMs / RENEWALS_PER_TERM
    : times.retryMs;
  if (now < lastAskedAt(state.renewals) + everyMs) {
    return;
  }
  const attempt = noteAsk(state.renewals, now);
  const fellow = fellows[attempt % fellows.length]!;
  ctx.effects.push({
    kind: "send",
    to: fellow.vm,
    message: {
      kind: "renew",
      from: self,
      epoch: state.plan!.epoch,
      attempt,
    },
  });
}

/** The other owners, or undefined where this VM owns nothing by the plan. */
function fellowOwners({ state, self }: Context): readonly Sender[] | undefined {
  const owners = state.plan?.owners ?? [];
  if (!owners.some(({ instance }) => instance === self.instance)) {
    return undefined;
  }
  return owners.filter(({ instance }) => instance !== self.instance);
}

/** Answers an owner that asks whether its epoch is still the newest. */
export function answerRenewal(
  ctx: Context,
  asked: { from: Sender; epoch: number; attempt: number },
): void {
  const { state, self, rules } = ctx;
  if (rules.mayVouch(ctx, asked.epoch)) {
    send(ctx, asked.from, {
      kind: "renewed",
      from: self,
      epoch: asked.epoch,
      attempt: asked.attempt,
    });
    return;
  }
  const epoch = state.plan?.epoch ?? 0;
  if (epoch > asked.epoch) {
    send(ctx, asked.from, { kind: "outdated", from: self, epoch });
  } else if (epoch < asked.epoch) {
    ctx.effects.push({
      kind: "outdated",
      vm: asked.from.vm,
      epoch: asked.epoch,
    });
  }
}

/** Takes in that a fellow owner vouched for the epoch. */
export function takeRenewal(
  ctx: Context,
  answer: { epoch: number; attempt: number },
): void {
  const { state } = ctx;
  const askedAt = state.renewals.sentAt[answer.attempt];
  if (answer.epoch === state.plan?.epoch && askedAt !== undefined) {
    extendTerm(ctx, askedAt);
  }
}

/** Lengthens the term, counted from when the question was asked. */
export function extendTerm(ctx: Context, askedAt: number): void {
  const { state, rules, times, now } = ctx;
  const until = rules.holdsUntil(askedAt, times.termMs, now);
  state.validUntil = Math.max(state.validUntil, until);
}

/** Tells everyone concerned that this VM has lowered, until each has heard it. */
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
    const told = owner.instance === self.instance ||
      state.heardLowered.includes(owner.instance);
    if (!told) {
      send(ctx, owner, { kind: "lowered", from: self, epoch: plan.epoch });
    }
  }
}

/** Takes in that another owner has lowered. */
export function takeLowered(
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

/** Puts a message on its way. */
export function send(
  ctx: Context,
  to: Sender,
  message: (Context["effects"][number] & { kind: "send" })["message"],
): void {
  ctx.effects.push({ kind: "send", to: to.vm, message });
}
