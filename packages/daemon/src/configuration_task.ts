/**
 * Follows the configuration in force: reads the table if this VM is a reader,
 * accepts pushes of peers, and forwards them.
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
  type RankedMember,
} from "@poplarthread/coordination";
import type { Configuration } from "@poplarthread/config";
import type { VmId, ZoneId } from "@poplarthread/ids";
import { configurationOf, type InForceJson } from "./in_force_value.ts";
import type { Log } from "./log.ts";
import type { KnownState, PeerId } from "./peers/messages.ts";
import { Task } from "./task.ts";

/** Messages of the task. */
export type ConfigurationMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: DisseminationMessage }
  | { readonly kind: "members"; readonly members: readonly RankedMember[] }
  /** A heartbeat carried a higher revision. */
  | { readonly kind: "ahead"; readonly vm: VmId; readonly revision: number }
  /** This VM accepted a change itself: polls the table at once. */
  | { readonly kind: "accepted" };

/** Options of {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  readonly self: PeerId & { readonly zone: ZoneId };
  readonly store: ConfigurationStore<InForceJson>;
  readonly send: (to: VmId, message: DisseminationMessage) => void;
  /** Queries some peers for the configuration in force; yields the responses received. */
  readonly queryPeers: () => Promise<readonly KnownState[]>;
  readonly onAdopted: (configuration: Configuration) => void;
  readonly onReader: (reader: boolean) => void;
  readonly log: Log;
}

const TICK_MS = 100;
/** Poll interval of a VM that is not a reader, in case pushes fail. */
const FALLBACK_POLL_INTERVAL_MS = 5_000;
/** Interval at which a VM without a configuration queries its peers. */
const PEER_QUERY_INTERVAL_MS = 500;
/** Assumed age of a push on arrival: the longest time until a change reaches every VM. */
const MAX_PUSH_AGE_MS = 5_000;

/** Owns the follower and the tree that disseminates the configuration. */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  readonly #options: ConfigurationTaskOptions;
  #follower: ConfigurationFollower<InForceJson>;
  #tree: Dissemination;
  #inForce: Configuration | undefined;
  #isReader = false;
  #polledAt = -Infinity;
  #queriedPeersAt = -Infinity;
  #isPolling = false;

  constructor(options: ConfigurationTaskOptions) {
    super("configuration");
    this.#options = options;
    this.#follower = this.#newFollower();
    this.#tree = new Dissemination({ self: options.self });
  }

  /** The configuration in force on this VM. */
  get inForce(): Configuration | undefined {
    return this.#inForce;
  }

  /** The configuration that this VM sends to a peer that queries it. */
  get known(): Pick<KnownState, "inForce" | "ageMs"> {
    const { inForce, ageMs } = this.#follower;
    return {
      ...(inForce === undefined ? {} : { inForce }),
      // JSON has no Infinity; an hour is above every age limit.
      ageMs: Math.min(ageMs, 3_600_000),
    };
  }

  /** Time since the configuration in force on this VM was last known to be the latest. */
  get ageMs(): number {
    return this.#follower.ageMs;
  }

  protected override open(): void {
    // The configuration stays in force over a restart of this task: it is never
    // reverted, and a table outage must not make a serving VM unready.
    this.#isPolling = false;
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
        if (now - this.#polledAt >= FALLBACK_POLL_INTERVAL_MS) {
          this.#poll();
        }
        if (
          this.#inForce === undefined &&
          now - this.#queriedPeersAt >= PEER_QUERY_INTERVAL_MS
        ) {
          this.#queriedPeersAt = now;
          this.spawn(this.#queryPeers());
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
    this.#isReader = false;
  }

  /** Adopts the highest revision of the peers, since the follower ignores lower ones. */
  async #queryPeers(): Promise<void> {
    for (const { inForce, ageMs } of await this.#options.queryPeers()) {
      if (inForce !== undefined) {
        this.#follower.receiveConfiguration(inForce, ageMs);
      }
    }
  }

  #newFollower(): ConfigurationFollower<InForceJson> {
    return new ConfigurationFollower(this.#options.store, {
      onEffect: (effect) => this.#onFollowerEffect(effect),
    });
  }

  #updateReader(): void {
    const reader = this.#tree.isReader();
    if (reader === this.#isReader) {
      return;
    }
    this.#isReader = reader;
    this.#options.onReader(reader);
    if (reader) {
      this.#follower.startPolling();
    } else {
      this.#follower.stopPolling();
    }
  }

  #poll(): void {
    this.#polledAt = performance.now();
    if (this.#isPolling) {
      return;
    }
    this.#isPolling = true;
    this.spawn(
      this.#follower.poll().finally(() => {
        this.#isPolling = false;
      }),
    );
  }

  #onFollowerEffect(effect: FollowerEffect<InForceJson>): void {
    const { log } = this.#options;
    switch (effect.kind) {
      case "adopt":
        this.#adopt(effect.inForce);
        return;
      case "fetch":
        // The tree pulls it from the VM that reported the revision.
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
    this.#follower.receiveConfiguration(inForce, MAX_PUSH_AGE_MS);
  }
}
