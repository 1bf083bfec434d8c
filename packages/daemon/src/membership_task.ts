/**
 * Runs membership: heartbeats to peers, and facts that all VMs should know.
 *
 * @module
 */

import {
  type Fact,
  type Member,
  Membership,
  type MembershipEffect,
  type MembershipMessage,
} from "@poplarthread/coordination";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import type { PeerId } from "./peers/messages.ts";
import type { ListedEntry } from "./platform_client.ts";
import { Task } from "./task.ts";

/** What the task is told. */
export type MembershipTaskMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: MembershipMessage }
  | { readonly kind: "listed"; readonly entries: readonly ListedEntry[] }
  | { readonly kind: "publish"; readonly fact: Fact }
  | { readonly kind: "revision"; readonly revision: number }
  | { readonly kind: "leave" };

/** Construction of the task. */
export interface MembershipTaskOptions {
  readonly self: PeerId & { readonly region: RegionId; readonly zone: ZoneId };
  /** Address of this VM's own listener, until the list says how peers reach it. */
  readonly address: string;
  readonly seed: number;
  readonly send: (
    to: VmId,
    address: string,
    message: MembershipMessage,
  ) => void;
  /** Every effect but `send`. */
  readonly onEffect: (
    effect: Exclude<MembershipEffect, { kind: "send" }>,
  ) => void;
}

/** What the core asks for. */
const TICK_MS = 100;

/** Owns the membership core. */
export class MembershipTask extends Task<MembershipTaskMessage> {
  readonly #options: MembershipTaskOptions;
  #core: Membership | undefined;
  #address: string;
  #revision = 0;

  constructor(options: MembershipTaskOptions) {
    super("membership");
    this.#options = options;
    this.#address = options.address;
  }

  get members(): readonly Member[] {
    return this.#core?.members() ?? [];
  }

  protected override open(): void {
    this.#start();
    this.sendEvery(TICK_MS, { kind: "tick" });
  }

  protected override receive(message: MembershipTaskMessage): void {
    const core = this.#core!;
    const now = performance.now();
    switch (message.kind) {
      case "tick":
        this.#perform(core.tick(now));
        return;
      case "peer":
        this.#perform(core.receive(message.message, now));
        return;
      case "listed":
        this.#listed(message.entries, now);
        return;
      case "publish":
        this.#perform(core.publish(message.fact, now));
        return;
      case "revision":
        this.#revision = message.revision;
        core.setRevision(message.revision);
        return;
      case "leave":
        this.#perform(core.leave(now));
        return;
    }
  }

  protected override close(): void {
    this.#core = undefined;
  }

  #start(): void {
    const { self, seed } = this.#options;
    this.#core = new Membership({
      self: { ...self, address: this.#address },
      random: xorshift128plus(seed),
    });
    this.#core.setRevision(this.#revision);
    for (const member of this.#core.members()) {
      this.#options.onEffect({ kind: "changed", member, before: undefined });
    }
  }

  #listed(entries: readonly ListedEntry[], now: number): void {
    const own = entries.find((one) => one.id === this.#options.self.vm);
    if (own !== undefined && own.peer !== this.#address) {
      // Peers reach this VM under another address than the one it binds, as
      // behind a forwarder: what it tells of itself has to be that one.
      this.#address = own.peer;
      this.#start();
    }
    const list = entries.map((one) => ({
      vm: one.id,
      region: one.region,
      zone: one.zone,
      address: one.peer,
      state: one.state,
    }));
    this.#perform(this.#core!.listed(list, now));
  }

  #perform(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        this.#options.send(effect.to, effect.address, effect.message);
      } else {
        this.#options.onEffect(effect);
      }
    }
  }
}
