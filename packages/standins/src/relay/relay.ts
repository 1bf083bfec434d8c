/**
 * A TCP relay in front of the peer listeners of all VMs. It delays traffic
 * according to the locations of both ends, and simulates network partitions.
 *
 * The relay connects to the listener from the address of the connecting peer,
 * so that the listener sees that peer's address.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { type Delays, locationOf, oneWayDelayMs } from "../delays.ts";

/** A listener that the relay forwards to. */
export interface RelayedListener {
  /** Address of both the relay and the listener. */
  readonly host: string;
  /** Port of the relay. */
  readonly port: number;
  /** Port of the listener. */
  readonly behind: number;
}

/** A network partition between two sets of addresses, in both directions. */
export interface Partition {
  readonly kind:
    /** Open connections are closed, and new ones are closed immediately. */
    | "refuse"
    /**
     * Connections stay open but no data passes, as when a switch drops packets.
     * Since TCP retransmits, all data arrives late, after the partition has healed.
     */
    | "silent";
  readonly between: readonly string[];
  readonly and: readonly string[];
}

/** A connection through the relay: its two sockets and their addresses. */
interface RelayedConnection {
  readonly from: string;
  readonly to: string;
  readonly downstream: Socket;
  readonly upstream: Socket;
  /** Writes and closes that wait for a silent partition to heal, in order. */
  heldActions: (() => void)[];
}

/** A relay in front of several listeners. */
export class TcpRelay {
  readonly #delays: Delays;
  readonly #connections = new Set<RelayedConnection>();
  readonly #servers: Server[] = [];
  #partitions: readonly Partition[] = [];
  #relayedBytes = 0;

  constructor(delays: Delays) {
    this.#delays = delays;
  }

  /** Bytes received from both sides. */
  get bytes(): number {
    return this.#relayedBytes;
  }

  async listen(listener: RelayedListener): Promise<void> {
    const server = createServer((downstream) =>
      this.#accept(listener, downstream)
    );
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(listener.port, listener.host, resolve);
    });
  }

  /** Replaces all partitions; closes connections across those of kind `refuse`. */
  setPartitions(partitions: readonly Partition[]): void {
    this.#partitions = partitions;
    this.#connections.forEach((connection) => this.#applyPartition(connection));
  }

  #applyPartition(connection: RelayedConnection): void {
    switch (this.#partitionBetween(connection.from, connection.to)?.kind) {
      case "refuse":
        connection.downstream.destroy();
        connection.upstream.destroy();
        return;
      case "silent":
        return;
      case undefined: {
        const { heldActions } = connection;
        connection.heldActions = [];
        heldActions.forEach((action) => action());
      }
    }
  }

  close(): void {
    this.#servers.forEach((server) => server.close());
    this.#connections.forEach(({ downstream, upstream }) => {
      downstream.destroy();
      upstream.destroy();
    });
  }

  #accept(listener: RelayedListener, downstream: Socket): void {
    const from = downstream.remoteAddress ?? "";
    if (this.#partitionBetween(from, listener.host)?.kind === "refuse") {
      downstream.destroy();
      return;
    }
    const upstream = connect({
      host: listener.host,
      port: listener.behind,
      localAddress: from,
    });
    const connection: RelayedConnection = {
      from,
      to: listener.host,
      downstream,
      upstream,
      heldActions: [],
    };
    this.#connections.add(connection);
    const delayMs = oneWayDelayMs(
      locationOf(from),
      locationOf(connection.to),
      this.#delays,
    );
    this.#forward(connection, { source: downstream, sink: upstream, delayMs });
    this.#forward(connection, { source: upstream, sink: downstream, delayMs });
    downstream.once("close", () => this.#connections.delete(connection));
  }

  #forward(
    connection: RelayedConnection,
    { source, sink, delayMs }: {
      source: Socket;
      sink: Socket;
      delayMs: number;
    },
  ): void {
    source.setNoDelay(true);
    source.on("data", (chunk) => {
      this.#relayedBytes += chunk.length;
      this.#runAfterDelay(connection, delayMs, () => sink.write(chunk));
    });
    source.once(
      "end",
      () => this.#runAfterDelay(connection, delayMs, () => sink.end()),
    );
    source.once(
      "close",
      () => this.#runAfterDelay(connection, delayMs, () => sink.destroy()),
    );
    source.on("error", () => sink.destroy());
  }

  /** Runs `action` after the delay, or once the partition that is in effect then has healed. */
  #runAfterDelay(
    connection: RelayedConnection,
    delayMs: number,
    action: () => void,
  ): void {
    setTimeout(() => {
      if (
        this.#partitionBetween(connection.from, connection.to) === undefined
      ) {
        action();
      } else {
        connection.heldActions.push(action);
      }
    }, delayMs);
  }

  #partitionBetween(from: string, to: string): Partition | undefined {
    return this.#partitions.find(({ between, and }) =>
      (between.includes(from) && and.includes(to)) ||
      (between.includes(to) && and.includes(from))
    );
  }
}
