/**
 * The escrow core of one VM.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import type {
  EscrowEffect,
  EscrowMessage,
  EscrowPlan,
  PoolId,
  SlotUse,
} from "./messages.ts";
import { sharesOf } from "./shares.ts";

/** Who this VM is. */
export interface EscrowOptions {
  readonly self: Sender;
}

/** What a request asks of a slot. */
export interface SlotNeed {
  /** The request ends within this time, by its deadline. */
  readonly durationMs: number;
}

/** Holds this VM's slots. Call {@link tick} every 100 ms or so. */
export class Escrow {
  readonly #self: Sender;
  readonly #used = new Map<PoolId, number>();
  readonly #shares = new Map<PoolId, number>();

  constructor(options: EscrowOptions) {
    this.#self = options.self;
  }

  /** Takes in a plan; an older or equal epoch is ignored. */
  adopt(plan: EscrowPlan, _now: number): readonly EscrowEffect[] {
    const effects: EscrowEffect[] = [];
    for (const pool of plan.pools) {
      const held = sharesOf(pool, plan.owners).get(this.#self.instance) ?? 0;
      this.#shares.set(pool.pool, held);
      effects.push({ kind: "changed", pool: pool.pool, held });
    }
    return effects;
  }

  /** Takes in a message of a peer. */
  receive(_message: EscrowMessage, _now: number): readonly EscrowEffect[] {
    return [];
  }

  /** Lets time pass. */
  tick(_now: number): readonly EscrowEffect[] {
    return [];
  }

  /** Asks for loans until this VM holds `slots` of a pool; 0 ends the wish. */
  want(_pool: PoolId, _slots: number, _now: number): readonly EscrowEffect[] {
    return [];
  }

  /** The platform says that an instance is gone: it holds nothing any more. */
  gone(_instance: InstanceId, _now: number): readonly EscrowEffect[] {
    return [];
  }

  /** Slots of a pool that this VM may use, in use or not. */
  held(pool: PoolId, _now: number): number {
    return this.#shares.get(pool) ?? 0;
  }

  /** Slots of a pool that are free for a request of `need`. */
  free(pool: PoolId, _need: SlotNeed, now: number): number {
    return this.held(pool, now) - (this.#used.get(pool) ?? 0);
  }

  /** Takes a slot for one request; undefined when none is free for that long. */
  acquire(pool: PoolId, need: SlotNeed, now: number): SlotUse | undefined {
    if (this.free(pool, need, now) <= 0) {
      return undefined;
    }
    this.#used.set(pool, (this.#used.get(pool) ?? 0) + 1);
    return { pool, loan: undefined };
  }

  /** Gives a slot back. */
  release(use: SlotUse, _now: number): readonly EscrowEffect[] {
    this.#used.set(use.pool, this.#used.get(use.pool)! - 1);
    return [];
  }
}
