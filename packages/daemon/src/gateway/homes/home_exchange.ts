/**
 * Exchanges messages about homes of objects with other VMs: owns the socket, and
 * drives the agent that assigns and follows homes. Does nothing, and binds no port,
 * while no service has homes by load.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import {
  createSocket as createUdpSocket,
  type RemoteInfo,
  type Socket,
} from "node:dgram";
import type { VmId } from "@poplarthread/ids";
import {
  HOME_TICK_MS,
  type HomeAgent,
  type HomeMessage,
} from "@poplarthread/placement";
import { bind } from "../../listen.ts";
import { Task } from "../../task.ts";
import type { ListenAddress } from "../settings.ts";
import { decodeHomeMessage, encodeHomeMessage } from "./home_codec.ts";

/** Messages to the task. */
export type HomeExchangeMessage =
  /** Whether any service has homes by load may have changed. */
  | { readonly kind: "activity-changed" }
  /** Periodic work is due. */
  | { readonly kind: "tick" }
  /** The agent has messages to send before the next tick. */
  | { readonly kind: "flush" }
  /** Another VM's message has arrived. */
  | {
    readonly kind: "received";
    readonly message: HomeMessage;
    readonly from: VmId;
  };

/** Dependencies of {@link HomeExchange}. */
export interface HomeExchangeOptions {
  /** The port is the same on all VMs. */
  readonly listen: ListenAddress;
  readonly agent: HomeAgent;
  /** Whether any service has homes by load. */
  isActive(): boolean;
  /** IP address of a known VM; undefined for an unknown one. */
  addressOf(vm: VmId): string | undefined;
  /** The known VM with an IP address; undefined if there is none. */
  vmAt(address: string): VmId | undefined;
  /** Called for each message that the agent gets. */
  received(kind: HomeMessage["kind"]): void;
  /** Called for a message that is too long to be sent. */
  notSent(message: HomeMessage): void;
  /** Tests substitute a socket that loses datagrams. */
  createSocket?: (() => Socket) | undefined;
}

/** The task; see the module comment. */
export class HomeExchange extends Task<HomeExchangeMessage> {
  readonly #options: HomeExchangeOptions;
  #socket: Socket | undefined;
  #isTickScheduled = false;
  #isFlushScheduled = false;

  constructor(options: HomeExchangeOptions) {
    super("homes");
    this.#options = options;
  }

  /** Sends what the agent has to send, once the current events are handled. */
  flushSoon(): void {
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      queueMicrotask(() => {
        this.#isFlushScheduled = false;
        this.send({ kind: "flush" });
      });
    }
  }

  protected override async open(): Promise<void> {
    this.#isTickScheduled = false;
    if (this.#options.isActive()) {
      await this.#openSocket();
      this.#scheduleTick();
    }
  }

  protected override close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  protected override receive(message: HomeExchangeMessage): void {
    switch (message.kind) {
      case "activity-changed":
        this.#followActivity();
        return;
      case "tick":
        this.#isTickScheduled = false;
        this.#tick();
        return;
      case "flush":
        this.#sendOutgoing();
        return;
      case "received":
        this.#receive(message.message, message.from);
        return;
    }
  }

  /** The port is bound only while a service has homes by load. */
  #followActivity(): void {
    if (!this.#options.isActive()) {
      this.close();
    } else if (this.#socket === undefined) {
      this.spawn(this.#openSocket());
    }
    this.#scheduleTick();
  }

  /** Datagrams that are sent before the socket is bound are sent afterwards. */
  #openSocket(): Promise<void> {
    const { createSocket = () => createUdpSocket("udp4") } = this.#options;
    const socket = createSocket();
    this.#socket = socket;
    socket.on("message", (bytes, from) => this.#onDatagram(bytes, from));
    return bind(socket, this.#options.listen, (err) => this.fail(err));
  }

  /** Schedules the next tick, unless no service has homes by load. */
  #scheduleTick(): void {
    if (!this.#isTickScheduled && this.#options.isActive()) {
      this.#isTickScheduled = true;
      this.sendAfter(HOME_TICK_MS, { kind: "tick" });
    }
  }

  #tick(): void {
    if (this.#options.isActive()) {
      this.#scheduleTick();
      this.#options.agent.tick(performance.now());
      this.#sendOutgoing();
    }
  }

  #sendOutgoing(): void {
    if (!this.#options.isActive()) {
      return;
    }
    const { agent } = this.#options;
    // An owner sends all VMs the same message: it is encoded once.
    const datagrams = new Map<HomeMessage, Buffer | undefined>();
    for (const { to, message } of agent.takeOutgoing(performance.now())) {
      if (!datagrams.has(message)) {
        datagrams.set(message, this.#encode(message));
      }
      this.#send(datagrams.get(message), to);
    }
  }

  #encode(message: HomeMessage): Buffer | undefined {
    const datagram = encodeHomeMessage(message);
    if (datagram === undefined) {
      this.#options.notSent(message);
    }
    return datagram;
  }

  #send(datagram: Buffer | undefined, to: VmId): void {
    const { addressOf, listen } = this.#options;
    const address = addressOf(to);
    // A VM without an address was removed since the agent addressed it. What cannot be
    // sent counts as lost.
    if (datagram !== undefined && address !== undefined) {
      this.#socket?.send(datagram, listen.port, address, () => undefined);
    }
  }

  #onDatagram(bytes: Buffer, { address, port }: RemoteInfo): void {
    const from = port === this.#options.listen.port
      ? this.#options.vmAt(address)
      : undefined;
    if (from === undefined || !this.#options.isActive()) {
      return;
    }
    const message = decodeHomeMessage(bytes);
    if (message !== undefined) {
      this.send({ kind: "received", message, from });
    }
  }

  #receive(message: HomeMessage, from: VmId): void {
    this.#options.received(message.kind);
    this.#options.agent.receive(message, from, performance.now());
  }
}
