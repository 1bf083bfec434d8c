/**
 * Connections between VMs: the listener for peers and the links to them. A link
 * is opened when there is something to say and kept while it is used, so that
 * no full mesh arises.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { HolderAnswer } from "@poplarthread/coordination";
import type { VmId } from "@poplarthread/ids";
import { messageOf, PeerProtocolError } from "../errors.ts";
import type { Log } from "../log.ts";
import type { Metrics } from "../metrics.ts";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import { Channel, type ChannelListener } from "./channel.ts";
import {
  type Hello,
  isSameProof,
  newHello,
  proofOf,
  readHello,
  type Welcome,
} from "./handshake.ts";
import {
  type ClaimCall,
  type Known,
  NOTICES,
  type PeerHandler,
  type PeerId,
  type PeerNotice,
} from "./messages.ts";

/** A peer and where it listens, `host:port`. */
export interface PeerAddress {
  readonly vm: VmId;
  readonly address: string;
}

/** Construction of the network. */
export interface PeerNetworkOptions {
  readonly self: PeerId;
  readonly token: string;
  readonly host: string;
  readonly port: number;
  readonly handler: PeerHandler;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** What the network is told. */
export type PeerNetworkMessage =
  | {
    readonly kind: "send";
    readonly to: VmId;
    /** `host:port`. */
    readonly address: string;
    readonly notice: PeerNotice;
  }
  /** The VM is gone: its links are closed. */
  | { readonly kind: "drop"; readonly vm: VmId }
  /** Closes links that were not used for long. */
  | { readonly kind: "sweep" };

/** A stranger has this long to prove itself, in milliseconds: three round trips of 110 ms and a pause. */
const HANDSHAKE_MS = 2_000;
/** Links are closed after this long without a word; heartbeats come far more often. */
const IDLE_MS = 60_000;
const SWEEP_MS = 10_000;
/** A peer that refused is not called again before this has passed. */
const RECONNECT_MS = 200;
/** Notices kept while a link is being opened; beyond, the oldest are dropped. */
const MAX_WAITING = 256;
/** Inbound connections at once: each VM of the deployment twice over, and some. */
const MAX_INBOUND = 4_096;

interface Link {
  readonly address: string;
  channel: Channel | undefined;
  /** Set while the link is down after a failure. */
  retryAt: number;
  usedAt: number;
  waiting: PeerNotice[];
  /** Settles when the handshake is through; rejects when it failed. */
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

  /** Port that it listens on. */
  get port(): number {
    const address = this.#server?.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Asks the holder of a claim; never rejects. */
  async askHolder(peer: PeerAddress, call: ClaimCall): Promise<HolderAnswer> {
    const timeoutMs = call.waitMs + HANDSHAKE_MS;
    const answer = await this.#call(peer, { method: "claim", call, timeoutMs });
    return (answer ?? { kind: "unreachable" }) as HolderAnswer;
  }

  /** Asks what a peer knows to be in force; undefined where it does not answer. */
  async askKnown(
    peer: PeerAddress,
  ): Promise<Known | undefined> {
    const answer = await this.#call(peer, {
      method: "known",
      call: {},
      timeoutMs: HANDSHAKE_MS,
    });
    return answer as Known | undefined;
  }

  protected override async open(): Promise<void> {
    const { host, port } = this.#options;
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = MAX_INBOUND;
    this.#server = server;
    await listen(server, { host, port }, (err) => this.fail(err));
    this.sendEvery(SWEEP_MS, { kind: "sweep" });
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

  #send(vm: VmId, address: string, notice: PeerNotice): void {
    const link = this.#link(vm, address);
    const now = performance.now();
    link.usedAt = now;
    if (link.channel !== undefined) {
      this.#notify(link.channel, notice);
      return;
    }
    if (now < link.retryAt) {
      return;
    }
    link.waiting.push(notice);
    if (link.waiting.length > MAX_WAITING) {
      link.waiting.shift();
    }
    this.#open(vm, address).catch(() => undefined);
  }

  #notify(channel: Channel, notice: PeerNotice): void {
    if (channel.congested) {
      return;
    }
    this.#count("sent", notice.method);
    channel.rpc.client.notify(notice.method, notice.params, undefined);
  }

  /** The link to a VM; a VM that came back under another address gets a new one. */
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
      waiting: [],
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
      link.waiting.splice(0).forEach((notice) => this.#notify(channel, notice));
      return channel;
    }, (err) => {
      link.retryAt = performance.now() + RECONNECT_MS;
      link.waiting = [];
      throw err;
    }).finally(() => {
      link.opening = undefined;
    });
    return link.opening;
  }

  async #connect(vm: VmId, link: Link): Promise<Channel> {
    const at = link.address.lastIndexOf(":");
    const { host } = this.#options;
    const socket = connect({
      host: link.address.slice(0, at),
      port: Number(link.address.slice(at + 1)),
      ...(isAnyAddress(host) ? {} : { localAddress: host }),
    });
    const channel = new Channel(
      socket,
      this.#listener((err) => {
        if (link.channel === channel) {
          link.channel = undefined;
          link.retryAt = performance.now() + RECONNECT_MS;
        }
        this.#logClosed(vm, err);
      }),
    );
    const timer = setTimeout(
      () => channel.close(new PeerProtocolError("Cannot shake hands in time")),
      HANDSHAKE_MS,
    );
    try {
      await this.#introduce(channel);
      this.#serve(channel, { vm, instance: "" as PeerId["instance"] });
      channel.trust();
      return channel;
    } catch (err) {
      channel.close(err as Error);
      throw err;
    } finally {
      clearTimeout(timer);
    }
  }

  /** The connecting side of the handshake. */
  async #introduce(channel: Channel): Promise<void> {
    const { self, token } = this.#options;
    const connecting = newHello(self);
    const welcome = await channel.rpc.request(
      "hello",
      connecting,
      undefined,
    ) as Welcome;
    const listening = readHello(welcome);
    const right = proofOf(token, { side: "listening", connecting, listening });
    if (!isSameProof(welcome.proof, right)) {
      throw new PeerProtocolError("Cannot trust the peer: wrong proof");
    }
    const proof = proofOf(token, {
      side: "connecting",
      connecting,
      listening,
    });
    await channel.rpc.request("prove", { proof }, undefined);
  }

  /** The listening side of the handshake. */
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
          this.#refused(err);
        } else {
          this.#logClosed(peer.vm, err);
        }
      }),
    );
    const timer = setTimeout(
      () => channel.close(new PeerProtocolError("Cannot wait any longer")),
      HANDSHAKE_MS,
    );
    this.#inbound.add(channel);
    channel.rpc.addMethod("hello", (params: unknown): Welcome => {
      try {
        connecting = readHello(params);
      } catch (err) {
        channel.finish(err as Error);
        throw err;
      }
      listening = newHello(self);
      const parts = { side: "listening", connecting, listening } as const;
      return { ...listening, proof: proofOf(token, parts) };
    });
    channel.rpc.addMethod("prove", (params: unknown) => {
      const proof = (params as { proof?: unknown } | undefined)?.proof;
      const right = connecting !== undefined && listening !== undefined
        ? proofOf(token, { side: "connecting", connecting, listening })
        : undefined;
      if (right === undefined || !isSameProof(proof, right)) {
        const err = new PeerProtocolError("Cannot trust the peer: wrong proof");
        channel.finish(err);
        throw err;
      }
      clearTimeout(timer);
      peer = { vm: connecting!.vm, instance: connecting!.instance };
      this.#serve(channel, peer);
      channel.trust();
      return true;
    });
  }

  /** Takes messages of a peer that has proved itself. */
  #serve(channel: Channel, peer: PeerId): void {
    const { handler, log } = this.#options;
    for (const method of NOTICES) {
      channel.rpc.addMethod(method, (params: unknown) => {
        this.#count("received", method);
        try {
          handler.notice(peer, { method, params } as PeerNotice);
        } catch (err) {
          // A peer of another build may say what this one can't read. That must
          // not take a task down which serves all other peers.
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
      if (now - link.usedAt > IDLE_MS) {
        link.channel?.close();
        this.#links.delete(vm);
      }
    }
  }

  #count(direction: "sent" | "received", method: string): void {
    this.#options.metrics.peerMessages.inc({ direction, method });
  }

  #refused(err: Error | undefined): void {
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
