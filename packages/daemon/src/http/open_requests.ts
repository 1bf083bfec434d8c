/**
 * Bounds the requests that clients have open.
 *
 * One read of a socket is parsed into thousands of short requests before Node pauses the
 * socket, and each of them is held until the responses before it have left.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request with its response, besides its header fields. */
const REQUEST_BYTES = 6_000;
/** A header field, in all forms in which it is held. */
const FIELD_BYTES = 150;
/** A request with at most so many header fields is always admitted if its connection has no other open one. */
const MAX_ORDINARY_FIELDS = 100;

/** Options of {@link OpenRequests}. */
export interface OpenRequestsOptions {
  /** Most open requests of a connection. */
  readonly perConnection: number;
  /** Memory for the open requests of all connections, without their bodies; unbounded by default. */
  readonly bytes?: number;
}

/** The open requests of a connection. */
interface ConnectionUse {
  requests: number;
  bytes: number;
}

/** See the module comment. */
export class OpenRequests {
  readonly #perConnection: number;
  readonly #allowedBytes: number;
  readonly #uses = new Map<Socket, ConnectionUse>();
  #bytes = 0;

  constructor({ perConnection, bytes = Infinity }: OpenRequestsOptions) {
    this.#perConnection = perConnection;
    this.#allowedBytes = bytes;
  }

  /** Memory that the open requests take, estimated, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether a connection has open requests that were admitted. */
  isBusy(socket: Socket): boolean {
    return (this.#uses.get(socket)?.requests ?? 0) > 0;
  }

  /** Counts a request until its response has left. Returns false if there is no room for it: it must be refused. */
  admit({ socket, rawHeaders }: IncomingMessage, res: ServerResponse): boolean {
    const fields = rawHeaders.length / 2;
    const bytes = REQUEST_BYTES + FIELD_BYTES * fields;
    const use = this.#uses.get(socket) ?? this.#follow(socket);
    const isOrdinary = use.requests === 0 && fields <= MAX_ORDINARY_FIELDS;
    const hasRoom = use.requests < this.#perConnection &&
      (isOrdinary || this.#bytes + bytes <= this.#allowedBytes);
    if (!hasRoom) {
      return false;
    }
    this.#add(use, { requests: 1, bytes });
    res.once("close", () => {
      // The connection may have been closed first, with all its requests.
      if (this.#uses.has(socket)) {
        this.#add(use, { requests: -1, bytes: -bytes });
      }
    });
    return true;
  }

  #follow(socket: Socket): ConnectionUse {
    const use = { requests: 0, bytes: 0 };
    if (!socket.destroyed) {
      this.#uses.set(socket, use);
      socket.once("close", () => {
        this.#uses.delete(socket);
        this.#bytes -= use.bytes;
      });
    }
    return use;
  }

  #add(use: ConnectionUse, { requests, bytes }: ConnectionUse): void {
    use.requests += requests;
    use.bytes += bytes;
    this.#bytes += bytes;
  }
}
