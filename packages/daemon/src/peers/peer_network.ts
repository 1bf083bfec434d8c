/**
 * Connections between VMs: the listener for peers and the links to them. A link
 * is opened when there is a message to send and kept while it is used, which
 * avoids a full mesh.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { HolderResponse } from "@poplarthread/coordination";
import type { VmId } from "@poplarthread/ids";
import { messageOf, PeerProtocolError } from "../errors.ts";
import type { Log } from "../log.ts";
import type { Metrics } from "../metrics.ts";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import { Channel, type ChannelListener } from "./channel.ts";
import {
  computeProof,
  type Hello,
  newHello,
  proofsMatch,
  readHello,
  type Welcome,
} from "./handshake.ts";
import {
  type ClaimCall,
  type KnownState,
  NOTIFICATION_METHODS,
  type PeerHandler,
  type PeerId,
  type PeerNotification,
} from "./messages.ts";

/** A peer and the address that it listens on, `host:port`. */
export interface PeerAddress {
  readonly vm: VmId;
  readonly address: string;
}

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  readonly self: PeerId;
  readonly token: string;
  readonly host: string;
  readonly port: number;
  readonly handler: PeerHandler;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Messages to the network. */
export type PeerNetworkMessage =
  | {
    readonly kind: "send";
    readonly to: VmId;
    /** `host:port`. */
    readonly address: string;
    readonly notice: PeerNotification;
  }
  /** Closes the link to a VM that has left or failed. */
  | { readonly kind: "drop"; readonly vm: VmId }
  /** Closes idle links. */
  | { readonly kind: "sweep" };

/** Time-out of the handshake: three round trips of 110 ms, and some margin for pauses. */
const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Links without messages for this long are closed; heartbeats are far more frequent. */
const IDLE_TIMEOUT_MS = 60_000;
const SWEEP_INTERVAL_MS = 10_000;
/** Delay before reconnecting to a peer whose connection failed. */
const RECONNECT_DELAY_MS = 200;
/** Notifications queued while a link is being opened; beyond it, the oldest are dropped. */
const MAX_QUEUED_NOTIFICATIONS = 256;
/** Concurrent inbound connections: more than two for each VM of the deployment. */
const MAX_INBOUND_CONNECTIONS = 4_096;

interface Link {
  readonly address: string;
  channel: Channel | undefined;
  /** After a failure, the time before which the link is not reopened. */
  retryAt: number;
  usedAt: number;
  queued: PeerNotification[];
  /** Resolves when the handshake completes; rejects if it fails. */
  opening: Promise<Channel> | undefined;
}

/** Owns every connection between this VM and its peers. */
export class PeerNetwork extends Task<PeerNetworkMessage> {
  readonly #options: PeerNetworkOptions;
  readonly #links = new Map<VmId, Link>();
  readonly #inbound = new Set<Channel>();
  #server: Server | undefined;

  constructor(options: PeerNetworkOptions) {
    super("peer-network");
    this.#options = options;
  }

  /** Port that it listens on; 0 while it does not listen. */
  get port(): number {
    const address = this.#server?.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Queries the holder of a claim; never rejects. */
  async queryHolder(
    peer: PeerAddress,
    call: ClaimCall,
  ): Promise<HolderResponse> {
    const timeoutMs = call.waitMs + HANDSHAKE_TIMEOUT_MS;
    const response = await this.#call(peer, {
      method: "claim",
      call,
      timeoutMs,
    });
    return (response ?? { kind: "unreachable" }) as HolderResponse;
  }

  /** Queries which configuration a peer knows to be in force; undefined without a response. */
  async queryKnownState(
    peer: PeerAddress,
  ): Promise<KnownState | undefined> {
    const response = await this.#call(peer, {
      method: "known",
      call: {},
      timeoutMs: HANDSHAKE_TIMEOUT_MS,
    });
    return response as KnownState | undefined;
  }

  protected override async open(): Promise<void> {
    const { host, port } = this.#options;
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = MAX_INBOUND_CONNECTIONS;
    this.#server = server;
    await listen(server, { host, port }, (err) => this.fail(err));
    this.sendEvery(SWEEP_INTERVAL_MS, { kind: "sweep" });
  }

  protected override receive(message: PeerNetworkMessage): void {
    switch (message.kind) {
      case "send":
        this.#send(message.to, message.address, message.notice);
        return;
      case "drop":
        this.#links.get(message.vm)?.channel?.close();
        this.#links.delete(message.vm);
        return;
      case "sweep":
        this.#sweep(performance.now());
        return;
    }
  }

  protected override async close(): Promise<void> {
    for (const { channel } of this.#links.values()) {
      channel?.close();
    }
    this.#links.clear();
    this.#inbound.forEach((channel) => channel.close());
    const server = this.#server;
    this.#server = undefined;
    if (server !== undefined) {
      await new Promise<void>((resolve) => server.close(() => resolve()));
    }
  }

  async #call(
    { vm, address }: PeerAddress,
    { method, call, timeoutMs }: {
      method: string;
      call: object;
      timeoutMs: number;
    },
  ): Promise<unknown> {
    try {
      const channel = await this.#open(vm, address);
      this.#count("sent", method);
      return await channel.rpc.timeout(timeoutMs)
        .request(method, call, undefined);
    } catch {
      return undefined;
    }
  }

  #send(vm: VmId, address: string, notification: PeerNotification): void {
    const link = this.#link(vm, address);
    const now = performance.now();
    link.usedAt = now;
    if (link.channel !== undefined) {
      this.#notify(link.channel, notification);
      return;
    }
    if (now < link.retryAt) {
      return;
    }
    link.queued.push(notification);
    if (link.queued.length > MAX_QUEUED_NOTIFICATIONS) {
      link.queued.shift();
    }
    this.#open(vm, address).catch(() => undefined);
  }

  #notify(channel: Channel, notification: PeerNotification): void {
    if (channel.congested) {
      return;
    }
    this.#count("sent", notification.method);
    channel.rpc.client.notify(
      notification.method,
      notification.params,
      undefined,
    );
  }

  /** Returns the link to a VM; replaces it if the VM has a new address. */
  #link(vm: VmId, address: string): Link {
    const known = this.#links.get(vm);
    if (known?.address === address) {
      return known;
    }
    known?.channel?.close();
    const link: Link = {
      address,
      channel: undefined,
      retryAt: 0,
      usedAt: performance.now(),
      queued: [],
      opening: undefined,
    };
    this.#links.set(vm, link);
    return link;
  }

  #open(vm: VmId, address: string): Promise<Channel> {
    const link = this.#link(vm, address);
    if (link.channel !== undefined) {
      return Promise.resolve(link.channel);
    }
    link.opening ??= this.#connect(vm, link).then((channel) => {
      link.channel = channel;
      link.queued.splice(0).forEach((notification) =>
        this.#notify(channel, notification)
      );
      return channel;
    }, (err) => {
      link.retryAt = performance.now() + RECONNECT_DELAY_MS;
      link.queued = [];
      throw err;
    }).finally(() => {
      link.opening = undefined;
    });
    return link.opening;
  }

  async #connect(vm: VmId, link: Link): Promise<Channel> {
    const colon = link.address.lastIndexOf(":");
    const { host } = this.#options;
    const socket = connect({
      host: link.address.slice(0, colon),
      port: Number(link.address.slice(colon + 1)),
      ...(isAnyAddress(host) ? {} : { localAddress: host }),
    });
    const channel = new Channel(
      socket,
      this.#listener((err) => {
        if (link.channel === channel) {
          link.channel = undefined;
          link.retryAt = performance.now() + RECONNECT_DELAY_MS;
        }
        this.#logClosed(vm, err);
      }),
    );
    const timer = setTimeout(
      () =>
        channel.close(
          new PeerProtocolError(
            "Cannot complete the handshake within the time-out",
          ),
        ),
      HANDSHAKE_TIMEOUT_MS,
    );
    try {
      await this.#authenticate(channel);
      this.#serve(channel, { vm, instance: "" as PeerId["instance"] });
      channel.markAuthenticated();
      return channel;
    } catch (err) {
      channel.close(err as Error);
      throw err;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Runs the connecting side of the handshake. */
  async #authenticate(channel: Channel): Promise<void> {
    const { self, token } = this.#options;
    const connecting = newHello(self);
    const welcome = await channel.rpc.request(
      "hello",
      connecting,
      undefined,
    ) as Welcome;
    const listening = readHello(welcome);
    const expected = computeProof(token, {
      side: "listening",
      connecting,
      listening,
    });
    if (!proofsMatch(welcome.proof, expected)) {
      throw new PeerProtocolError("Cannot authenticate the peer: wrong proof");
    }
    const proof = computeProof(token, {
      side: "connecting",
      connecting,
      listening,
    });
    await channel.rpc.request("prove", { proof }, undefined);
  }

  /** Accepts a connection and runs the listening side of the handshake. */
  #accept(socket: Socket): void {
    const { self, token } = this.#options;
    let connecting: Hello | undefined;
    let listening: Hello | undefined;
    let peer: PeerId | undefined;
    const channel = new Channel(
      socket,
      this.#listener((err) => {
        clearTimeout(timer);
        this.#inbound.delete(channel);
        if (peer === undefined) {
          this.#countRefused(err);
        } else {
          this.#logClosed(peer.vm, err);
        }
      }),
    );
    const timer = setTimeout(
      () =>
        channel.close(
          new PeerProtocolError(
            "Cannot accept the peer: no proof within the handshake time-out",
          ),
        ),
      HANDSHAKE_TIMEOUT_MS,
    );
    this.#inbound.add(channel);
    channel.rpc.addMethod("hello", (params: unknown): Welcome => {
      try {
        connecting = readHello(params);
      } catch (err) {
        channel.closeAfterResponse(err as Error);
        throw err;
      }
      listening = newHello(self);
      const parts = { side: "listening", connecting, listening } as const;
      return { ...listening, proof: computeProof(token, parts) };
    });
    channel.rpc.addMethod("prove", (params: unknown) => {
      const proof = (params as { proof?: unknown } | undefined)?.proof;
      const expected = connecting !== undefined && listening !== undefined
        ? computeProof(token, { side: "connecting", connecting, listening })
        : undefined;
      if (expected === undefined || !proofsMatch(proof, expected)) {
        const err = new PeerProtocolError(
          "Cannot authenticate the peer: wrong proof",
        );
        channel.closeAfterResponse(err);
        throw err;
      }
      clearTimeout(timer);
      peer = { vm: connecting!.vm, instance: connecting!.instance };
      this.#serve(channel, peer);
      channel.markAuthenticated();
      return true;
    });
  }

  /** Handles messages of an authenticated peer. */
  #serve(channel: Channel, peer: PeerId): void {
    const { handler, log } = this.#options;
    for (const method of NOTIFICATION_METHODS) {
      channel.rpc.addMethod(method, (params: unknown) => {
        this.#count("received", method);
        try {
          handler.handleNotification(
            peer,
            { method, params } as PeerNotification,
          );
        } catch (err) {
          // A peer of another build may send a message that this one cannot read.
          // That must not stop the task, which serves all other peers.
          log.warn("peer message not understood", {
            peer: peer.vm,
            reason: messageOf(err),
          });
        }
      });
    }
    channel.rpc.addMethod("claim", (params: unknown) => {
      this.#count("received", "claim");
      return handler.claim(peer, params as ClaimCall);
    });
    channel.rpc.addMethod("known", () => {
      this.#count("received", "known");
      return handler.known();
    });
  }

  #listener(closed: (err: Error | undefined) => void): ChannelListener {
    const { peerBytes } = this.#options.metrics;
    const read = peerBytes.labels("received");
    const written = peerBytes.labels("sent");
    return {
      bytesRead: (count) => read.inc(count),
      bytesWritten: (count) => written.inc(count),
      closed,
    };
  }

  #sweep(now: number): void {
    for (const [vm, link] of this.#links) {
      if (now - link.usedAt > IDLE_TIMEOUT_MS) {
        link.channel?.close();
        this.#links.delete(vm);
      }
    }
  }

  #count(direction: "sent" | "received", method: string): void {
    this.#options.metrics.peerMessages.inc({ direction, method });
  }

  #countRefused(err: Error | undefined): void {
    const { metrics, log } = this.#options;
    const reason = err instanceof PeerProtocolError ? "handshake" : "closed";
    metrics.refusedInput.inc({ listener: "peer", reason });
    log.info("peer refused", { reason: err?.message ?? "closed" });
  }

  #logClosed(vm: VmId, err: Error | undefined): void {
    this.#options.log.debug("peer link closed", {
      peer: vm,
      reason: err?.message ?? "closed",
    });
  }
}

function isAnyAddress(host: string): boolean {
  return host === "0.0.0.0" || host === "::";
}
