/**
 * Runs the cores of many VMs on a virtual clock in one process, for tests and
 * for measuring protocols with thousands of members.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Effects of a core; those of kind `send` are delivered by the network. */
export type VirtualEffect<Message> =
  | { readonly kind: "send"; readonly to: string; readonly message: Message }
  | { readonly kind: string };

/** The interface through which the network drives the core of one VM. */
export interface VirtualNode<Message> {
  receive(message: Message, now: number): readonly VirtualEffect<Message>[];
  tick(now: number): readonly VirtualEffect<Message>[];
}

/** Options of {@link VirtualNet}. */
export interface VirtualNetOptions<Message> {
  readonly random: RandomGenerator;
  /** Tick interval of a node. */
  readonly tickMs: number;
  /** One-way delay in ms; undefined drops the message. */
  delay(from: string, to: string): number | undefined;
  /** Called for every message when it is sent, including dropped ones. */
  onSend?(from: string, to: string, message: Message): void;
  /** Called for every effect that is not a message. */
  onEffect?(vm: string, effect: { readonly kind: string }, now: number): void;
}

type Event<Message> =
  | { readonly kind: "tick"; readonly vm: string }
  | {
    readonly kind: "deliver";
    readonly vm: string;
    readonly message: Message;
  };

/** The network and its clock, in steps of 1 ms. */
export class VirtualNet<Message> {
  readonly #options: VirtualNetOptions<Message>;
  readonly #nodes = new Map<string, VirtualNode<Message>>();
  readonly #due = new Map<number, Event<Message>[]>();
  readonly #paused = new Map<string, Event<Message>[]>();
  #now = 0;

  constructor(options: VirtualNetOptions<Message>) {
    this.#options = options;
  }

  get now(): number {
    return this.#now;
  }

  /** Adds a node, or replaces it with its next instance. Its first tick is at a random time. */
  add(vm: string, node: VirtualNode<Message>): void {
    const isTicking = this.#nodes.has(vm) && !this.#paused.has(vm);
    this.#paused.delete(vm);
    this.#nodes.set(vm, node);
    if (!isTicking) {
      const { random, tickMs } = this.#options;
      this.#schedule(uniformInt(random, 1, tickMs), { kind: "tick", vm });
    }
  }

  /** Removes the node; messages to it are dropped. */
  kill(vm: string): void {
    this.#nodes.delete(vm);
    this.#paused.delete(vm);
  }

  /** Pauses the node. Its events are queued and run when it is resumed. */
  pause(vm: string): void {
    if (!this.#paused.has(vm)) {
      this.#paused.set(vm, []);
    }
  }

  resume(vm: string): void {
    const queued = this.#paused.get(vm) ?? [];
    this.#paused.delete(vm);
    queued.forEach((event) => this.#run(event));
  }

  /** Carries out the effects returned by a direct call to a core. */
  apply(vm: string, effects: readonly VirtualEffect<Message>[]): void {
    for (const effect of effects) {
      if (isSend(effect)) {
        this.#send(vm, effect);
      } else {
        this.#options.onEffect?.(vm, effect, this.#now);
      }
    }
  }

  /** Advances time; stops early when `until`, called every ms, returns true. */
  run(durationMs: number, until: () => boolean = () => false): void {
    const end = this.#now + durationMs;
    while (this.#now < end && !until()) {
      this.#now += 1;
      const events = this.#due.get(this.#now) ?? [];
      this.#due.delete(this.#now);
      events.forEach((event) => this.#run(event));
    }
  }

  #run(event: Event<Message>): void {
    const queue = this.#paused.get(event.vm);
    if (queue !== undefined) {
      queue.push(event);
      return;
    }
    const node = this.#nodes.get(event.vm);
    if (node === undefined) {
      return;
    }
    if (event.kind === "deliver") {
      this.apply(event.vm, node.receive(event.message, this.#now));
      return;
    }
    this.#schedule(this.#options.tickMs, event);
    this.apply(event.vm, node.tick(this.#now));
  }

  #send(from: string, { to, message }: { to: string; message: Message }): void {
    this.#options.onSend?.(from, to, message);
    const delay = this.#options.delay(from, to);
    if (delay !== undefined) {
      this.#schedule(Math.max(1, delay), { kind: "deliver", vm: to, message });
    }
  }

  #schedule(delayMs: number, event: Event<Message>): void {
    const at = this.#now + Math.round(delayMs);
    const events = this.#due.get(at);
    if (events === undefined) {
      this.#due.set(at, [event]);
    } else {
      events.push(event);
    }
  }
}

function isSend<Message>(
  effect: VirtualEffect<Message>,
): effect is VirtualEffect<Message> & { kind: "send" } & {
  to: string;
  message: Message;
} {
  return effect.kind === "send";
}
