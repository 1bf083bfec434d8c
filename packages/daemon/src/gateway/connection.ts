/**
 * One HTTP connection to a target, or to another VM, with an undici client of its own.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import {
  ConnectionResetError,
  ConnectTimeoutError,
  InvalidResponseError,
} from "../errors.ts";
import { ResettableSocket } from "./resettable_socket.ts";
import {
  checkStatusLines,
  Client,
  limitHeaderFields,
} from "./undici_client.ts";

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
/** Maximum size of a response header. */
const MAX_RESPONSE_HEADER_BYTES = 65_536;
/** Most fields of a response header: twice what proxies commonly allow. */
const MAX_RESPONSE_HEADER_FIELDS = 200;
/**
 * Most bytes that may arrive besides a response's body: its header, what is read ahead of
 * the parser, and bytes that belong to no response.
 */
const MAX_OVERHEAD_BYTES = 262_144;
/** The same for each byte of the body: the framing of chunks of a byte takes five. */
const MAX_OVERHEAD_PER_BODY_BYTE = 8;

/** Time beyond a round trip for a reset to arrive after the end of what the target sent. */
const RESET_MARGIN_MS = 10;

/** A connection is closed after this many requests, whose ids it keeps until then. */
const MAX_REQUESTS = 500;

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

/** A handler of undici that its types leave out. */
interface RequestSentHandler {
  /** The whole request was handed to the socket. */
  onRequestSent(): void;
}

/** How a response tells its end. */
export interface ResponseFraming {
  readonly isChunked: boolean;
  /** Length of the body in bytes; -1 if the header does not give it. */
  readonly contentLength: number;
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
  wasTruncated(framing: ResponseFraming): boolean;
  /** Resets the connection, so that the target stops its work. */
  destroy(): void;
}

/** A connection to a target; carries one request at a time. */
export class Connection<Id extends string = TargetId>
  implements TargetConnection<Id> {
  readonly target: Id;
  readonly address: string;
  readonly #client: Client;
  readonly #roundTripMs: number;
  /** When it was last returned to the pool; undefined while it carries a request. */
  idleSince: number | undefined;
  /** When it was taken for its latest request. */
  takenAt = performance.now();
  #socket: ResettableSocket | undefined;
  /** The socket whose response headers are checked. */
  #checkedSocket: ResettableSocket | undefined;
  #isOpen = true;
  readonly #carriedIds = new Set<string>();
  /** Bytes that had arrived before the latest request, and those of its response's body. */
  #earlierBytes = 0;
  #bodyBytes = 0;
  #wasReset = false;
  /** Whether the latest request, with its body, was handed to the socket. */
  #isRequestWritten = false;
  /** Whether a response to a request with a body is arriving. */
  #answersBody = false;
  /** Whether the target has closed its side. */
  #hasEnded = false;

  constructor(target: ConnectionTarget<Id>, options: {
    localAddress: string;
    listener: ConnectionListener<Id>;
    onClosed: (connection: Connection<Id>) => void;
  }) {
    this.target = target.id;
    this.address = target.address;
    this.#roundTripMs = target.roundTripMs;
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
        onSocket: (socket) => this.#follow(socket),
        onReset: () => this.#wasReset = true,
        onEnd: (socket) => {
          this.#hasEnded = true;
          this.#wasReset ||= socket.checkReset();
        },
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
   * complete. The end of the connection is the end of a response only if the target has
   * got the whole request: one that fails may close the connection early.
   */
  wasTruncated({ isChunked, contentLength }: ResponseFraming): boolean {
    if (this.#wasReset) {
      return true;
    }
    const isUnframed = contentLength < 0 && !isChunked;
    return this.#hasEnded &&
      (isChunked || (isUnframed && !this.#hasSentRequest));
  }

  get #hasSentRequest(): boolean {
    return this.#isRequestWritten && this.#socket?.writableLength === 0;
  }

  /** Whether neither side has closed the connection. */
  get isOpen(): boolean {
    // The client tells of a close only in a later turn of the event loop.
    return this.#isOpen && this.#socket?.destroyed !== true;
  }

  /** Whether the connection can carry another request. */
  get isReusable(): boolean {
    return this.isOpen && this.#carriedIds.size < MAX_REQUESTS;
  }

  /** Whether a request with this id was sent on the connection. */
  hasCarried(requestId: string): boolean {
    return this.#carriedIds.has(requestId);
  }

  /** Records that a request with this id is sent on the connection. */
  markCarried(requestId: string): void {
    this.#carriedIds.add(requestId);
  }

  dispatch(
    req: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#earlierBytes = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
    this.#isRequestWritten = false;
    const hasBody = req.body !== null && req.body !== undefined;
    const listener: Dispatcher.DispatchHandler & RequestSentHandler = {
      onConnect: (abort) => {
        this.#followParser();
        handler.onConnect?.(abort);
      },
      onRequestSent: () => this.#isRequestWritten = true,
      onHeaders: (...args) => {
        this.#answersBody = hasBody;
        return handler.onHeaders?.(...args) ?? true;
      },
      onData: (chunk) => {
        this.#bodyBytes += chunk.length;
        return handler.onData?.(chunk) ?? true;
      },
      onComplete: (trailers) => {
        this.#answersBody = false;
        handler.onComplete?.(trailers);
      },
      onError: (err) => {
        this.#answersBody = false;
        handler.onError?.(err);
      },
    };
    this.#client.dispatch(req, listener);
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

  /** undici has a parser once the socket is connected. */
  #followParser(): void {
    const socket = this.#socket;
    if (socket === undefined || socket === this.#checkedSocket) {
      return;
    }
    this.#checkedSocket = socket;
    checkStatusLines(
      socket,
      () => socket.reset(new InvalidResponseError("sent no status of HTTP/1")),
    );
    limitHeaderFields(socket, {
      maxFields: MAX_RESPONSE_HEADER_FIELDS,
      onExceeded: () =>
        socket.reset(new InvalidResponseError("sent too many header fields")),
    });
  }

  #follow(socket: ResettableSocket): void {
    this.#socket = socket;
    // What was seen of an earlier socket says nothing of this one's responses.
    this.#wasReset = false;
    this.#hasEnded = false;
    // Bytes of the request that arrive after the target has closed make it send a reset.
    socket.endDelayMs = () =>
      this.#answersBody ? this.#roundTripMs + RESET_MARGIN_MS : 0;
    // Added before undici reads: it skips some bytes without notice, however many come.
    socket.on("readable", () => {
      const bytes = socket.bytesRead - this.#earlierBytes;
      const allowed = MAX_OVERHEAD_BYTES +
        this.#bodyBytes * (1 + MAX_OVERHEAD_PER_BODY_BYTE);
      if (bytes > allowed) {
        socket.reset(
          new InvalidResponseError("sent bytes that belong to no response"),
        );
      }
    });
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
    onEnd: (socket: ResettableSocket) => void;
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
    // After a delay of the event loop the socket may be connected without a notice yet.
    const timer = setTimeout(
      () => setImmediate(() => giveUpConnecting(socket)),
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
      socket.on("end", () => options.onEnd(socket));
      options.listener.connected(target.id, performance.now() - startedAt);
      callback(null, socket);
    });
  };
}

function giveUpConnecting(socket: ResettableSocket): void {
  if (socket.connecting) {
    socket.destroy(
      new ConnectTimeoutError("connecting to the target timed out"),
    );
  }
}
