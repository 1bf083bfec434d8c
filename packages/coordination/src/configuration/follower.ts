/**
 * Keeps one VM's configuration up to date: polls the table where this VM is a
 * reader, and takes what peers push.
 *
 * @module
 */

import { type Json, TableError } from "../table.ts";
import {
  advanceFollower,
  type FollowerEffect,
  type FollowerEvent,
  type FollowerState,
  knowledgeAgeMs,
  newFollower,
} from "./follower_core.ts";
import type { InForce } from "./in_force.ts";
import type { ConfigurationStore } from "./store.ts";

/** Three polls a second by two readers in each of 25 zones take 150 of the table's 2,000 reads. */
const POLL_MS = 333;

/** Options of a {@link ConfigurationFollower}. */
export interface FollowerOptions<Value extends Json> {
  /** Hears every effect: adopt, fetch from a peer, or tell the operators. */
  readonly onEffect: (effect: FollowerEffect<Value>) => void;
  /** Time between the end of a poll and the next one; default 333 ms. */
  readonly pollMs?: number;
}

/** The configuration as this VM knows it. */
export class ConfigurationFollower<Value extends Json> {
  readonly #store: ConfigurationStore<Value>;
  readonly #onEffect: (effect: FollowerEffect<Value>) => void;
  readonly #pollMs: number;
  #state: FollowerState<Value> = newFollower();
  #polling = false;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(
    store: ConfigurationStore<Value>,
    options: FollowerOptions<Value>,
  ) {
    this.#store = store;
    this.#onEffect = options.onEffect;
    this.#pollMs = options.pollMs ?? POLL_MS;
  }

  /** What this VM runs; undefined while it is not ready. */
  get inForce(): InForce<Value> | undefined {
    return this.#state.inForce;
  }

  /** How old the knowledge is that this is the latest, in ms. */
  get ageMs(): number {
    return knowledgeAgeMs(this.#state, performance.now());
  }

  /** Polls from now on, whenever this VM is one of its zone's readers. */
  startPolling(): void {
    if (!this.#polling) {
      this.#polling = true;
      void this.#pollAndWait();
    }
  }

  /** Polls no more; what peers push is still taken. */
  stopPolling(): void {
    this.#polling = false;
    clearTimeout(this.#timer);
  }

  /** Reads the table once. False when the table could not be asked. */
  async poll(): Promise<boolean> {
    const startedAt = performance.now();
    try {
      const inForce = await this.#store.read();
      this.#take({ kind: "table", inForce, startedAt });
      return true;
    } catch (err) {
      if (err instanceof TableError) {
        return false;
      }
      throw err;
    }
  }

  /** A peer pushed or answered what it runs; `ageMs` is the age of its knowledge. */
  hearPeer(inForce: InForce<Value>, ageMs: number): void {
    this.#take({ kind: "peer", inForce, ageMs });
  }

  /** A heartbeat carried a peer's revision. */
  hearRevision(revision: number): void {
    this.#take({ kind: "heard", revision });
  }

  #take(event: FollowerEvent<Value>): void {
    const result = advanceFollower(this.#state, event, performance.now());
    this.#state = result.state;
    result.effects.forEach(this.#onEffect);
  }

  async #pollAndWait(): Promise<void> {
    await this.poll();
    if (this.#polling) {
      this.#timer = setTimeout(() => void this.#pollAndWait(), this.#pollMs);
    }
  }
}
