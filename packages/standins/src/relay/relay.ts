/**
 * A TCP relay that stands before the peers' listeners of all VMs: it delays
 * what passes by the places of both ends, and cuts links by switch.
 *
 * The relay connects onwards from the address that it was connected from, so
 * that the listener behind it sees its peer's own address.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { type Delays, oneWayMs, placeOf } from "../delays.ts";

/** One listener that the relay stands before. */
export interface Relayed {
  /** Both the relay and the listener behind it are on this address. */
  readonly host: string;
  /** Port of the relay. */
  readonly port: number;
  /** Port of the listener behind it. */
  readonly behind: number;
}

/** A cut between two sets of addresses, in both directions. */
export interface Cut {
  readonly kind:
    /** Connections break and new ones are refused at once. */
    | "refuse"
    /**
     * Connections stay open and nothing passes, as when a switch drops packets;
     * TCP sends again, so all of it arrives late, once the cut has healed.
     */
    | "silent";
  readonly between: readonly string[];
  readonly and: readonly string[];
}

/** A connection through the relay. */
interface Link {
  readonly from: string;
  readonly to: string;
  readonly near: Socket;
  readonly far: Socket;
  /** What waits for a silent cut to heal, in order. */
  held: (() => void)[];
}

/** Relays to many listeners. */
export class Relay {
  readonly #delays: Delays;
  readonly #links = new Set<Link>();
  readonly #servers: Server[] = [];
  #cuts: readonly Cut[] = [];
  #bytes = 0;

  constructor(delays: Delays) {
    this.#delays = delays;
  }

  /** Bytes that passed, both ways. */
  get bytes(): number {
    return this.#bytes;
  }

  async listen(relayed: Relayed): Promise<void> {
    const server = createServer((near) => this.#accept(relayed, near));
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(relayed.port, relayed.host, resolve);
    });
  }

  /** Replaces all cuts; connections that a refusing cut covers break at once. */
  cut(cuts: readonly Cut[]): void {
    this.#cuts = cuts;
    this.#links.forEach((link) => this.#applyCut(link));
  }

  #applyCut(link: Link): void {
    switch (this.#cutBetween(link.from, link.to)?.kind) {
      case "refuse":
        link.near.destroy();
        link.far.destroy();
        return;
      case "silent":
        return;
      case undefined: {
        const { held } = link;
        link.held = [];
        held.forEach((deliver) => deliver());
      }
    }
  }

  close(): void {
    this.#servers.forEach((server) => server.close());
    this.#links.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  #accept(relayed: Relayed, near: Socket): void {
    const from = near.remoteAddress ?? "";
    if (this.#cutBetween(from, relayed.host)?.kind === "refuse") {
      near.destroy();
      return;
    }
    const far = connect({
      host: relayed.host,
      port: relayed.behind,
      localAddress: from,
    });
    const link: Link = { from, to: relayed.host, near, far, held: [] };
    this.#links.add(link);
    const delayMs = oneWayMs(placeOf(from), placeOf(link.to), this.#delays);
    this.#pass(link, { source: near, sink: far, delayMs });
    this.#pass(link, { source: far, sink: near, delayMs });
    near.once("close", () => this.#links.delete(link));
  }

  #pass(
    link: Link,
    { source, sink, delayMs }: {
      source: Socket;
      sink: Socket;
      delayMs: number;
    },
  ): void {
    source.setNoDelay(true);
    source.on("data", (chunk) => {
      this.#bytes += chunk.length;
      this.#deliver(link, delayMs, () => sink.write(chunk));
    });
    source.once("end", () => this.#deliver(link, delayMs, () => sink.end()));
    source.once(
      "close",
      () => this.#deliver(link, delayMs, () => sink.destroy()),
    );
    source.on("error", () => sink.destroy());
  }

  /** Acts after the delay, or when the cut that it then meets has healed. */
  #deliver(link: Link, delayMs: number, act: () => void): void {
    setTimeout(() => {
      if (this.#cutBetween(link.from, link.to) === undefined) {
        act();
      } else {
        link.held.push(act);
      }
    }, delayMs);
  }

  #cutBetween(from: string, to: string): Cut | undefined {
    return this.#cuts.find(({ between, and }) =>
      (between.includes(from) && and.includes(to)) ||
      (between.includes(to) && and.includes(from))
    );
  }
}
