/**
 * Heartbeats over real sockets: every member has a listener and kept TCP
 * connections on the loopback interface, all in this process, by the real clock.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { createJSONRPCNotification } from "json-rpc-2.0";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Member,
  Membership,
  type MembershipEffect,
  type MembershipMessage,
} from "@poplarthread/coordination";
import { type Fit, fitLine, rounded } from "./fit.ts";
import { memberAt } from "./fleet.ts";

/** News of the start has ridden on its last heartbeat by then, with 48 members. */
const SETTLE_MS = 12_000;
const WINDOW_MS = 5_000;
const NOTICE_MS = 5_000;
const TICK_MS = 100;

interface RealFigures {
  readonly members: number;
  readonly messagesPerSecond: number;
  /** With the RPC envelope, without TCP and IP headers. */
  readonly bytesPerSecond: number;
  readonly connectionsPerMember: number;
  readonly cpuPerMille: number;
  readonly leaveKnownToAllMs: number;
}

/** All sizes and the lines through them. */
export interface RealReport {
  readonly how: string;
  readonly sizes: readonly RealFigures[];
  readonly perMember: Readonly<Record<string, Fit>>;
}

/** Measures fleets of several sizes, one after the other. */
export async function measureRealPeers(quick: boolean): Promise<RealReport> {
  const figures: RealFigures[] = [];
  for (const size of quick ? [3, 6, 12] : [3, 6, 12, 24, 48]) {
    figures.push(await measureFleet(size));
  }
  const fitted: readonly (keyof RealFigures)[] = [
    "messagesPerSecond",
    "bytesPerSecond",
    "cpuPerMille",
    "leaveKnownToAllMs",
  ];
  const perMember = Object.fromEntries(fitted.map((name) => [
    name,
    fitLine(figures.map((at) => ({ x: at.members, y: at[name] }))),
  ]));
  const how =
    "real TCP on the loopback interface and the real clock, JSON-RPC lines, all members in one process, no delay added";
  return { how, sizes: figures, perMember };
}

async function measureFleet(size: number): Promise<RealFigures> {
  const peers = Array.from({ length: size }, (_, n) => new Peer(memberAt(n)));
  await Promise.all(peers.map((peer) => peer.listen()));
  const list = peers.map(({ self }) => ({ ...self, state: "live" as const }));
  peers.forEach((peer) => peer.start(list));
  await sleep(SETTLE_MS);
  peers.forEach((peer) => peer.resetCounts());
  const before = process.cpuUsage();
  await sleep(WINDOW_MS);
  const { user, system } = process.cpuUsage(before);
  const seconds = size * WINDOW_MS / 1_000;
  const messages = sum(peers.map((peer) => peer.messages));
  const bytes = sum(peers.map((peer) => peer.bytes));
  const connections = sum(peers.map((peer) => peer.connections));
  const leaveKnownToAllMs = await leaveTime(peers);
  await Promise.all(peers.map((peer) => peer.stop()));
  return {
    members: size,
    messagesPerSecond: rounded(messages / seconds),
    bytesPerSecond: rounded(bytes / seconds),
    connectionsPerMember: rounded(connections / size),
    cpuPerMille: rounded((user + system) / 1_000 / seconds),
    leaveKnownToAllMs,
  };
}

async function leaveTime(peers: readonly Peer[]): Promise<number> {
  const [leaving, ...others] = peers;
  const start = performance.now();
  leaving!.leave();
  while (performance.now() < start + NOTICE_MS) {
    if (others.every((peer) => peer.holdsLeaving(leaving!.self.vm))) {
      return rounded(performance.now() - start);
    }
    await sleep(1);
  }
  return -1;
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}

/** One member with its sockets. */
class Peer {
  self: Member;
  messages = 0;
  bytes = 0;
  readonly #server: Server;
  readonly #sockets = new Map<string, Socket>();
  readonly #accepted = new Set<Socket>();
  #core: Membership | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(self: Member) {
    this.self = self;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  get connections(): number {
    return this.#sockets.size;
  }

  async listen(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as { port: number };
    this.self = { ...this.self, address: `127.0.0.1:${port}` };
  }

  start(list: Parameters<Membership["listed"]>[0]): void {
    const seed = Number(this.self.vm.slice("entry-".length));
    this.#core = new Membership({
      self: this.self,
      random: xoroshiro128plus(seed),
      now: performance.now(),
    });
    this.#core.listed(list, performance.now());
    this.#timer = setInterval(
      () => this.#apply(this.#core!.tick(performance.now())),
      TICK_MS,
    );
  }

  leave(): void {
    this.#apply(this.#core!.leave(performance.now()));
  }

  holdsLeaving(vm: Member["vm"]): boolean {
    return this.#core!.member(vm)?.state === "leaving";
  }

  resetCounts(): void {
    this.messages = 0;
    this.bytes = 0;
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    [...this.#sockets.values(), ...this.#accepted]
      .forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, "close");
  }

  #accept(socket: Socket): void {
    this.#accepted.add(socket);
    socket.on("error", () => socket.destroy());
    createInterface({ input: socket }).on("line", (line) => {
      const message = JSON.parse(line).params as MembershipMessage;
      this.#apply(this.#core!.receive(message, performance.now()));
    });
  }

  #apply(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        this.#send(effect.address, effect.message);
      }
    }
  }

  #send(address: string, message: MembershipMessage): void {
    const line = `${
      JSON.stringify(createJSONRPCNotification("membership", message))
    }\n`;
    this.messages += 1;
    this.bytes += line.length;
    let socket = this.#sockets.get(address);
    if (socket === undefined) {
      const [host, port] = address.split(":") as [string, string];
      socket = connect(Number(port), host);
      socket.on("error", () => undefined);
      this.#sockets.set(address, socket);
    }
    socket.write(line);
  }
}
