/**
 * The escrow core of one VM.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import {
  handleGrant,
  handleRefusal,
  heldOf,
  loansOf,
  ownOf,
  updateLoans,
} from "./borrowing.ts";
import { handleBorrow, handleReturn, reclaimExpired } from "./lending.ts";
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
  extendTerm,
  handleLowered,
  handleRenew,
  handleRenewed,
  renewTerm,
  settle,
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

/** Options of {@link Escrow}. */
export interface EscrowOptions {
  readonly self: Sender;
  readonly times?: EscrowTimes;
  /** Set only by models that break a rule. */
  readonly rules?: EscrowRules;
}

/** Requirements of a request for a slot. */
export interface SlotNeed {
  /** Time until the request's deadline. */
  readonly durationMs: number;
}

/**
 * Manages this VM's slots. Call {@link tick} about every 100 ms. Each method that
 * changes the state returns the messages to send and the changes.
 */
export class Escrow {
  readonly #options: Required<EscrowOptions>;
  readonly #state: EscrowState;
  /** Last reported number of held slots, by pool. */
  readonly #reported = new Map<PoolId, number>();
  /** The plan for which all pools were last checked while settled and within the term. */
  #stablePlan: EscrowPlan | undefined;

  /** `state` continues a copied core; a starting daemon passes none, since it must not rely on earlier state. */
  constructor(options: EscrowOptions, state: EscrowState = initialState()) {
    this.#options = { times: DEFAULT_TIMES, rules: DEFAULT_RULES, ...options };
    this.#state = state;
  }

  /** The current plan of this VM. */
  get plan(): EscrowPlan | undefined {
    return this.#state.plan;
  }

  /** Whether every earlier owner is known to hold no more than its share of this plan. */
  get settled(): boolean {
    return this.#state.raised;
  }

  /** Adopts a plan; one with an older or equal epoch is ignored. */
  adopt(plan: EscrowPlan, now: number): readonly EscrowEffect[] {
    this.#stablePlan = undefined;
    return this.#step(now, (ctx) => adoptPlan(ctx, plan));
  }

  /**
   * Reports a read of the table that found `epoch` as the newest. `askedAt` is
   * when the read was sent, on this VM's clock: it does not cover a plan written
   * after that.
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

  /** Handles a message from a peer. */
  receive(message: EscrowMessage, now: number): readonly EscrowEffect[] {
    const pools = touchedBy(message, this.#state);
    return this.#step(now, (ctx) => receive(ctx, message), pools);
  }

  /** Advances time. */
  tick(now: number): readonly EscrowEffect[] {
    return this.#step(now, (ctx) => {
      renewTerm(ctx);
      announceLowered(ctx);
      updateLoans(ctx);
    });
  }

  /** Requests loans until this VM holds `slots` of a pool; 0 stops the requests. */
  setWanted(pool: PoolId, slots: number, now: number): readonly EscrowEffect[] {
    return this.#step(now, (ctx) => {
      const entry = ctx.state.pools[pool];
      if (entry !== undefined) {
        entry.refusals = slots === entry.wanted ? entry.refusals : 0;
        entry.wanted = slots;
        updateLoans(ctx);
      }
    });
  }

  /**
   * Reports that, according to the platform, an instance ended longer ago than
   * any request's deadline, so it holds no slots.
   */
  instanceEnded(instance: InstanceId, now: number): readonly EscrowEffect[] {
    return this.#step(now, ({ state }) => {
      if (!state.ended.includes(instance)) {
        state.ended.push(instance);
      }
    });
  }

  /** Slots of a pool that this VM may use, whether in use or not. */
  held(pool: PoolId, now: number): number {
    return heldOf(this.#context(now), pool);
  }

  /** Slots of a pool that are free for a request with `need`. */
  free(pool: PoolId, need: SlotNeed, now: number): number {
    const ctx = this.#context(now);
    const endsAt = now + need.durationMs;
    const loans = loansOf(ctx, pool)
      .filter(([, loan]) => endsAt < loan.stopsAt)
      .reduce((sum, [, loan]) => sum + loan.slots - loan.used, 0);
    return loans + freeOwn(ctx, pool, endsAt);
  }

  /**
   * Takes a slot for one request; undefined if none is free for that duration. A
   * request must end before the right to its slot does: otherwise it would still
   * run on the target while another VM uses the slot.
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

  /** Releases a slot. */
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

  /** Pools whose held slots may change by elapsed time alone: those with loans, or all (undefined) while the plan is not settled or the term has ended. */
  #changeable(now: number): readonly PoolId[] | undefined {
    const { plan, raised, validUntil, lent, borrowed } = this.#state;
    const isStable = raised && now < validUntil && plan === this.#stablePlan;
    this.#stablePlan = raised && now < validUntil ? plan : undefined;
    return isStable
      ? [...Object.values(lent), ...Object.values(borrowed)]
        .map((loan) => (loan as { pool: PoolId }).pool)
      : undefined;
  }

  /** Runs a step; `pools` lists the pools whose slots it may change, all if undefined. */
  #step(
    now: number,
    body: (ctx: Context) => void,
    pools?: readonly PoolId[],
  ): readonly EscrowEffect[] {
    const ctx = this.#context(now);
    const touched = pools ?? this.#changeable(now);
    reclaimExpired(ctx);
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

/** The pools that a message may change, or undefined for all. Most messages concern a single loan. */
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
      return handleBorrow(ctx, message);
    case "grant":
      return handleGrant(ctx, message);
    case "refuse":
      return handleRefusal(ctx, message);
    case "return":
      return handleReturn(ctx, message.loan);
    case "renew":
      return handleRenew(ctx, message);
    case "renewed":
      return handleRenewed(ctx, message);
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
      return handleLowered(ctx, message);
    case "lowered-seen":
      if (message.epoch === ctx.state.plan?.epoch) {
        ctx.state.loweredAckedBy.push(message.from.instance);
      }
      return;
    default:
      message satisfies never;
  }
}
