/**
 * Measures how long connections wait until a server accepts them.
 *
 * @module
 */

import type { Server } from "node:http";
import { connect, type Socket } from "node:net";
import process from "node:process";
import type { ListenAddress } from "./settings.ts";
import { AcceptQueue } from "./accept_queue.ts";

/** A connection to itself that has waited for so long tells nothing more. */
const PROBE_TIMEOUT_MS = 5_000;

/** Watches the accept queue of one server; see {@link AcceptQueue}. */
export class AcceptWatch {
  readonly #address: ListenAddress;
  readonly #queue = new AcceptQueue();
  /** When connections to itself were opened, by the address and port that they come from. */
  readonly #openedAt = new Map<string, number>();

  constructor(address: ListenAddress) {
    this.#address = address;
  }

  /** Calls `connected` for each connection of a caller, with the longest that it can have waited. */
  follow(
    server: Server,
    connected: (socket: Socket, maxWaitMs: number) => void,
  ): void {
    server.on("connection", (socket: Socket) => {
      const now = performance.now();
      if (!this.#queue.isWatched) {
        this.#watchTurns();
      }
      this.#queue.accepted(now);
      if (!this.#isOwn(socket)) {
        connected(socket, this.#queue.maxWaitMs(now));
      }
    });
  }

  /** The longest that a connection accepted now can have waited. */
  maxWaitMs(now: number): number {
    return this.#queue.maxWaitMs(now);
  }

  /** Handles the end of each turn of the event loop while connections arrive. */
  #watchTurns(): void {
    setImmediate(() => {
      this.#queue.turnEnded();
      if (this.#queue.isWatched) {
        if (this.#queue.takeDueProbe(performance.now())) {
          this.#probe();
        }
        this.#watchTurns();
      }
    });
  }

  /** Opens a connection to the server, which waits behind those that wait already. */
  #probe(): void {
    const openedAt = performance.now();
    const socket = connect({ ...this.#address, noDelay: true });
    let source: string | undefined;
    // The source is known once connecting has begun, in the next tick. The server may
    // accept the connection in the turn that follows.
    process.nextTick(() => {
      const address = socket.address();
      if ("port" in address) {
        // The kernel chooses the address, which need not be the one that it connects to.
        source = sourceOf(address.address, address.port);
        this.#openedAt.set(source, openedAt);
      }
    });
    // Without the probe the wait is bounded less closely; nothing else depends on it.
    socket.on("error", () => undefined);
    socket.on(
      "close",
      () => source !== undefined && this.#openedAt.delete(source),
    );
    socket.setTimeout(PROBE_TIMEOUT_MS, () => socket.destroy());
    socket.resume();
  }

  /** Whether the server has accepted a connection of its own process, which is closed. */
  #isOwn(socket: Socket): boolean {
    const { remoteAddress = "", remotePort = 0 } = socket;
    const openedAt = this.#openedAt.get(sourceOf(remoteAddress, remotePort));
    if (openedAt === undefined) {
      return false;
    }
    this.#queue.probeAccepted(openedAt);
    socket.destroy();
    return true;
  }
}

function sourceOf(address: string, port: number): string {
  return `${address} ${port}`;
}
