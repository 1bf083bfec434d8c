/**
 * A target for tests of connections: a TCP server that lets the test respond to whatever
 * arrives, and the connections to it.
 *
 * @module
 */

import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { TargetId } from "@poplarthread/ids";
import type { ConnectionTarget } from "./connection.ts";
import { Connections } from "./connections.ts";

/** See the module comment. */
export class SocketTarget {
  /** Responds to what has arrived on a connection. */
  respond: (socket: Socket) => void = () => undefined;
  /** Connections that were accepted so far. */
  readonly sockets: Socket[] = [];
  readonly connections = new Connections({
    localAddress: "127.0.0.1",
    listener: { connected: () => undefined },
  });
  readonly #server: Server;

  constructor() {
    this.#server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on("error", () => undefined);
      socket.on("data", () => this.respond(socket));
    });
  }

  /** Resolves once it listens. */
  start(): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  /** How connections reach it. */
  get target(): ConnectionTarget {
    const { port } = this.#server.address() as AddressInfo;
    return {
      id: "t-1" as TargetId,
      address: `127.0.0.1:${port}`,
      roundTripMs: 1,
    };
  }

  stop(): void {
    this.connections.close();
    this.#server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
