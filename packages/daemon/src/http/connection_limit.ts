/**
 * Bounds the connections that clients have open, so that the process has descriptors left
 * for others. Above the bound, the connection that has been idle longest is closed.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Share of the bound below which it counts as no longer reached. */
const ENOUGH_SHARE = 0.9;

/** Options of {@link ConnectionLimit}. */
export interface ConnectionLimitOptions {
  /** Most open connections. */
  readonly most: number;
  /** Whether a connection may be closed because it is not used. */
  isIdle(socket: Socket): boolean;
  /** Called when the bound is reached, and when it no longer is; not at all by default. */
  reachedChanged?(isReached: boolean): void;
}

/** See the module comment. */
export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions;
  /** Open connections, the one used last at the end. */
  readonly #open = new Set<Socket>();
  #isReached = false;
  #closed = 0;

  constructor(options: ConnectionLimitOptions) {
    this.#options = options;
  }

  /** Connections that were closed because of the bound. */
  get closed(): number {
    return this.#closed;
  }

  /** Counts a new connection. If there are too many, an idle one is closed, or else this one. */
  accepted(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => this.#remove(socket));
    if (this.#open.size > this.#options.most) {
      this.#setReached(true);
      this.#close(this.#longestIdle() ?? socket);
    }
  }

  /** Records that a connection was used. */
  used(socket: Socket): void {
    if (this.#open.delete(socket)) {
      this.#open.add(socket);
    }
  }

  #longestIdle(): Socket | undefined {
    for (const socket of this.#open) {
      if (this.#options.isIdle(socket)) {
        return socket;
      }
    }
    return undefined;
  }

  /** Not in order: a peer that does not close its side would keep the descriptor in use. */
  #close(socket: Socket): void {
    this.#closed += 1;
    this.#open.delete(socket);
    socket.destroy();
  }

  #remove(socket: Socket): void {
    this.#open.delete(socket);
    if (this.#open.size < this.#options.most * ENOUGH_SHARE) {
      this.#setReached(false);
    }
  }

  #setReached(isReached: boolean): void {
    if (isReached !== this.#isReached) {
      this.#isReached = isReached;
      this.#options.reachedChanged?.(isReached);
    }
  }
}
