/**
 * Pooled HTTP connections to targets, or to other VMs. Each connection has an undici client of its
 * own, so that it is always known which request uses which connection.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { ConnectionResetError, ConnectTimeoutError } from "../errors.ts";
import { ResettableSocket } from "./resettable_socket.ts";
import { Client } from "./undici_client.ts";

/**
 * Connect timeout beyond two round trips. A target accepts within about 1 ms. A target
 * that lost power never responds, and each request sent to it waits for this timeout
 * before it can go to another target.
 */
const CONNECT_TIMEOUT_MS = 200;
/**
 * Idle timeout if the target names none: below the 5 s after which targets commonly
 * close idle connections themselves.
 */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Maximum idle timeout, even if the target allows more. */
const MAX_IDLE_TIMEOUT_MS = 8_000;
/** Margin below the idle timeout that the target names. The target names whole seconds, and a request in transit must not meet the target's close. */
const IDLE_MARGIN_MS = 1_500;
/**
 * A request without a response for this long may have been sent on a silent connection:
 * many times what a target takes for short requests, and less than a health probe waits.
 */
const DOUBTFUL_AFTER_MS = 800;
/** Maximum size of a response header. */
const MAX_RESPONSE_HEADER_BYTES = 65_536;

/** The target to connect to. */
export interface ConnectionTarget<Id extends string = TargetId> {
  readonly id: Id;
  /** `host:port`. */
  readonly address: string;
  readonly roundTripMs: number;
}

/** Receives connection events. */
export interface ConnectionListener<Id extends string = TargetId> {
  /** Connecting to the target took `ms`. */
  connected(target: Id, ms: number): void;
}

/** The interface of a connection that an attempt uses. */
export interface TargetConnection<Id extends string = TargetId> {
  readonly target: Id;
  /** Sends a request; the handler receives its events. */
  dispatch(
    req: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Whether the response that just ended was truncated by the end of the connection. */
  wasTruncated(isChunked: boolean): boolean;
  /** Resets the connection, so that the target stops its work. */
  destroy(): void;
}

/** Provides connections for attempts. */
export interface ConnectionSource<Id extends string = TargetId> {
  /** Returns an idle connection or a new one. */
  take(target: ConnectionTarget<Id>): TargetConnection<Id>;
  /** Returns a connection to the pool after a complete response. */
  release(connection: TargetConnection<Id>): void;
  /** Discards a connection whose request got no complete response. */
  drop(connection: TargetConnection<Id>): void;
  /** Closes the idle connections to a target that does not respond: they may be silent while new ones work. */
  closeIdle(target: Id): void;
  /** Closes the idle connections to all targets that have carried no response lately: so many targets do not respond that all connections may be silent. */
  closeDoubtful(): void;
  /** Removes a target that is gone, and closes its idle connections. */
  remove(target: Id): void;
}

/** A connection to a target; carries one request at a time. */
export class Connection<Id extends string = TargetId>
  implements TargetConnection<Id> {
  readonly target: Id;
  readonly address: string;
  readonly #client: Client;
  /** When it was last returned to the pool; undefined while it carries a request. */
  idleSince: number | undefined;
  /** When it was taken for its latest request. */
  takenAt = performance.now();
  #socket: ResettableSocket | undefined;
  #isOpen = true;
  #wasReset = false;
  /** Whether the target has closed its side. */
  #hasEnded = false;

  constructor(target: ConnectionTarget<Id>, options: {
    localAddress: string;
    listener: ConnectionListener<Id>;
    onClosed: (connection: Connection<Id>) => void;
  }) {
    this.target = target.id;
    this.address = target.address;
    this.#client = new Client(`http://${target.address}`, {
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      // The exchange enforces the deadline; undici's timers would only add overhead.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: createConnector(target, {
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
   * Whether the response that just ended was truncated by the end of the connection.
   * undici treats a response as complete when its connection closes, even by a reset
   * or before the last chunk; the caller would get a partial response that looks
   * complete.
   */
  wasTruncated(isChunked: boolean): boolean {
    return this.#wasReset || (isChunked && this.#hasEnded);
  }

  /** Whether the connection can carry another request. */
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
   * Closes the connection with a reset. After an ordinary close the kernel would still
   * deliver outstanding data once a network partition has healed, so that a target would
   * get requests whose callers disconnected long ago. The error keeps the client from
   * taking the close for the end of a response without a length.
   */
  destroy(): void {
    this.#isOpen = false;
    this.#socket?.reset(new ConnectionResetError("the VM closed it"));
    this.#client.destroy().catch(() => undefined);
  }
}

/** Creates undici's connect function, which limits and measures the time to connect. */
function createConnector<Id extends string>(
  target: ConnectionTarget<Id>,
  options: {
    localAddress: string;
    listener: ConnectionListener<Id>;
    /** Called when connecting starts. */
    onSocket: (socket: ResettableSocket) => void;
    onReset: () => void;
    onEnd: () => void;
  },
): NonNullable<ConstructorParameters<typeof Client>[1]>["connect"] {
  const limitMs = CONNECT_TIMEOUT_MS + 2 * target.roundTripMs;
  return ({ hostname, port }, callback) => {
    const startedAt = performance.now();
    const socket = new ResettableSocket();
    socket.setNoDelay();
    socket.connect({
      host: hostname,
      port: Number(port),
      localAddress: options.localAddress,
    });
    options.onSocket(socket);
    const timer = setTimeout(
      () =>
        socket.destroy(
          new ConnectTimeoutError("connecting to the target timed out"),
        ),
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
      // Added before the callback adds undici's listeners, so that these run first.
      socket.on("error", options.onReset);
      socket.on("end", options.onEnd);
      options.listener.connected(target.id, performance.now() - startedAt);
      callback(null, socket);
    });
  };
}

/** The pool of connections, by target. */
export class Connections<Id extends string = TargetId>
  implements ConnectionSource<Id> {
  readonly #localAddress: string;
  readonly #listener: ConnectionListener<Id>;
  readonly #idle = new Map<Id, Connection<Id>[]>();
  readonly #open = new Map<Id, Set<Connection<Id>>>();

  constructor(
    options: { localAddress: string; listener: ConnectionListener<Id> },
  ) {
    this.#localAddress = options.localAddress;
    this.#listener = options.listener;
  }

  /** Returns the most recently used idle connection, or a new one. */
  take(target: ConnectionTarget<Id>): Connection<Id> {
    const idle = this.#idle.get(target.id);
    for (
      let candidate = idle?.pop();
      candidate !== undefined;
      candidate = idle?.pop()
    ) {
      if (candidate.isOpen && candidate.address === target.address) {
        candidate.idleSince = undefined;
        candidate.takenAt = performance.now();
        return candidate;
      }
      candidate.destroy();
    }
    return this.create(target);
  }

  /** Creates a connection. */
  create(target: ConnectionTarget<Id>): Connection<Id> {
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
   * Returns a connection to the pool after a complete response. Data that a target
   * sends after the response belongs to no request and makes the client close the
   * connection. The connection is therefore reused only after an event-loop tick, when
   * such a close has been noticed.
   */
  release(connection: Connection<Id>): void {
    setImmediate(() => {
      if (!connection.isOpen || !this.#isTracked(connection)) {
        connection.destroy();
        return;
      }
      connection.idleSince = performance.now();
      const idle = this.#idle.get(connection.target);
      if (idle === undefined) {
        this.#idle.set(connection.target, [connection]);
      } else {
        idle.push(connection);
      }
    });
  }

  /**
   * How long the latest idle connection to the target has been idle, 0 while one
   * carries a request; undefined if none is open.
   */
  idleMs(id: Id, now: number): number | undefined {
    const idle = this.#idle.get(id)?.at(-1);
    if (idle?.idleSince !== undefined) {
      return now - idle.idleSince;
    }
    return (this.#open.get(id)?.size ?? 0) > 0 ? 0 : undefined;
  }

  /**
   * Discards a connection whose request got no complete response. Open connections may
   * fall silent all at once, so those that have carried no response since are not used
   * again either.
   */
  drop(connection: Connection<Id>): void {
    const { target, takenAt } = connection;
    connection.destroy();
    this.#closed(connection);
    if (performance.now() - takenAt > DOUBTFUL_AFTER_MS) {
      this.#closeIdleSince(target, takenAt);
    }
  }

  closeIdle(target: Id): void {
    this.#closeIdleSince(target, performance.now());
  }

  closeDoubtful(): void {
    const since = performance.now() - DOUBTFUL_AFTER_MS;
    [...this.#idle.keys()].forEach((id) => this.#closeIdleSince(id, since));
  }

  /** Removes a target that is gone: closes its idle connections now, and busy ones when they are returned. */
  remove(id: Id): void {
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

  #isTracked(connection: Connection<Id>): boolean {
    return this.#open.get(connection.target)?.has(connection) ?? false;
  }

  /** Closes the connections that have been idle since `since` or longer. */
  #closeIdleSince(target: Id, since: number): void {
    [...this.#idle.get(target) ?? []]
      .filter(({ idleSince }) => idleSince! <= since)
      .forEach((connection) => {
        connection.destroy();
        this.#closed(connection);
      });
  }

  #closed(connection: Connection<Id>): void {
    this.#open.get(connection.target)?.delete(connection);
    const idle = this.#idle.get(connection.target);
    const index = idle?.indexOf(connection) ?? -1;
    if (index >= 0) {
      idle!.splice(index, 1);
    }
  }
}
