/**
 * Runs the decisions of this VM: events in, effects out.
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

/** What the task is told. */
export type SteeringMessage =
  | SteeringEvent
  /** A policy is in force; the first one starts the decisions. */
  | { readonly kind: "start"; readonly policy: Policy };

/** Construction of the task. */
export interface SteeringTaskOptions {
  readonly self: VmId;
  readonly seed: number;
  readonly onPeerEffect: (effect: PeerEffect) => void;
  /** Called when the decisions have started (again) and know nothing yet. */
  readonly onStarted: () => void;
}

/** Owns the decisions and the exchanges that they are about. */
export class SteeringTask extends Task<SteeringMessage> {
  readonly #options: SteeringTaskOptions;
  readonly #exchanges = new Map<RequestId, Exchange>();
  #steering: Steering | undefined;
  #policy: Policy | undefined;

  constructor(options: SteeringTaskOptions) {
    super("steering");
    this.#options = options;
  }

  /** Exchanges that still have an attempt or no final answer. */
  get size(): number {
    return this.#exchanges.size;
  }

  /** The decisions, for what operators ask; undefined before a policy is in force. */
  get steering(): Steering | undefined {
    return this.#steering;
  }

  /** An event of one exchange. */
  steer(event: SteeringEvent, exchange: Exchange): void {
    if (event.kind === "arrive") {
      if (this.#steering === undefined || !this.running) {
        exchange.steeringRefuses("no-target", RESTART_RETRY_MS);
        return;
      }
      this.#exchanges.set(event.request, exchange);
    }
    this.send(event);
  }

  /** Nothing of the exchange is left. */
  settled(exchange: Exchange): void {
    this.#exchanges.delete(exchange.id);
  }

  /** Lets time pass, where a decision waits for it. */
  tick(now: number): void {
    const next = this.#steering?.nextTick;
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
   * What waits is refused: a new start knows nothing of it. Attempts that run
   * come to their end by themselves.
   */
  protected override close(): void {
    this.#steering = undefined;
    for (const exchange of [...this.#exchanges.values()]) {
      exchange.steeringRefuses("overload", RESTART_RETRY_MS);
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
          ?.steeringRefuses(effect.reason, effect.retryAfterMs);
        return;
      default:
        this.#options.onPeerEffect(effect);
    }
  }
}

/** When to come back while the decisions restart: longer than their backoff at first. */
const RESTART_RETRY_MS = 1_000;
