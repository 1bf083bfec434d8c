/**
 * Runs membership: heartbeats to peers, and the dissemination of facts to all VMs.
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

/** Messages of the task. */
export type MembershipTaskMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: MembershipMessage }
  | { readonly kind: "listed"; readonly entries: readonly ListedEntry[] }
  | { readonly kind: "publish"; readonly fact: Fact }
  | { readonly kind: "revision"; readonly revision: number }
  | { readonly kind: "leave" };

/** Options of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  readonly self: PeerId & { readonly region: RegionId; readonly zone: ZoneId };
  /** Address of this VM's peer listener, used until the list shows the one that peers use. */
  readonly address: string;
  readonly seed: number;
  readonly send: (
    to: VmId,
    address: string,
    message: MembershipMessage,
  ) => void;
  /** Called with every effect except `send`. */
  readonly onEffect: (
    effect: Exclude<MembershipEffect, { kind: "send" }>,
  ) => void;
}

/** The tick interval that {@link Membership} expects. */
const TICK_MS = 100;

/** Owns the {@link Membership} state machine. */
export class MembershipTask extends Task<MembershipTaskMessage> {
  readonly #options: MembershipTaskOptions;
  #membership: Membership | undefined;
  #address: string;
  #revision = 0;

  constructor(options: MembershipTaskOptions) {
    super("membership");
    this.#options = options;
    this.#address = options.address;
  }

  get members(): readonly Member[] {
    return this.#membership?.members() ?? [];
  }

  protected override open(): void {
    this.#start();
    this.sendEvery(TICK_MS, { kind: "tick" });
  }

  protected override receive(message: MembershipTaskMessage): void {
    const membership = this.#membership!;
    const now = performance.now();
    switch (message.kind) {
      case "tick":
        this.#perform(membership.tick(now));
        return;
      case "peer":
        this.#perform(membership.receive(message.message, now));
        return;
      case "listed":
        this.#listed(message.entries, now);
        return;
      case "publish":
        this.#perform(membership.publish(message.fact, now));
        return;
      case "revision":
        this.#revision = message.revision;
        membership.setRevision(message.revision);
        return;
      case "leave":
        this.#perform(membership.leave(now));
        return;
    }
  }

  protected override close(): void {
    this.#membership = undefined;
  }

  #start(): void {
    const { self, seed } = this.#options;
    this.#membership = new Membership({
      self: { ...self, address: this.#address },
      random: xorshift128plus(seed),
    });
    this.#membership.setRevision(this.#revision);
    for (const member of this.#membership.members()) {
      this.#options.onEffect({ kind: "changed", member, before: undefined });
    }
  }

  #listed(entries: readonly ListedEntry[], now: number): void {
    const selfEntry = entries.find((one) => one.id === this.#options.self.vm);
    if (selfEntry !== undefined && selfEntry.peer !== this.#address) {
      // Peers reach this VM at another address than the one it binds, for example
      // behind a forwarder, so that it must announce the listed address.
      this.#address = selfEntry.peer;
      this.#start();
    }
    const listedMembers = entries.map((one) => ({
      vm: one.id,
      region: one.region,
      zone: one.zone,
      address: one.peer,
      state: one.state,
    }));
    this.#perform(this.#membership!.mergeVmList(listedMembers, now));
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
