/**
 * Connections to targets: one client for each, so that it is always known which
 * request is on which connection.
 *
 * @module
 */

import { connect as connectTcp, type Socket } from "node:net";
import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { ConnectTimeoutError } from "../errors.ts";
import { Client } from "./undici_client.ts";

/**
 * Longest time for a connection to come about beyond two round trips, in
 * milliseconds. A target accepts within about 1 ms; one that has lost power never
 * answers, and each request sent there waits this long before it can go elsewhere.
 */
const CONNECT_MS = 200;
/**
 * An idle connection is dropped after this long where the target names no
 * timeout, in milliseconds: before targets commonly close it themselves (5 s).
 */
const IDLE_MS = 4_000;
/** Longest idle time, whatever the target allows. */
const IDLE_MOST_MS = 8_000;
/** Dropped this long before the target's own timeout: whole seconds are named, and a request must not meet the close on the way. */
const IDLE_MARGIN_MS = 1_500;
/** Largest header of an answer. */
const ANSWER_HEADER_BYTES = 65_536;

/** Where a connection goes. */
export interface ConnectionTarget {
  readonly id: TargetId;
  /** `host:port`. */
  readonly address: string;
  readonly roundTripMs: number;
}

/** Told what connecting shows. */
export interface ConnectionListener {
  connected(target: TargetId, ms: number): void;
}

/** A connection as an attempt uses it. */
export interface TargetConnection {
  readonly target: TargetId;
  /** Sends a request; its events go to the handler. */
  dispatch(
    req: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Whether the answer that just ended was cut short by the end of the connection. */
  wasCut(isChunked: boolean): boolean;
  /** Cuts it, so that the target stops its work. */
  destroy(): void;
}

/** Where attempts get their connections. */
export interface ConnectionSource {
  /** An idle connection or a new one. */
  take(target: ConnectionTarget): TargetConnection;
  /** Its request is answered. */
  giveBack(connection: TargetConnection): void;
  /** Its request did not come to a whole answer. */
  drop(connection: TargetConnection): void;
  /** The target is gone. */
  forget(target: TargetId): void;
}

/** One connection; serves one request at a time. */
export class Connection implements TargetConnection {
  readonly target: TargetId;
  readonly address: string;
  readonly #client: Client;
  #socket: Socket | undefined;
  #isOpen = true;
  #wasReset = false;
  /** The target has closed its side. */
  #hasEnded = false;

  constructor(target: ConnectionTarget, options: {
    localAddress: string;
    listener: ConnectionListener;
    onClosed: (connection: Connection) => void;
  }) {
    this.target = target.id;
    this.address = target.address;
    this.#client = new Client(`http://${target.address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MOST_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      maxHeaderSize: ANSWER_HEADER_BYTES,
      // The exchange has its own deadline; a second set of timers would only cost.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: connector(target, {
        ...options,
        onSocket: (socket) => this.#socket = socket,
        onReset: () => this.#wasReset = true,
        onEnd: () => this.#hasEnded = true,
      }),
    });
    this.#client.on("disconnect", () => {
      this.#isOpen = false;
      options.onClosed(this);
    });
  }

  /**
   * Whether the answer that just ended was cut short by the end of the connection.
   * undici takes an answer whose connection closes for a whole one, also where the
   * close is a reset, or comes before the last chunk; its caller would get a part
   * of an answer that looks complete.
   */
  wasCut(isChunked: boolean): boolean {
    return this.#wasReset || (isChunked && this.#hasEnded);
  }

  /** Whether it may carry one more request. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  dispatch(
    req: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#client.dispatch(req, handler);
  }

  /**
   * Cuts it with a reset. An ordinary close would leave what is not delivered yet
   * to the kernel, which delivers it once a cut on the way has healed: a target
   * would get requests whose callers left long ago.
   */
  destroy(): void {
    this.#isOpen = false;
    this.#socket?.resetAndDestroy();
    this.#client.destroy().catch(() => undefined);
  }
}

/** Connects within a bound and measures how long that takes. */
function connector(
  target: ConnectionTarget,
  options: {
    localAddress: string;
    listener: ConnectionListener;
    /** The connection begins to come about. */
    onSocket: (socket: Socket) => void;
    onReset: () => void;
    onEnd: () => void;
  },
): NonNullable<ConstructorParameters<typeof Client>[1]>["connect"] {
  const limitMs = CONNECT_MS + 2 * target.roundTripMs;
  return ({ hostname, port }, callback) => {
    const startedAt = performance.now();
    const socket = connectTcp({
      host: hostname,
      port: Number(port),
      localAddress: options.localAddress,
      noDelay: true,
    });
    options.onSocket(socket);
    const timer = setTimeout(
      () => socket.destroy(new ConnectTimeoutError("No connection in time")),
      limitMs,
    );
    const onError = (err: Error) => {
      clearTimeout(timer);
      callback(err, null);
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      // Heard before undici's own listeners, which the callback adds.
      socket.on("error", options.onReset);
      socket.on("end", options.onEnd);
      options.listener.connected(target.id, performance.now() - startedAt);
      callback(null, socket);
    });
  };
}

/** Idle connections, and how many are open, by target. */
export class Connections {
  readonly #localAddress: string;
  readonly #listener: ConnectionListener;
  readonly #idle = new Map<TargetId, Connection[]>();
  readonly #open = new Map<TargetId, Set<Connection>>();

  constructor(options: { localAddress: string; listener: ConnectionListener }) {
    this.#localAddress = options.localAddress;
    this.#listener = options.listener;
  }

  /** An idle connection, the one used last, or a new one. */
  take(target: ConnectionTarget): Connection {
    const idle = this.#idle.get(target.id);
    for (let one = idle?.pop(); one !== undefined; one = idle?.pop()) {
      if (one.isOpen && one.address === target.address) {
        return one;
      }
      one.destroy();
    }
    return this.fresh(target);
  }

  /** A new connection. */
  fresh(target: ConnectionTarget): Connection {
    const connection = new Connection(target, {
      localAddress: this.#localAddress,
      listener: this.#listener,
      onClosed: (closed) => this.#closed(closed),
    });
    const open = this.#open.get(target.id);
    if (open === undefined) {
      this.#open.set(target.id, new Set([connection]));
    } else {
      open.add(connection);
    }
    return connection;
  }

  /**
   * Its request is answered. What the target sends after a whole answer belongs
   * to no request and makes the client close the connection; so it is offered
   * again only in a later turn of the event loop, when that has shown.
   */
  giveBack(connection: Connection): void {
    setImmediate(() => {
      if (!connection.isOpen || !this.#isKnown(connection)) {
        connection.destroy();
        return;
      }
      const idle = this.#idle.get(connection.target);
      if (idle === undefined) {
        this.#idle.set(connection.target, [connection]);
      } else {
        idle.push(connection);
      }
    });
  }

  /** Its request did not come to a whole answer. */
  drop(connection: Connection): void {
    connection.destroy();
    this.#closed(connection);
  }

  /** Cuts idle connections to a target that is gone; busy ones go when they are given back. */
  forget(id: TargetId): void {
    for (const connection of this.#idle.get(id) ?? []) {
      connection.destroy();
    }
    this.#idle.delete(id);
    this.#open.delete(id);
  }

  close(): void {
    for (const set of this.#open.values()) {
      set.forEach((connection) => connection.destroy());
    }
    this.#open.clear();
    this.#idle.clear();
  }

  #isKnown(connection: Connection): boolean {
    return this.#open.get(connection.target)?.has(connection) ?? false;
  }

  #closed(connection: Connection): void {
    this.#open.get(connection.target)?.delete(connection);
    const idle = this.#idle.get(connection.target);
    const at = idle?.indexOf(connection) ?? -1;
    if (at >= 0) {
      idle!.splice(at, 1);
    }
  }
}
