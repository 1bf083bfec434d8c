/**
 * An HTTP server that accepts requests, of callers or of the VMs that forward theirs.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { listen } from "../listen.ts";
import { AcceptWatch } from "./accept_watch.ts";
import type { CallerLimits } from "./configuration.ts";
import type { ListenAddress } from "./settings.ts";
import { UnusedConnections } from "./unused_connections.ts";

// Defaults until a configuration is known.
const DEFAULT_HEADER_BYTES = 16_384;
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/**
 * Time that a connection is kept beyond the idle timeout, so that a request in
 * transit when the timeout passes does not meet a closed connection.
 */
const IDLE_GRACE_MS = 1_000;
/** Interval at which Node checks connections for header timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** Listen backlog: after a fault, all clients of a zone may reconnect at once. */
const MAX_PENDING_CONNECTIONS = 1_024;

/** Handles the requests of a server. */
export interface RequestHandlers {
  handle(req: IncomingMessage, res: ServerResponse): void;
  /** Refuses a request with an expectation other than `100-continue`. */
  refuse(req: IncomingMessage, res: ServerResponse): void;
}

/** Receives the events of a server. */
export interface CallerServerListener {
  /** A connection was accepted that has waited for `maxWaitMs` at most. */
  connected(socket: Socket, maxWaitMs: number): void;
  /** Input did not become a request. */
  clientError(err: Error & { code?: string }, socket: Socket): void;
  /** No request has arrived on a connection within its limits. */
  unused(socket: Socket): void;
  /** A connection could not be accepted. */
  acceptFailed(err: Error): void;
}

/** See the module comment. */
export class CallerServer {
  readonly #listener: CallerServerListener;
  readonly #unused: UnusedConnections;
  #server: Server | undefined;
  #watch: AcceptWatch | undefined;
  #limits: CallerLimits | undefined;

  constructor(listener: CallerServerListener) {
    this.#listener = listener;
    this.#unused = new UnusedConnections({
      expired: (socket) => listener.unused(socket),
    });
  }

  /** Starts the server; resolves when it listens. */
  open(
    address: ListenAddress,
    { handle, refuse }: RequestHandlers,
  ): Promise<void> {
    const server = createServer({
      maxHeaderSize: DEFAULT_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_GRACE_MS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      // The route's timeout limits the time for reading a body.
      requestTimeout: 0,
      noDelay: true,
      // The dialect refuses requests without one, and counts them.
      requireHostHeader: false,
    }, (req, res) => {
      this.#unused.used(req.socket);
      handle(req, res);
    });
    // Bounded by their bytes. Node would leave out the fields beyond a number of them.
    server.maxHeadersCount = 0;
    // Without a listener, Node refuses these itself, and they are counted nowhere.
    server.on("checkExpectation", (req, res) => {
      this.#unused.used(req.socket);
      refuse(req, res);
    });
    const { connected, acceptFailed } = this.#listener;
    this.#watch = new AcceptWatch(address);
    this.#watch.follow(server, connected);
    server.on(
      "clientError",
      (err, socket) =>
        this.#handleClientError(err, { socket: socket as Socket, server }),
    );
    if (this.#limits !== undefined) {
      applyLimits(server, this.#limits);
    }
    this.#server = server;
    const { host, port } = address;
    return listen(
      server,
      { host, port, backlog: MAX_PENDING_CONNECTIONS },
      // If a connection cannot be accepted, for example for lack of file descriptors,
      // the others must survive; restarting this task would close them.
      (err) => acceptFailed(err),
    );
  }

  /** Until its first byte a connection is idle: the limit for a header begins with the header. */
  #handleClientError(
    err: Error & { code?: string },
    { socket, server }: { socket: Socket; server: Server },
  ): void {
    if (err.code === "ERR_HTTP_REQUEST_TIMEOUT" && socket.bytesRead === 0) {
      this.#unused.keep(socket, server.keepAliveTimeout);
      return;
    }
    this.#listener.clientError(err, socket);
  }

  /** The longest that a connection accepted now can have waited. */
  maxWaitMs(now: number): number {
    return this.#watch?.maxWaitMs(now) ?? 0;
  }

  /** Applies the limits of a configuration, also when the server is opened again. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    if (this.#server !== undefined) {
      applyLimits(this.#server, limits);
    }
  }

  /** Accepts no more connections; open ones stay open. */
  stopAccepting(): void {
    if (this.#server !== undefined) {
      // The HTTP server's own method also closes connections with unsent responses.
      NetServer.prototype.close.call(this.#server);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#watch = undefined;
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }
}

function applyLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_GRACE_MS;
  server.headersTimeout = limits.headerTimeoutMs;
  // Node reads this property for each new connection; its types declare it only as an option.
  (server as Server & { maxHeaderSize?: number }).maxHeaderSize =
    limits.headerBytes;
}
