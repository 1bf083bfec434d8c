/**
 * The HTTP server for callers' requests.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AccountId, ServiceId, VmId } from "@poplarthread/ids";
import { hashText, WeightedSplit } from "@poplarthread/placement";
import { ConnectionLimit } from "../http/connection_limit.ts";
import { OpenRequests } from "../http/open_requests.ts";
import { PacedInput } from "../http/paced_input.ts";
import { Task } from "../task.ts";
import {
  AdmissionControl,
  type AdmissionRefusal,
  type AdmittedCaller,
  withoutQuota,
} from "./accounts/admission.ts";
import { AccountIndex } from "./accounts/client_account.ts";
import { CallerServer } from "./caller_server.ts";
import {
  type Route,
  RouteIndex,
  type RoutingConfiguration,
} from "./configuration.ts";
import type { CreditOutcome } from "./accounts/credit_exchange.ts";
import { discardInput, isDiscarded } from "./discarded_input.ts";
import type { GatewayExchange } from "./exchange.ts";
import {
  type ConfigurationAge,
  type ForwardedRequest,
  isBehind,
  readForwarded,
} from "./forwarding/forwarded_request.ts";
import { ForwardingListener } from "./forwarding/forwarding_listener.ts";
import { closeLingering, lingerAfterLastResponse } from "./lingering_close.ts";
import {
  LEAVING_RETRY_MS,
  type LocalReplyReason,
  sendLocalReply,
} from "./local_reply.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { CallerRequest, Dialect } from "./ports.ts";
import type { RequestPath } from "./request_path.ts";
import { expiryOf } from "./request_terms.ts";
import { isBehindUntil, releaseReady } from "./response_order.ts";
import type { ClientBounds, ListenAddress } from "./settings.ts";

/** Interval at which a connection with malformed input is checked for pending responses before it is closed. */
const PENDING_CHECK_INTERVAL_MS = 20;
/** Retry-After while no configuration is known. Reading it from the store takes about 10 to 100 ms. */
const NOT_READY_RETRY_MS = 250;
/** Callers give up on a VM that has not read a request after this time, or this share of their own. */
const MAX_READ_DELAY_MS = 1_000;
const MAX_READ_DELAY_SHARE = 1 / 3;
/** How long connections that wait when the listener is to close are still accepted. */
const MAX_PENDING_ACCEPT_MS = 500;
/** Retry-After of a request that was sent behind too many others: its caller opens a new connection. */
const TOO_MANY_OPEN_RETRY_MS = 100;
/** Retry-After of a request that was read late: its caller meets another VM. */
const READ_LATE_RETRY_MS = 100;

/** Messages to the listener. */
export type CallerListenerMessage =
  | {
    readonly kind: "configuration";
    readonly configuration: RoutingConfiguration;
  }
  /** Stops accepting connections, and closes each open one once it is idle. */
  | { readonly kind: "close-listener" }
  /** Gives up requests that hold back later responses on their connections, which are ready. */
  | { readonly kind: "release-ready" };

/** Options of the listener. */
export interface CallerListenerOptions {
  readonly listen: ListenAddress;
  /** Where other VMs forward requests to. */
  readonly forwarding: ListenAddress;
  readonly dialect: Dialect;
  readonly clients: ClientBounds;
  /** Memory for open requests, without their bodies, and as much again for input that waits to be parsed. */
  readonly requestBytes: number;
  /** Seed of the starting points in weighted splits, so that VMs do not all start with the same service. */
  readonly seed: string;
  readonly path: RequestPath;
  readonly plannedStop: PlannedStop;
  /** The VM at an IP address; undefined if it is not known. */
  vmAt(host: string): VmId | undefined;
  /** Whether the event loop is delayed, so that input is read long after it arrived. */
  isLoopDelayed(): boolean;
  /** The store's history that the operator's rows in use belong to. */
  operatorRowsEra(): number;
  /** Whether this VM knows of every key revocation older than the allowed delay. */
  knowsRevocations(): boolean;
  /** Requests quota credit for one request of an account. */
  requestCredit(
    account: AccountId,
    done: (credit: CreditOutcome) => void,
  ): void;
  /** Refunds the credit of a request that did not run. */
  refundCredit(account: AccountId): void;
  /** Called for each local reply sent without an exchange; `request` is undefined if the input was malformed. */
  refused(request: CallerRequest | undefined, reason: LocalReplyReason): void;
  /** Called when a connection could not be accepted. */
  acceptFailed(err: Error): void;
  /** Called when callers have as many connections as they may have, and when they have fewer again. */
  connectionsUsedUp(isUsedUp: boolean): void;
}

/** A caller's connection and its open exchanges. */
interface CallerConnection {
  /** The longest that the connection can have waited to be accepted. */
  readonly maxWaitMs: number;
  readonly exchanges: Set<GatewayExchange>;
  /** The exchange of the request read last; undefined if that request was refused. */
  latestExchange: GatewayExchange | undefined;
  /** Whether a request was read from it. */
  hasRequests: boolean;
  /**
   * Whether a response that closes the connection was sent or is being sent. Later
   * requests on the connection are ignored: the caller assumes that they were not
   * read and resends them, so they must not reach a target.
   */
  isEnding: boolean;
  /** Whether its input was faulty: each read that follows is reported as well. */
  isFaulty: boolean;
}

/** A configuration with the indexes built from it. */
interface CompiledConfiguration {
  readonly configuration: RoutingConfiguration;
  readonly index: RouteIndex;
  /** Undefined if callers need no account. */
  readonly accounts: AccountIndex | undefined;
}

/** What an exchange is made of. */
interface ExchangeParts {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: CallerConnection;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly caller: AdmittedCaller;
  readonly service: ServiceId;
  readonly compiled: CompiledConfiguration;
  /** Undefined if the request comes from its caller. */
  readonly info?: ForwardedRequest;
}

/** Why a request was refused before an exchange was created, and its Retry-After. */
type Refusal = Pick<AdmissionRefusal, "reason"> & Partial<AdmissionRefusal>;

/** A weighted split and the weights it was built from. */
interface RouteSplit {
  readonly weights: string;
  readonly split: WeightedSplit;
}

/** The task that runs the callers' HTTP server. */
export class CallerListener extends Task<CallerListenerMessage> {
  /** The task that accepts requests from other VMs, which are handled like those of callers. */
  readonly forwarding: ForwardingListener;
  readonly #options: CallerListenerOptions;
  readonly #admission: AdmissionControl;
  readonly #callerServer: CallerServer;
  readonly #peerServer: CallerServer;
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #requests: OpenRequests;
  readonly #connectionLimit: ConnectionLimit;
  readonly #input: PacedInput;
  #splits = new Map<string, RouteSplit>();
  #compiled: CompiledConfiguration | undefined;
  #closesIdle = false;
  #openRequests = 0;

  constructor(options: CallerListenerOptions) {
    super("callers");
    this.#options = options;
    const { clients, requestBytes, connectionsUsedUp } = options;
    this.#requests = new OpenRequests({
      perConnection: clients.requestsPerConnection,
      bytes: requestBytes,
    });
    this.#connectionLimit = new ConnectionLimit({
      most: clients.callerConnections,
      isIdle: (socket) => !this.#requests.isBusy(socket),
      reachedChanged: connectionsUsedUp,
    });
    this.#input = new PacedInput({
      bytes: requestBytes,
      parsed: () => options.path.checkMemory(performance.now()),
    });
    this.#callerServer = this.#createServer((socket) =>
      this.#connectionLimit.accepted(socket)
    );
    this.#peerServer = this.#createServer();
    this.forwarding = new ForwardingListener({
      listen: options.forwarding,
      server: this.#peerServer,
      handlers: {
        handle: (req, res) => this.#handleForwarded(req, res),
        refuse: (req, res) =>
          this.#refuseMalformed(req, res, { isForPeer: true }),
      },
    });
    this.#admission = new AdmissionControl({
      accounts: () => this.#compiled?.accounts,
      knowsRevocations: () => options.knowsRevocations(),
      requestCredit: (account, done) => options.requestCredit(account, done),
      refundCredit: (account) => options.refundCredit(account),
    });
  }

  /** Number of requests without a final response. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Number of connections that the other side has not closed. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /** Memory that open requests take, without their bodies, in bytes. */
  get requestBytes(): number {
    return this.#requests.bytes;
  }

  /** Connections of callers that were closed because there were too many. */
  get closedConnections(): number {
    return this.#connectionLimit.closed;
  }

  /** The longest that a connection accepted now can have waited. */
  maxAcceptWaitMs(now: number): number {
    return Math.max(
      ...this.#servers.map((server) => server.maxWaitMs(now)),
    );
  }

  /** Version of the configuration in force; 0 if there is none. */
  get version(): number {
    return this.#compiled?.configuration.version ?? 0;
  }

  /** The accounts in force; undefined if callers need none. */
  get accounts(): AccountIndex | undefined {
    return this.#compiled?.accounts;
  }

  get #servers(): readonly CallerServer[] {
    return [this.#callerServer, this.#peerServer];
  }

  #createServer(accepted?: (socket: Socket) => void): CallerServer {
    return new CallerServer({
      connected: (socket, maxWaitMs) => {
        this.#handleConnection(socket, maxWaitMs);
        accepted?.(socket);
      },
      clientError: (err, socket) => this.#handleClientError(err, socket),
      unused: (socket) => afterPendingReads(() => this.#handleUnused(socket)),
      acceptFailed: (err) => this.#options.acceptFailed(err),
    });
  }

  protected override open(): Promise<void> {
    return this.#callerServer.open(this.#options.listen, {
      handle: (req, res) => this.#handleRequest(req, res),
      refuse: (req, res) => this.#refuseMalformed(req, res),
    });
  }

  protected override close(): void {
    this.#callerServer.close();
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "configuration":
        this.#applyConfiguration(message.configuration);
        return;
      case "close-listener":
        this.#closeListener();
        return;
      case "release-ready":
        this.#connections.forEach(({ exchanges }) => releaseReady(exchanges));
        return;
    }
  }

  /** Called when an exchange has ended. */
  exchangeEnded(exchange: GatewayExchange): void {
    this.#openRequests -= 1;
    const { socket } = exchange;
    const connection = this.#connections.get(socket);
    connection?.exchanges.delete(exchange);
    if (connection !== undefined && this.#closesIdle) {
      closeIfIdle(socket, connection);
    }
  }

  /** What has arrived by now is accepted and read first: it would be lost with its connection. */
  #closeListener(
    acceptsUntil = performance.now() + MAX_PENDING_ACCEPT_MS,
  ): void {
    afterPendingReads(() => {
      const now = performance.now();
      if (now < acceptsUntil && this.maxAcceptWaitMs(now) > 0) {
        this.#closeListener(acceptsUntil);
        return;
      }
      this.#servers.forEach((server) => server.stopAccepting());
      this.#closesIdle = true;
      this.#connections.forEach((connection, socket) =>
        closeIfIdle(socket, connection)
      );
    });
  }

  #applyConfiguration(configuration: RoutingConfiguration): void {
    const { routes, limits, accounts } = configuration;
    this.#compiled = {
      configuration,
      index: new RouteIndex(routes),
      accounts: accounts && new AccountIndex(accounts),
    };
    const splits = new Map<string, RouteSplit>();
    for (const route of routes) {
      splits.set(route.name, this.#splitOf(route));
    }
    this.#splits = splits;
    this.#servers.forEach((server) => server.setLimits(limits));
  }

  #splitOf(route: Route): RouteSplit {
    const weights = JSON.stringify(route.split);
    const existing = this.#splits.get(route.name);
    if (existing?.weights === weights) {
      return existing;
    }
    const start = hashText(`${this.#options.seed} ${route.name}`) / 2 ** 32;
    return { weights, split: new WeightedSplit(route.split, start) };
  }

  #handleConnection(socket: Socket, maxWaitMs: number): void {
    const connection: CallerConnection = {
      maxWaitMs,
      exchanges: new Set(),
      latestExchange: undefined,
      hasRequests: false,
      isEnding: false,
      isFaulty: false,
    };
    this.#connections.set(socket, connection);
    this.#input.follow(socket);
    lingerAfterLastResponse(socket);
    const onCallerClosed = () => {
      this.#connections.delete(socket);
      for (const exchange of connection.exchanges) {
        exchange.callerClosed();
      }
    };
    // When a caller closes its side, the server closes its own as well. Waiting until
    // both are closed would send more of the caller's requests to targets.
    socket.once("end", onCallerClosed);
    socket.once("close", onCallerClosed);
  }

  /** A request has arrived. Returns its connection; undefined if a response before it ends that, or it is refused. */
  #receive(
    req: IncomingMessage,
    res: ServerResponse,
    options: { isForPeer?: boolean } = {},
  ): CallerConnection | undefined {
    res.sendDate = false;
    const connection = this.#connections.get(req.socket);
    if (connection === undefined || connection.isEnding) {
      discardInput(req);
      return undefined;
    }
    this.#connectionLimit.used(req.socket);
    if (this.#requests.admit(req, res)) {
      return connection;
    }
    this.#refuseTooMany(req, res, { connection, ...options });
    return undefined;
  }

  /** Refuses a request for which there is no room, and keeps nothing of it. */
  #refuseTooMany(
    req: IncomingMessage,
    res: ServerResponse,
    options: { connection: CallerConnection; isForPeer?: boolean },
  ): void {
    this.#refuse(
      res,
      { reason: "too-many-open", retryAfterMs: TOO_MANY_OPEN_RETRY_MS },
      options,
    );
    req.rawHeaders = [];
    req.headers = {};
  }

  #refuseMalformed(
    req: IncomingMessage,
    res: ServerResponse,
    options: { isForPeer?: boolean } = {},
  ): void {
    const connection = this.#receive(req, res, options);
    if (connection !== undefined) {
      this.#refuse(res, { reason: "malformed" }, { connection, ...options });
    }
  }

  #handleRequest(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#receive(req, res);
    if (connection === undefined) {
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
    if (isReadLate(request, connection)) {
      // The caller is led to another VM.
      this.#refuse(
        res,
        { reason: "read-late", retryAfterMs: READ_LATE_RETRY_MS },
        { connection, request, closesConnection: true },
      );
      return;
    }
    connection.hasRequests = true;
    if (compiled === undefined) {
      refuse({ reason: "not-ready", retryAfterMs: NOT_READY_RETRY_MS });
      return;
    }
    this.#admit({ req, res, connection, request, compiled }, { refuse });
  }

  /** Starts the exchange of a request that may run, or refuses it. */
  #admit(
    parts: Omit<ExchangeParts, "route" | "caller" | "service">,
    { refuse, info }: {
      refuse: (refusal: Refusal) => void;
      info?: ForwardedRequest;
    },
  ): void {
    const { compiled, request } = parts;
    const route = compiled.index.find(request.host, request.path);
    if (route === undefined) {
      refuse({ reason: "no-route" });
      return;
    }
    if (this.#isCutByStop(request, route, info)) {
      refuse({ reason: "leaving", retryAfterMs: LEAVING_RETRY_MS });
      return;
    }
    const admission = this.#admission.admit(request, route);
    if (admission.kind === "refused") {
      refuse(admission.refusal);
      return;
    }
    // The split is advanced last, so that refused requests do not count in it.
    const service = this.#splits.get(route.name)?.split.next();
    if (service === undefined) {
      // The route is there, but which service runs its requests is not known.
      refuse({ reason: "not-ready", retryAfterMs: NOT_READY_RETRY_MS });
      return;
    }
    const { caller } = admission;
    this.#startExchange(
      info === undefined
        ? { ...parts, route, caller, service }
        : { ...parts, route, caller: withoutQuota(caller), service, info },
    );
  }

  /** Whether the planned stop may cut a request that was read now. */
  #isCutByStop(
    request: CallerRequest,
    route: Route,
    info: ForwardedRequest | undefined,
  ): boolean {
    const { plannedStop } = this.#options;
    if (!plannedStop.hasBegun) {
      return false;
    }
    const now = performance.now();
    const startedAt = now - (info?.elapsedMs ?? 0);
    return plannedStop.refuses(expiryOf(request, route, startedAt), now);
  }

  /**
   * Handles a request that another VM forwards. That VM has counted it against its
   * account's quota; everything else is decided here.
   */
  #handleForwarded(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#receive(req, res, { isForPeer: true });
    if (connection === undefined) {
      return;
    }
    const compiled = this.#compiled;
    const forwarded = readForwarded(req, this.#options.dialect, {
      hasAccounts: compiled?.accounts !== undefined,
    });
    if (forwarded === undefined) {
      this.#refuse(res, { reason: "malformed" }, {
        connection,
        isForPeer: true,
      });
      return;
    }
    const { request, info } = forwarded;
    const refuse = (refusal: Refusal) =>
      this.#refuse(res, refusal, {
        connection,
        request,
        isForPeer: true,
      });
    if (compiled === undefined || isBehind(this.#age(compiled), info)) {
      refuse({ reason: "not-ready", retryAfterMs: NOT_READY_RETRY_MS });
      return;
    }
    if (this.#options.path.steering.isCutOff) {
      refuse({ reason: "no-target", retryAfterMs: NOT_READY_RETRY_MS });
      return;
    }
    this.#admit(
      { req, res, connection, request, compiled },
      { refuse, info },
    );
  }

  #age({ configuration }: CompiledConfiguration): ConfigurationAge {
    const era = this.#options.operatorRowsEra();
    return { version: configuration.version, era };
  }

  #startExchange(parts: ExchangeParts): void {
    const { connection, compiled, info, ...options } = parts;
    const exchange = this.#options.path.exchange({
      ...options,
      bodyBytes: compiled.configuration.limits.bodyBytes,
      ...this.#age(compiled),
      now: performance.now() - (info?.elapsedMs ?? 0),
      forwarded: info && {
        from: this.#options.vmAt(options.req.socket.remoteAddress ?? ""),
        attempts: info.attempts,
        caller: info.caller,
      },
      endsConnection: (mustEnd) => {
        const ends = connection.latestExchange === exchange &&
          (mustEnd || this.#options.plannedStop.hasBegun);
        connection.isEnding ||= ends;
        return ends;
      },
      isBehindUntil: (time) =>
        isBehindUntil(time, exchange, connection.exchanges),
    });
    this.#openRequests += 1;
    connection.exchanges.add(exchange);
    const isFirst = connection.latestExchange === undefined;
    connection.latestExchange = exchange;
    if (isFirst || this.#options.isLoopDelayed()) {
      // The input that follows may be the close of the caller's connection: a request
      // sent before the close is read would occupy a target's slot for no caller. The
      // first request of a connection may have waited for seconds to be accepted.
      afterPendingReads(() => exchange.start());
    } else {
      exchange.start();
    }
  }

  #refuse(
    res: ServerResponse,
    { reason, retryAfterMs }: Refusal,
    { connection, request, isForPeer = false, closesConnection = false }: {
      connection: CallerConnection;
      request?: CallerRequest;
      isForPeer?: boolean;
      closesConnection?: boolean;
    },
  ): void {
    // An unread body cannot be told apart from a following request.
    closesConnection ||= request === undefined || request.chunked ||
      request.contentLength > 0 || this.#options.plannedStop.hasBegun;
    connection.isEnding ||= closesConnection;
    connection.latestExchange = undefined;
    if (closesConnection) {
      // Behind an earlier response, an unread body would hide the close by the caller.
      res.req.resume();
    }
    sendLocalReply(res, reason, { retryAfterMs, closesConnection, isForPeer });
    this.#options.refused(request, reason);
  }

  #handleUnused(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    closeIfIdle(socket, connection);
  }

  /** Handles input that did not become a request: header too large, too slow, or not HTTP. */
  #handleClientError(err: Error & { code?: string }, socket: Socket): void {
    if (isDiscarded(err)) {
      return;
    }
    const connection = this.#connections.get(socket);
    if (
      connection === undefined || !socket.writable || err.code === "ECONNRESET"
    ) {
      socket.destroy();
      return;
    }
    if (connection.isFaulty) {
      return;
    }
    connection.isFaulty = true;
    connection.isEnding = true;
    const isIdle = connection.exchanges.size === 0;
    for (const exchange of connection.exchanges) {
      exchange.bodyMalformed();
    }
    const reply = `HTTP/1.1 ${statusLineOf(err.code)}\r\n` +
      "connection: close\r\ncontent-length: 0\r\n\r\n";
    this.#options.refused(undefined, "malformed");
    if (isIdle) {
      socket.write(reply);
      closeLingering(socket);
      return;
    }
    // Earlier requests on the connection get their responses before it is closed.
    const timer = setInterval(() => {
      if (connection.exchanges.size === 0 || socket.destroyed) {
        clearInterval(timer);
        closeLingering(socket);
      }
    }, PENDING_CHECK_INTERVAL_MS);
  }
}

/** Closes a connection with no open request; requests that still arrive are ignored. */
function closeIfIdle(socket: Socket, connection: CallerConnection): void {
  if (connection.exchanges.size === 0 && !connection.isEnding) {
    connection.isEnding = true;
    closeLingering(socket);
  }
}

/** Whether the first request of a connection may have waited longer than its caller does. */
function isReadLate(
  { deadlineMs = Infinity }: CallerRequest,
  { maxWaitMs, hasRequests }: CallerConnection,
): boolean {
  return !hasRequests &&
    maxWaitMs > Math.min(MAX_READ_DELAY_MS, deadlineMs * MAX_READ_DELAY_SHARE);
}

/**
 * Calls `run` once the input that has arrived by now was read. The first tick of the
 * event loop finishes the read in progress, the second one reads the input that follows.
 */
function afterPendingReads(run: () => void): void {
  setImmediate(() => setImmediate(run));
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
