/**
 * The escrow core of one VM.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import {
  heldOf,
  loansOf,
  ownOf,
  takeGrant,
  takeRefusal,
  tendLoans,
} from "./borrowing.ts";
import { answerBorrow, takeBackExpired, takeReturn } from "./lending.ts";
import type {
  EscrowEffect,
  EscrowMessage,
  EscrowPlan,
  PoolId,
  SlotUse,
} from "./messages.ts";
import {
  adoptPlan,
  announceLowered,
  answerRenewal,
  extendTerm,
  renewTerm,
  settle,
  takeLowered,
  takeRenewal,
} from "./ownership.ts";
import { DEFAULT_RULES, type EscrowRules } from "./rules.ts";
import {
  type Context,
  entriesOf,
  type EscrowState,
  type EscrowTimes,
  initialState,
} from "./state.ts";

/** Durations for requests with deadlines up to 30 s. */
export const DEFAULT_TIMES: EscrowTimes = {
  termMs: 60_000,
  loanMs: 10_000,
  retryMs: 300,
};

/** Who this VM is, and how long things last. */
export interface EscrowOptions {
  readonly self: Sender;
  readonly times?: EscrowTimes;
  /** Only a model that breaks a rule sets this. */
  readonly rules?: EscrowRules;
}

/** What a request asks of a slot. */
export interface SlotNeed {
  /** The request ends within this time, by its deadline. */
  readonly durationMs: number;
}

/**
 * Holds this VM's slots. Call {@link tick} every 100 ms or so. Each method that
 * changes something returns what to send and what changed.
 */
export class Escrow {
  readonly #options: Required<EscrowOptions>;
  readonly #state: EscrowState;
  /** Slots that were last reported as held, by pool. */
  readonly #reported = new Map<PoolId, number>();
  /** The plan under which all pools were last looked at and nothing was in question. */
  #calmPlan: EscrowPlan | undefined;

  /** `state` continues a copied core; a daemon that starts passes none and so forgets safely. */
  constructor(options: EscrowOptions, state: EscrowState = initialState()) {
    this.#options = { times: DEFAULT_TIMES, rules: DEFAULT_RULES, ...options };
    this.#state = state;
  }

  /** The plan that this VM goes by. */
  get plan(): EscrowPlan | undefined {
    return this.#state.plan;
  }

  /** Whether every earlier owner is known to hold no more than its share of this plan. */
  get settled(): boolean {
    return this.#state.raised;
  }

  /** Takes in a plan; an older or equal epoch is ignored. */
  adopt(plan: EscrowPlan, now: number): readonly EscrowEffect[] {
    this.#calmPlan = undefined;
    return this.#step(now, (ctx) => adoptPlan(ctx, plan));
  }

  /**
   * The table was read and `epoch` was the newest there. `askedAt` is when the
   * read was sent, on this VM's clock: a plan written since then is not seen.
   */
  confirmCurrent(
    epoch: number,
    { askedAt, now }: { askedAt: number; now: number },
  ): readonly EscrowEffect[] {
    return this.#step(now, (ctx) => {
      if (epoch === ctx.state.plan?.epoch) {
        extendTerm(ctx, askedAt);
      }
    });
  }

  /** Takes in a message of a peer. */
  receive(message: EscrowMessage, now: number): readonly EscrowEffect[] {
    const pools = touchedBy(message, this.#state);
    return this.#step(now, (ctx) => receive(ctx, message), pools);
  }

  /** Lets time pass. */
  tick(now: number): readonly EscrowEffect[] {
    return this.#step(now, (ctx) => {
      renewTerm(ctx);
      announceLowered(ctx);
      tendLoans(ctx);
    });
  }

  /** Asks for loans until this VM holds `slots` of a pool; 0 ends the wish. */
  want(pool: PoolId, slots: number, now: number): readonly EscrowEffect[] {
    return this.#step(now, (ctx) => {
      const entry = ctx.state.pools[pool];
      if (entry !== undefined) {
        entry.refusals = slots === entry.wanted ? entry.refusals : 0;
        entry.wanted = slots;
        tendLoans(ctx);
      }
    });
  }

  /**
   * The platform says that an instance is gone, and was for longer than any
   * request's deadline: it holds nothing any more.
   */
  gone(instance: InstanceId, now: number): readonly EscrowEffect[] {
    return this.#step(now, ({ state }) => {
      if (!state.gone.includes(instance)) {
        state.gone.push(instance);
      }
    });
  }

  /** Slots of a pool that this VM may use, in use or not. */
  held(pool: PoolId, now: number): number {
    return heldOf(this.#context(now), pool);
  }

  /** Slots of a pool that are free for a request of `need`. */
  free(pool: PoolId, need: SlotNeed, now: number): number {
    const ctx = this.#context(now);
    const endsAt = now + need.durationMs;
    const loans = loansOf(ctx, pool)
      .filter(([, loan]) => endsAt < loan.stopsAt)
      .reduce((sum, [, loan]) => sum + loan.slots - loan.used, 0);
    return loans + freeOwn(ctx, pool, endsAt);
  }

  /**
   * Takes a slot for one request; undefined when none is free for that long. A
   * request never outlives the right to its slot: it would still run on the
   * target while the slot is someone else's.
   */
  acquire(pool: PoolId, need: SlotNeed, now: number): SlotUse | undefined {
    const ctx = this.#context(now);
    const endsAt = now + need.durationMs;
    if (freeOwn(ctx, pool, endsAt) > 0) {
      ctx.state.pools[pool]!.used += 1;
      return { pool, loan: undefined };
    }
    for (const [id, loan] of loansOf(ctx, pool)) {
      if (loan.used < loan.slots && endsAt < loan.stopsAt) {
        loan.used += 1;
        return { pool, loan: id };
      }
    }
    return undefined;
  }

  /** Gives a slot back. */
  release(use: SlotUse, now: number): readonly EscrowEffect[] {
    return this.#step(now, ({ state }) => {
      if (use.loan === undefined) {
        state.pools[use.pool]!.used -= 1;
        return;
      }
      const loan = state.borrowed[use.loan];
      if (loan !== undefined) {
        loan.used -= 1;
      }
    });
  }

  #context(now: number): Context {
    return { ...this.#options, state: this.#state, now, effects: [] };
  }

  /** Pools that time alone may change: those with loans, or all while a plan or the term is in question. */
  #changeable(now: number): readonly PoolId[] | undefined {
    const { plan, raised, validUntil, lent, borrowed } = this.#state;
    const isCalm = raised && now < validUntil && plan === this.#calmPlan;
    this.#calmPlan = raised && now < validUntil ? plan : undefined;
    return isCalm
      ? [...Object.values(lent), ...Object.values(borrowed)]
        .map((loan) => (loan as { pool: PoolId }).pool)
      : undefined;
  }

  /** Runs a step; `pools` bounds those whose slots it may change. */
  #step(
    now: number,
    body: (ctx: Context) => void,
    pools?: readonly PoolId[],
  ): readonly EscrowEffect[] {
    const ctx = this.#context(now);
    const touched = pools ?? this.#changeable(now);
    takeBackExpired(ctx);
    body(ctx);
    settle(ctx);
    for (const pool of touched ?? poolsOf(ctx.state)) {
      const held = heldOf(ctx, pool);
      if (held !== (this.#reported.get(pool) ?? 0)) {
        this.#reported.set(pool, held);
        ctx.effects.push({ kind: "changed", pool, held });
      }
    }
    return ctx.effects;
  }
}

function poolsOf(state: EscrowState): readonly PoolId[] {
  return entriesOf(state.pools).map(([pool]) => pool);
}

/** The pools that a message may change, or undefined for all. Most messages are about one loan. */
function touchedBy(
  message: EscrowMessage,
  state: EscrowState,
): readonly PoolId[] | undefined {
  switch (message.kind) {
    case "borrow":
      return [message.pool];
    case "grant":
    case "refuse":
    case "return": {
      const { loan } = message;
      const pool = state.borrowed[loan]?.pool ?? state.lent[loan]?.pool;
      return pool === undefined ? [] : [pool];
    }
    default:
      return undefined;
  }
}

function freeOwn(ctx: Context, pool: PoolId, endsAt: number): number {
  if (endsAt >= ctx.state.validUntil) {
    return 0;
  }
  return Math.max(0, ownOf(ctx, pool) - ctx.state.pools[pool]!.used);
}

function receive(ctx: Context, message: EscrowMessage): void {
  switch (message.kind) {
    case "borrow":
      return answerBorrow(ctx, message);
    case "grant":
      return takeGrant(ctx, message);
    case "refuse":
      return takeRefusal(ctx, message);
    case "return":
      return takeReturn(ctx, message.loan);
    case "renew":
      return answerRenewal(ctx, message);
    case "renewed":
      return takeRenewal(ctx, message);
    case "outdated":
      if (message.epoch > (ctx.state.plan?.epoch ?? 0)) {
        ctx.effects.push({
          kind: "outdated",
          vm: message.from.vm,
          epoch: message.epoch,
        });
      }
      return;
    case "lowered":
      return takeLowered(ctx, message);
    case "lowered-seen":
      if (message.epoch === ctx.state.plan?.epoch) {
        ctx.state.heardLowered.push(message.from.instance);
      }
      return;
    default:
      message satisfies never;
  }
}
