/**
 * Several escrow cores and a network that loses, duplicates and reorders
 * messages, for tests. Each core reads the world's time through a clock of its
 * own, with a rate and an offset.
 *
 * @module
 */

import { id, type InstanceId, type VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import { Escrow } from "./escrow.ts";
import type {
  EscrowEffect,
  EscrowMessage,
  EscrowPlan,
  PoolId,
  SlotUse,
} from "./messages.ts";
import { nextPlan } from "./plan.ts";
import type { EscrowTimes } from "./state.ts";

/** The only pool of the world. */
export const POOL = id<PoolId>("target-1");
/** Short durations, so that terms and loans end within a few steps. */
export const TIMES: EscrowTimes = {
  termMs: 4_000,
  loanMs: 1_000,
  retryMs: 100,
};

const STEP_MS = 100;

interface Node {
  self: Sender;
  core: Escrow;
  paused: boolean;
  /** The node's clock reads the world's time multiplied by `rate`, plus `offset`. */
  readonly rate: number;
  readonly offset: number;
}

interface Use {
  readonly owner: Node["self"];
  readonly use: SlotUse;
  readonly endsAt: number;
}

interface Envelope {
  readonly to: VmId;
  readonly message: EscrowMessage;
}

/** The simulated nodes, the messages in flight, and the requests on the target. */
export class EscrowWorld {
  readonly total: number;
  readonly nodes: Node[] = [];
  now = 0;
  network: Envelope[] = [];
  #plan: EscrowPlan | undefined;
  #uses: Use[] = [];
  #instances = 0;

  /** Creates one node for each clock rate. */
  constructor(total: number, rates: readonly number[]) {
    this.total = total;
    for (const [n, rate] of rates.entries()) {
      const self = this.#newInstance(id<VmId>(`e${n}`));
      const core = new Escrow({ self, times: TIMES });
      this.nodes.push({ self, core, paused: false, rate, offset: n * 1e6 });
    }
  }

  /** Writes the next plan to the table, created by node `planner`. */
  writePlan(planner: number, owners: readonly number[]): void {
    const { core } = this.nodes[planner]!;
    this.#plan = nextPlan(this.#plan, {
      owners: owners.map((n) => this.nodes[n]!.self),
      pools: [{ pool: POOL, total: this.total }],
      settled: core.settled && core.plan?.epoch === this.#plan?.epoch,
    });
  }

  /** Node `n` reads the table. */
  readPlan(n: number): void {
    const plan = this.#plan;
    if (plan !== undefined) {
      this.act(n, (core, now) => core.adopt(plan, now));
    }
  }

  /** Runs a step of one core, unless it is paused. */
  act(
    n: number,
    step: (core: Escrow, now: number) => readonly EscrowEffect[],
  ): void {
    const node = this.nodes[n]!;
    if (node.paused) {
      return;
    }
    for (const effect of step(node.core, this.clock(node))) {
      if (effect.kind === "send") {
        this.network.push({ to: effect.to, message: effect.message });
      }
    }
  }

  /** Delivers one message in flight; `keep` leaves a copy that may be delivered again. */
  deliver(at: number, keep: boolean): void {
    const envelope = this.network[at % this.network.length];
    const n = this.nodes.findIndex(({ self }) => self.vm === envelope?.to);
    if (envelope === undefined || this.nodes[n]!.paused) {
      return;
    }
    if (!keep) {
      this.drop(at);
    }
    this.act(n, (core, now) => core.receive(envelope.message, now));
  }

  drop(at: number): void {
    this.network.splice(at % this.network.length, 1);
  }

  /** Takes a slot for a request that lasts `durationMs`. */
  acquire(n: number, durationMs: number): void {
    const node = this.nodes[n]!;
    if (node.paused) {
      return;
    }
    const use = node.core.acquire(POOL, { durationMs }, this.clock(node));
    if (use !== undefined) {
      const endsAt = this.now + durationMs / node.rate;
      this.#uses.push({ owner: node.self, use, endsAt });
    }
  }

  /** Ends a request on the target; its VM releases the slot if it is still the same instance. */
  finish(at: number): void {
    const [done] = this.#uses.splice(at % Math.max(1, this.#uses.length), 1);
    const n = this.nodes.findIndex(({ self }) => self === done?.owner);
    if (done !== undefined && n >= 0) {
      this.act(n, (core, now) => core.release(done.use, now));
    }
  }

  /** Restarts the process without its state; its requests on the target continue. */
  restart(n: number): void {
    const node = this.nodes[n]!;
    node.self = this.#newInstance(node.self.vm);
    node.core = new Escrow({ self: node.self, times: TIMES });
    node.paused = false;
  }

  /**
   * Advances time for the nodes `among`, without message loss between them. The
   * others do nothing, and messages to them stay in flight.
   */
  run(durationMs: number, among: readonly number[] = this.#all()): void {
    for (let step = 0; step < durationMs; step += STEP_MS) {
      this.now += STEP_MS;
      among.forEach((n) => this.act(n, (core, now) => core.tick(now)));
      const sent = this.network;
      this.network = [];
      for (const envelope of sent) {
        const n = this.nodes.findIndex(({ self }) => self.vm === envelope.to);
        if (among.includes(n) && !this.nodes[n]!.paused) {
          this.act(n, (core, now) => core.receive(envelope.message, now));
        } else {
          this.network.push(envelope);
        }
      }
    }
  }

  /** Slots that are in use or could be acquired now. */
  occupied(): number {
    const uses = this.#uses.filter(({ endsAt }) => endsAt > this.now);
    const living = this.nodes.map((node) => {
      const held = node.core.held(POOL, this.clock(node));
      const busy = uses.filter(({ owner }) => owner === node.self).length;
      return Math.max(held, busy);
    });
    const orphaned = uses.filter(({ owner }) =>
      this.nodes.every(({ self }) => self !== owner)
    );
    return living.reduce((a, b) => a + b, 0) + orphaned.length;
  }

  held(n: number): number {
    const node = this.nodes[n]!;
    return node.core.held(POOL, this.clock(node));
  }

  clock(node: Node): number {
    return this.now * node.rate + node.offset;
  }

  #all(): readonly number[] {
    return this.nodes.map((_, n) => n);
  }

  #newInstance(vm: VmId): Sender {
    this.#instances += 1;
    return { vm, instance: id<InstanceId>(`${vm}-${this.#instances}`) };
  }
}
