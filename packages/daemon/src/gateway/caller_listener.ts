/**
 * Listens for callers' requests.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { AccountId, ServiceId } from "@poplarthread/ids";
import { hashText, WeightedSplit } from "@poplarthread/placement";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import {
  AdmissionControl,
  type AdmissionRefusal,
  type AdmittedCaller,
} from "./accounts/admission.ts";
import { AccountIndex } from "./accounts/client_account.ts";
import {
  type Route,
  RouteIndex,
  type RoutingConfiguration,
} from "./configuration.ts";
import type { Credit } from "./accounts/credit_exchange.ts";
import type { GatewayExchange } from "./exchange.ts";
import { type OwnAnswerReason, sendOwnAnswer } from "./own_answer.ts";
import type { CallerRequest, Dialect } from "./ports.ts";
import type { RequestPath } from "./request_path.ts";
import type { ListenAddress } from "./settings.ts";

/** Until a configuration says otherwise. */
const HEADER_BYTES = 16_384;
const HEADER_TIMEOUT_MS = 5_000;
const IDLE_TIMEOUT_MS = 15_000;
/**
 * A connection stays this much longer than the limit on idle ones, in
 * milliseconds: a request that is on its way when the limit passes must not
 * meet a closed connection.
 */
const IDLE_GRACE_MS = 1_000;
/** How often Node looks for slow headers, in milliseconds. */
const SLOW_CHECK_MS = 1_000;
/** Connections that may wait to be accepted: all clients of a zone may come at once after a fault. */
const BACKLOG = 1_024;
/** How often a connection with malformed input is looked at until its answers are out, in milliseconds. */
const PENDING_CHECK_MS = 20;
/** Retry-After while no configuration is known, in milliseconds: a read of the store takes some 10 to 100. */
const NOT_READY_RETRY_MS = 250;

/** What the listener is told. */
export type CallerListenerMessage =
  | {
    readonly kind: "configuration";
    readonly configuration: RoutingConfiguration;
  }
  /** This VM leaves: answers end their connections. */
  | { readonly kind: "leave" }
  /** Takes no new connections and closes idle ones. */
  | { readonly kind: "close-listener" };

/** What the listener works with. */
export interface CallerListenerOptions {
  readonly listen: ListenAddress;
  readonly dialect: Dialect;
  /** Where this VM begins with splits, so that VMs do not all begin alike. */
  readonly seed: string;
  readonly path: RequestPath;
  /** Whether this VM reads what came some time ago. */
  isLate(): boolean;
  /** Whether this VM surely knows of every key that was taken away longer ago than allowed. */
  knowsRevocations(): boolean;
  /** Asks for the credit of one request of an account that has a quota. */
  requestCredit(account: AccountId, done: (credit: Credit) => void): void;
  /** A request that was granted credit did not run. */
  giveBackCredit(account: AccountId): void;
  /** Told of answers that no exchange gave. */
  refused(request: CallerRequest | undefined, reason: OwnAnswerReason): void;
  /** Told of connections that could not be accepted. */
  notAccepted(err: Error): void;
}

/** A connection and what is open on it. */
interface CallerConnection {
  readonly exchanges: Set<GatewayExchange>;
  /** The last request that was read from it. */
  latest: GatewayExchange | undefined;
  /**
   * An answer that ends the connection is out or on its way. What comes after
   * it is not read: its caller takes it for unread and sends it again, so it must
   * not reach a target.
   */
  isEnding: boolean;
}

/** A configuration with what is computed from it once. */
interface Compiled {
  readonly configuration: RoutingConfiguration;
  readonly index: RouteIndex;
  /** Undefined where callers need no account. */
  readonly accounts: AccountIndex | undefined;
}

/** Why a request gets no exchange, and when to come back. */
type Refusal = Pick<AdmissionRefusal, "reason"> & Partial<AdmissionRefusal>;

/** A split and the weights that it was made from. */
interface RouteSplit {
  readonly weights: string;
  readonly split: WeightedSplit;
}

/** See the module's comment. */
export class CallerListener extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerOptions;
  readonly #admission: AdmissionControl;
  readonly #connections = new Map<Socket, CallerConnection>();
  #splits = new Map<string, RouteSplit>();
  #server: Server | undefined;
  #compiled: Compiled | undefined;
  #isLeaving = false;
  #openRequests = 0;

  constructor(options: CallerListenerOptions) {
    super("callers");
    this.#options = options;
    this.#admission = new AdmissionControl({
      accounts: () => this.#compiled?.accounts,
      knowsRevocations: () => options.knowsRevocations(),
      requestCredit: (account, done) => options.requestCredit(account, done),
      giveBackCredit: (account) => options.giveBackCredit(account),
    });
  }

  /** Requests without their final answer. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Version of the configuration in force; 0 where none is. */
  get version(): number {
    return this.#compiled?.configuration.version ?? 0;
  }

  /** The accounts in force; undefined where callers need none. */
  get accounts(): AccountIndex | undefined {
    return this.#compiled?.accounts;
  }

  protected override open(): Promise<void> {
    const server = createServer({
      maxHeaderSize: HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CHECK_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS + IDLE_GRACE_MS,
      headersTimeout: HEADER_TIMEOUT_MS,
      // A body's time is bounded by its route.
      requestTimeout: 0,
      noDelay: true,
    }, (req, res) => this.#request(req, res));
    server.on("connection", (socket) => this.#connected(socket));
    server.on(
      "clientError",
      (err, socket) => this.#clientError(err, socket as Socket),
    );
    this.#server = server;
    const { host, port } = this.#options.listen;
    return listen(
      server,
      { host, port, backlog: BACKLOG },
      // A connection that could not be accepted, for want of descriptors, is no
      // reason to cut all others, as a new start of this task would.
      (err) => this.#options.notAccepted(err),
    );
  }

  protected override close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "configuration":
        this.#adopt(message.configuration);
        return;
      case "leave":
        this.#isLeaving = true;
        return;
      case "close-listener":
        this.#server?.close();
        this.#server?.closeIdleConnections();
        return;
    }
  }

  /** An exchange has its final answer. */
  ended(exchange: GatewayExchange): void {
    this.#openRequests -= 1;
    this.#connections.get(exchange.socket)?.exchanges.delete(exchange);
  }

  #adopt(configuration: RoutingConfiguration): void {
    const { routes, limits, accounts } = configuration;
    this.#compiled = {
      configuration,
      index: new RouteIndex(routes),
      accounts: accounts && new AccountIndex(accounts),
    };
    const kept = new Map<string, RouteSplit>();
    for (const route of routes) {
      kept.set(route.name, this.#splitOf(route));
    }
    this.#splits = kept;
    const server = this.#server;
    if (server !== undefined) {
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_GRACE_MS;
      server.headersTimeout = limits.headerTimeoutMs;
      // Node reads it for each new connection; its types know it only as an option.
      (server as Server & { maxHeaderSize?: number }).maxHeaderSize =
        limits.headerBytes;
    }
  }

  #splitOf(route: Route): RouteSplit {
    const weights = JSON.stringify(route.split);
    const known = this.#splits.get(route.name);
    if (known?.weights === weights) {
      return known;
    }
    const start = hashText(`${this.#options.seed} ${route.name}`) / 2 ** 32;
    return { weights, split: new WeightedSplit(route.split, start) };
  }

  #connected(socket: Socket): void {
    const connection: CallerConnection = {
      exchanges: new Set(),
      latest: undefined,
      isEnding: false,
    };
    this.#connections.set(socket, connection);
    const left = () => {
      this.#connections.delete(socket);
      for (const exchange of connection.exchanges) {
        exchange.callerClosed();
      }
    };
    // The server closes its side, too, when a caller has closed its own; by the
    // time at which both are closed, more requests would have been sent on.
    socket.once("end", left);
    socket.once("close", left);
  }

  #request(req: IncomingMessage, res: ServerResponse): void {
    res.sendDate = false;
    const connection = this.#connections.get(req.socket);
    if (connection === undefined || connection.isEnding) {
      return;
    }
    const compiled = this.#compiled;
    const request = this.#options.dialect.readRequest(req, {
      hasAccounts: compiled?.accounts !== undefined,
    });
    if (request.kind === "malformed") {
      this.#refuse(res, { reason: "malformed" }, { connection });
      return;
    }
    const refuse = (refusal: Refusal) =>
      this.#refuse(res, refusal, { connection, request });
    if (compiled === undefined) {
      refuse({ reason: "not-ready", retryAfterMs: NOT_READY_RETRY_MS });
      return;
    }
    const route = compiled.index.find(request.host, request.path);
    if (route === undefined) {
      refuse({ reason: "no-route" });
      return;
    }
    const admission = this.#admission.admit(request, route);
    if (admission.kind === "refused") {
      refuse(admission.refusal);
      return;
    }
    // A part of a split is taken last: what is refused before must not count for it.
    const service = this.#splits.get(route.name)?.split.next();
    if (service === undefined) {
      refuse({ reason: "no-route" });
      return;
    }
    const { caller } = admission;
    this.#exchange({
      req,
      res,
      connection,
      request,
      route,
      caller,
      service,
      compiled,
    });
  }

  #exchange(parts: {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly connection: CallerConnection;
    readonly request: CallerRequest;
    readonly route: Route;
    readonly caller: AdmittedCaller;
    readonly service: ServiceId;
    readonly compiled: Compiled;
  }): void {
    const { connection, compiled, ...options } = parts;
    const exchange = this.#options.path.exchange({
      ...options,
      bodyBytes: compiled.configuration.limits.bodyBytes,
      version: compiled.configuration.version,
      now: performance.now(),
      endsConnection: (mustEnd) => {
        const ends = connection.latest === exchange &&
          (mustEnd || this.#isLeaving);
        connection.isEnding ||= ends;
        return ends;
      },
    });
    this.#openRequests += 1;
    connection.exchanges.add(exchange);
    const isFirst = connection.latest === undefined;
    connection.latest = exchange;
    if (isFirst || this.#options.isLate()) {
      startAfterReading(exchange);
    } else {
      exchange.start();
    }
  }

  #refuse(
    res: ServerResponse,
    { reason, retryAfterMs }: Refusal,
    { connection, request }: {
      connection: CallerConnection;
      request?: CallerRequest;
    },
  ): void {
    // What follows an unread body cannot be told from it.
    const closes = request === undefined || request.chunked ||
      request.contentLength > 0;
    connection.isEnding ||= closes;
    connection.latest = undefined;
    sendOwnAnswer(res, reason, { retryAfterMs, closes });
    this.#options.refused(request, reason);
  }

  /** Input that never became a request: too large, too slow, or not HTTP. */
  #clientError(err: Error & { code?: string }, socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (
      connection === undefined || !socket.writable || err.code === "ECONNRESET"
    ) {
      socket.destroy();
      return;
    }
    connection.isEnding = true;
    const isIdle = connection.exchanges.size === 0;
    for (const exchange of connection.exchanges) {
      exchange.bodyMalformed();
    }
    const answer = `HTTP/1.1 ${statusLineOf(err.code)}\r\n` +
      "connection: close\r\ncontent-length: 0\r\n\r\n";
    this.#options.refused(undefined, "malformed");
    if (isIdle) {
      socket.end(answer);
      return;
    }
    // Requests before it still wait for their answers, which come first.
    const timer = setInterval(() => {
      if (connection.exchanges.size === 0 || socket.destroyed) {
        clearInterval(timer);
        socket.end();
      }
    }, PENDING_CHECK_MS);
  }
}

/**
 * Starts an exchange once what came behind its request has been read. On a VM that
 * comes late that may be its caller's close; sent on before, the request would
 * take a slot for nobody, and its target would go on until the close is read. It is
 * the same with the first request of a connection, which may have waited for
 * seconds to be accepted: connections are accepted one a turn of the event loop.
 * The first turn ends the reading under way, the second one reads what came behind.
 */
function startAfterReading(exchange: GatewayExchange): void {
  setImmediate(() => setImmediate(() => exchange.start()));
}

function statusLineOf(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}
