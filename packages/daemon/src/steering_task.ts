/**
 * Runs the steering of this VM: passes events to it and performs its effects.
 *
 * @module
 */

import {
  type Effect,
  type Policy,
  Steering,
  type SteeringEvent,
} from "@poplarthread/decisions";
import type { RequestId, VmId } from "@poplarthread/ids";
import type { Exchange } from "./http/exchange.ts";
import { Task } from "./task.ts";

/** Effects that concern other VMs rather than one request. */
export type PeerEffect = Exclude<
  Effect,
  { readonly kind: "dispatch" | "hedge" | "cancel" | "refuse" }
>;

/** Messages of the task. */
export type SteeringMessage =
  | SteeringEvent
  /** A policy is in force; the first one starts steering. */
  | { readonly kind: "start"; readonly policy: Policy };

/** Options of {@link SteeringTask}. */
export interface SteeringTaskOptions {
  readonly self: VmId;
  readonly seed: number;
  readonly onPeerEffect: (effect: PeerEffect) => void;
  /** Called when steering has started or restarted, with empty state. */
  readonly onStarted: () => void;
}

/** Owns the steering state and the exchanges that it decides on. */
export class SteeringTask extends Task<SteeringMessage> {
  readonly #options: SteeringTaskOptions;
  readonly #exchanges = new Map<RequestId, Exchange>();
  #steering: Steering | undefined;
  #policy: Policy | undefined;

  constructor(options: SteeringTaskOptions) {
    super("steering");
    this.#options = options;
  }

  /** Number of exchanges with a running attempt or without a final response. */
  get size(): number {
    return this.#exchanges.size;
  }

  /** The steering state, for operators' requests; undefined before a policy is in force. */
  get steering(): Steering | undefined {
    return this.#steering;
  }

  /** Handles an event of one exchange. */
  steer(event: SteeringEvent, exchange: Exchange): void {
    if (event.kind === "arrive") {
      if (this.#steering === undefined || !this.running) {
        exchange.refuseBySteering("no-target", RESTART_RETRY_MS);
        return;
      }
      this.#exchanges.set(event.request, exchange);
    }
    this.send(event);
  }

  /** Removes an exchange that has its final response and no running attempt. */
  settled(exchange: Exchange): void {
    this.#exchanges.delete(exchange.id);
  }

  /** Sends a tick to steering if one is due. */
  tick(now: number): void {
    const next = this.#steering?.nextTickAt;
    if (next !== undefined && next <= now) {
      this.send({ kind: "tick" });
    }
  }

  protected override open(): void {
    if (this.#policy !== undefined) {
      this.#start(this.#policy);
    }
  }

  protected override receive(message: SteeringMessage): void {
    if (message.kind === "start") {
      this.#start(message.policy);
      return;
    }
    if (this.#steering === undefined) {
      return;
    }
    const now = performance.now();
    for (const effect of this.#steering.handle(message, now)) {
      this.#perform(effect);
    }
  }

  /**
   * Refuses waiting requests, which a restarted steering would not know. Running
   * attempts end by themselves.
   */
  protected override close(): void {
    this.#steering = undefined;
    for (const exchange of [...this.#exchanges.values()]) {
      exchange.refuseBySteering("overload", RESTART_RETRY_MS);
    }
    this.#exchanges.clear();
  }

  #start(policy: Policy): void {
    this.#policy = policy;
    if (this.#steering !== undefined) {
      this.receive({ kind: "policy", policy });
      return;
    }
    const { self, seed } = this.#options;
    this.#steering = new Steering({ self, policy, seed });
    this.#options.onStarted();
  }

  #perform(effect: Effect): void {
    switch (effect.kind) {
      case "dispatch":
      case "hedge":
        this.#exchanges.get(effect.request)
          ?.dispatch(effect.target, effect.attempt);
        return;
      case "cancel":
        this.#exchanges.get(effect.request)?.cancel(effect.attempt);
        return;
      case "refuse":
        this.#exchanges.get(effect.request)
          ?.refuseBySteering(effect.reason, effect.retryAfterMs);
        return;
      default:
        this.#options.onPeerEffect(effect);
    }
  }
}

/** Retry-After of requests refused while steering restarts; longer than the first restart back-off. */
const RESTART_RETRY_MS = 1_000;
