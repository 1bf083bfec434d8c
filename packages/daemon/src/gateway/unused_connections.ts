/**
 * Connections that their callers have opened and not used yet. Node counts the time
 * until their first request as time for its header; here they may stay idle as long as
 * others do.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Options of {@link UnusedConnections}. */
export interface UnusedConnectionsOptions {
  /** Called when no request has arrived in the time for which a connection was kept. */
  expired(socket: Socket): void;
}

/** See the module comment. */
export class UnusedConnections {
  readonly #options: UnusedConnectionsOptions;
  readonly #timers = new Map<Socket, NodeJS.Timeout>();

  constructor(options: UnusedConnectionsOptions) {
    this.#options = options;
  }

  /** Keeps `socket` for `durationMs`, or until it is used. */
  keep(socket: Socket, durationMs: number): void {
    const expire = () => {
      this.#timers.delete(socket);
      this.#options.expired(socket);
    };
    this.#timers.set(socket, setTimeout(expire, durationMs));
    socket.once("close", () => this.used(socket));
  }

  /** A request has arrived on `socket`, or no more will. */
  used(socket: Socket): void {
    clearTimeout(this.#timers.get(socket));
    this.#timers.delete(socket);
  }
}
