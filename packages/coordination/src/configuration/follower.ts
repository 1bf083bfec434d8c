/**
 * Keeps one VM's configuration up to date: polls the table if this VM is one of
 * its zone's readers, and applies what peers push.
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

/**
 * Three polls a second by two readers in each of 25 zones are 150 of the
 * table's 2,000 reads a second.
 */
const POLL_MS = 333;

/** Options of a {@link ConfigurationFollower}. */
export interface FollowerOptions<Value extends Json> {
  /**
   * Called with each action to perform: adopt a configuration, fetch one from a
   * peer, or notify the operators.
   */
  readonly onEffect: (effect: FollowerEffect<Value>) => void;
  /** Delay between the end of a poll and the next one; 333 ms by default. */
  readonly pollMs?: number;
}

/** The configuration as this VM knows it. */
export class ConfigurationFollower<Value extends Json> {
  readonly #store: ConfigurationStore<Value>;
  readonly #onEffect: (effect: FollowerEffect<Value>) => void;
  readonly #pollMs: number;
  #state: FollowerState<Value> = newFollower();
  #isPolling = false;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(
    store: ConfigurationStore<Value>,
    options: FollowerOptions<Value>,
  ) {
    this.#store = store;
    this.#onEffect = options.onEffect;
    this.#pollMs = options.pollMs ?? POLL_MS;
  }

  /** The configuration that this VM runs; undefined while it is not ready. */
  get inForce(): InForce<Value> | undefined {
    return this.#state.inForce;
  }

  /** Time in ms since this VM's revision was last known to be the latest. */
  get ageMs(): number {
    return knowledgeAgeMs(this.#state, performance.now());
  }

  /** Starts polling; for a VM that is one of its zone's readers. */
  startPolling(): void {
    if (!this.#isPolling) {
      this.#isPolling = true;
      void this.#pollAndWait();
    }
  }

  /** Stops polling; configurations pushed by peers are still applied. */
  stopPolling(): void {
    this.#isPolling = false;
    clearTimeout(this.#timer);
  }

  /** Reads the table once. Returns false if the table could not be read. */
  async poll(): Promise<boolean> {
    const startedAt = performance.now();
    try {
      const inForce = await this.#store.read();
      this.#handle({ kind: "table", inForce, startedAt });
      return true;
    } catch (err) {
      if (err instanceof TableError) {
        return false;
      }
      throw err;
    }
  }

  /**
   * Handles a configuration that a peer pushed or returned; `ageMs` is the time
   * since the peer knew it to be the latest.
   */
  receiveConfiguration(inForce: InForce<Value>, ageMs: number): void {
    this.#handle({ kind: "peer", inForce, ageMs });
  }

  /** Handles a peer's revision that came with a heartbeat. */
  receiveRevision(revision: number): void {
    this.#handle({ kind: "reported", revision });
  }

  #handle(event: FollowerEvent<Value>): void {
    const result = advanceFollower(this.#state, event, performance.now());
    this.#state = result.state;
    result.effects.forEach(this.#onEffect);
  }

  async #pollAndWait(): Promise<void> {
    await this.poll();
    if (this.#isPolling) {
      this.#timer = setTimeout(() => void this.#pollAndWait(), this.#pollMs);
    }
  }
}
