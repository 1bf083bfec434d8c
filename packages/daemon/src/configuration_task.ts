/**
 * Follows the configuration: reads the table where this VM is a reader, takes
 * what peers push, and pushes on.
 *
 * @module
 */

import {
  ConfigurationFollower,
  type ConfigurationStore,
  Dissemination,
  type DisseminationEffect,
  type DisseminationMessage,
  type FollowerEffect,
  type InForce,
  type Ranked,
} from "@poplarthread/coordination";
import type { Configuration } from "@poplarthread/config";
import type { VmId, ZoneId } from "@poplarthread/ids";
import { configurationOf, type InForceJson } from "./in_force_value.ts";
import type { Log } from "./log.ts";
import type { Known, PeerId } from "./peers/messages.ts";
import { Task } from "./task.ts";

/** What the task is told. */
export type ConfigurationMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: DisseminationMessage }
  | { readonly kind: "members"; readonly members: readonly Ranked[] }
  /** A heartbeat named a higher revision. */
  | { readonly kind: "ahead"; readonly vm: VmId; readonly revision: number }
  /** This VM accepted a change itself: no need to wait for the next poll. */
  | { readonly kind: "accepted" };

/** Construction of the task. */
export interface ConfigurationTaskOptions {
  readonly self: PeerId & { readonly zone: ZoneId };
  readonly store: ConfigurationStore<InForceJson>;
  readonly send: (to: VmId, message: DisseminationMessage) => void;
  /** Asks some peers what is in force; those that answer know something. */
  readonly askPeers: () => Promise<readonly Known[]>;
  readonly onAdopted: (configuration: Configuration) => void;
  readonly onReader: (reader: boolean) => void;
  readonly log: Log;
}

const TICK_MS = 100;
/** A VM that is no reader looks at the table this often, in case pushes fail. */
const FALLBACK_POLL_MS = 5_000;
/** A VM without a configuration asks its peers this often. */
const ASK_PEERS_MS = 500;
/** How old a push may be, at most, when it arrives: the time for all to have it. */
const PUSH_AGE_MS = 5_000;

/** Owns the follower and the tree of pushes. */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  readonly #options: ConfigurationTaskOptions;
  #follower: ConfigurationFollower<InForceJson>;
  #tree: Dissemination;
  #inForce: Configuration | undefined;
  #reader = false;
  #polledAt = -Infinity;
  #askedAt = -Infinity;
  #polling = false;

  constructor(options: ConfigurationTaskOptions) {
    super("configuration");
    this.#options = options;
    this.#follower = this.#newFollower();
    this.#tree = new Dissemination({ self: options.self });
  }

  /** What is in force here. */
  get inForce(): Configuration | undefined {
    return this.#inForce;
  }

  /** What this VM tells a peer that has just started. */
  get known(): Pick<Known, "inForce" | "ageMs"> {
    const { inForce, ageMs } = this.#follower;
    return {
      ...(inForce === undefined ? {} : { inForce }),
      // JSON knows no Infinity: an hour is too old for anything.
      ageMs: Math.min(ageMs, 3_600_000),
    };
  }

  /** Time since what is in force here was known to be the latest, in milliseconds. */
  get ageMs(): number {
    return this.#follower.ageMs;
  }

  protected override open(): void {
    // What was in force stays so over a restart of this task: a configuration
    // never goes back, and a table outage must not make a serving VM unready.
    this.#polling = false;
    this.#polledAt = -Infinity;
    this.sendEvery(TICK_MS, { kind: "tick" });
    this.#updateReader();
    this.#poll();
  }

  protected override receive(message: ConfigurationMessage): void {
    const now = performance.now();
    switch (message.kind) {
      case "tick":
        this.#perform(this.#tree.tick(now));
        if (now - this.#polledAt >= FALLBACK_POLL_MS) {
          this.#poll();
        }
        if (
          this.#inForce === undefined && now - this.#askedAt >= ASK_PEERS_MS
        ) {
          this.#askedAt = now;
          this.spawn(this.#askPeers());
        }
        return;
      case "peer":
        this.#perform(this.#tree.receive(message.message, now));
        return;
      case "members":
        this.#tree.setMembers(message.members);
        this.#updateReader();
        return;
      case "ahead":
        this.#follower.receiveRevision(message.revision);
        this.#perform(this.#tree.ahead(message.vm, message.revision, now));
        return;
      case "accepted":
        this.#poll();
        return;
    }
  }

  protected override close(): void {
    this.#follower.stopPolling();
    this.#reader = false;
  }

  /** The highest revision among the peers wins, since a follower never goes back. */
  async #askPeers(): Promise<void> {
    for (const { inForce, ageMs } of await this.#options.askPeers()) {
      if (inForce !== undefined) {
        this.#follower.receiveConfiguration(inForce, ageMs);
      }
    }
  }

  #newFollower(): ConfigurationFollower<InForceJson> {
    return new ConfigurationFollower(this.#options.store, {
      onEffect: (effect) => this.#followed(effect),
    });
  }

  #updateReader(): void {
    const reader = this.#tree.isReader();
    if (reader === this.#reader) {
      return;
    }
    this.#reader = reader;
    this.#options.onReader(reader);
    if (reader) {
      this.#follower.startPolling();
    } else {
      this.#follower.stopPolling();
    }
  }

  #poll(): void {
    this.#polledAt = performance.now();
    if (this.#polling) {
      return;
    }
    this.#polling = true;
    this.spawn(
      this.#follower.poll().finally(() => {
        this.#polling = false;
      }),
    );
  }

  #followed(effect: FollowerEffect<InForceJson>): void {
    const { log } = this.#options;
    switch (effect.kind) {
      case "adopt":
        this.#adopt(effect.inForce);
        return;
      case "fetch":
        // The tree pulls it from whoever named the revision.
        return;
      case "table-behind":
        log.error("the table answers an older revision than one accepted", {
          revision: effect.revision,
        });
        return;
      case "diverged":
        log.error("one revision was accepted twice", {
          revision: effect.revision,
        });
        return;
    }
  }

  #adopt(inForce: InForce<InForceJson>): void {
    const { revision, operationId } = inForce;
    this.#inForce = configurationOf(inForce);
    this.#options.onAdopted(this.#inForce);
    if (revision <= this.#tree.revision) {
      return;
    }
    const change = {
      from: 0,
      revision,
      digest: operationId,
      body: JSON.stringify(inForce),
    };
    this.#perform(this.#tree.originate(change, performance.now()));
  }

  #perform(effects: readonly DisseminationEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case "send":
          this.#options.send(effect.to, effect.message);
          break;
        case "apply":
          this.#apply(effect.change.body);
          break;
        case "load-snapshot":
          this.#poll();
          break;
      }
    }
  }

  #apply(body: string): void {
    const inForce = JSON.parse(body) as InForce<InForceJson>;
    this.#follower.receiveConfiguration(inForce, PUSH_AGE_MS);
  }
}
