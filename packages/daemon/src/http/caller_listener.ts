/**
 * The callers' listener: accepts connections within limits, answers look-ups
 * and creates an exchange for every other request.
 *
 * @module
 */

import {
  createServer,
  IncomingMessage,
  type Server,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Settings } from "@poplarthread/config";
import type { RequestId } from "@poplarthread/ids";
import type { Lookups } from "../lookups.ts";
import type { Metrics } from "../metrics.ts";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import { TICK_MS } from "./deadline_wheel.ts";
import { Exchange, type ExchangeServices } from "./exchange.ts";
import { LOOKUP_PATH } from "./names.ts";
import { type Refusal, sendRefusal } from "./refusal.ts";
import { type HeadOptions, readHead } from "./request_head.ts";
import type { RouteTable } from "./routes.ts";

/** The part of the configuration in force that callers' requests need. */
export interface RoutingView {
  readonly revision: number;
  readonly routes: RouteTable;
}

/** Options of {@link CallerListener}. */
export interface CallerListenerOptions {
  readonly settings: Settings;
  /** Prefix of request ids; unique to this run of the daemon. */
  readonly idPrefix: string;
  readonly lookups: Lookups;
  readonly metrics: Metrics;
  readonly services: ExchangeServices;
  /** Returns undefined while no configuration is in force. */
  readonly routing: () => RoutingView | undefined;
  /** Called once per tick, after expired deadlines are handled. */
  readonly onTick: (now: number) => void;
}

/** Messages to the listener. */
export type CallerListenerMessage =
  | { readonly kind: "tick" }
  /** A tick that is also sent while no request is in flight. */
  | { readonly kind: "idle-tick" }
  /** Checks for callers that have stopped sending their body. */
  | { readonly kind: "sweep" }
  /** From now on, every response closes its keep-alive connection. */
  | { readonly kind: "end-kept" }
  /** Stops accepting connections; answers the requests in flight, then closes. */
  | { readonly kind: "drain" };

/** Interval of the check for slow senders: a tenth of the shortest body idle time-out. */
const SWEEP_INTERVAL_MS = 500;
/** Time-driven decisions that need no request, such as expiring loans, may be this late. */
const IDLE_TICK_INTERVAL_MS = 100;
/** Idle connections are closed after this; undici clients keep theirs for 4 s. */
const KEEP_ALIVE_MS = 5_000;
const NOT_READY_RETRY_AFTER_MS = 1_000;

/** A response with a reference to its exchange, so that all share one close handler. */
class CallerResponse extends ServerResponse<IncomingMessage> {
  exchange: Exchange | undefined;
}

type CallerServer = Server<typeof IncomingMessage, typeof CallerResponse>;

/** Accepts and owns callers' connections. */
export class CallerListener extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerOptions;
  readonly #headOptions: HeadOptions;
  readonly #receiving = new Set<Exchange>();
  #server: CallerServer | undefined;
  #openRequests = 0;
  #requestCount = 0;
  #ticking = false;
  #draining = false;
  #idleWaiters: (() => void)[] = [];

  constructor(options: CallerListenerOptions) {
    super("caller-listener");
    this.#options = options;
    this.#headOptions = {
      vm: options.settings.vm,
      callerHeader: options.settings.callerHeader,
    };
  }

  /** Number of requests without a final response. */
  get inFlight(): number {
    return this.#openRequests;
  }

  /** Port that it listens on; 0 while it does not listen. */
  get port(): number {
    const address = this.#server?.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Resolves when every request has its final response. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#openRequests === 0) {
        resolve();
        return;
      }
      this.#idleWaiters.push(resolve);
    });
  }

  /** Must be called when an exchange has sent its final response. */
  exchangeEnded(): void {
    this.#openRequests -= 1;
    if (this.#openRequests === 0) {
      this.#idleWaiters.splice(0).forEach((wake) => wake());
    }
  }

  protected override async open(): Promise<void> {
    this.#draining = false;
    const server = this.#createServer();
    this.#server = server;
    const { host, port } = this.#options.settings.listen.caller;
    await listen(server, { host, port }, (err) => this.fail(err));
    this.#ticking = false;
    this.sendEvery(IDLE_TICK_INTERVAL_MS, { kind: "idle-tick" });
    this.sendEvery(SWEEP_INTERVAL_MS, { kind: "sweep" });
  }

  protected override receive(message: CallerListenerMessage): void {
    switch (message.kind) {
      case "tick":
        this.#ticking = false;
        this.#tick();
        return;
      case "idle-tick":
        this.#tick();
        return;
      case "sweep":
        this.#sweep(performance.now());
        return;
      case "end-kept":
        this.#draining = true;
        return;
      case "drain":
        this.#draining = true;
        this.#server?.close();
        this.#server?.closeIdleConnections();
        return;
    }
  }

  protected override async close(): Promise<void> {
    const server = this.#server;
    if (server === undefined) {
      return;
    }
    this.#server = undefined;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }

  /** Ticks stop while no request is in flight, since idle wake-ups would dominate the cost. */
  #tick(): void {
    const now = performance.now();
    this.#options.services.wheel.advance(now);
    this.#options.onTick(now);
    this.#scheduleTick();
  }

  #scheduleTick(): void {
    if (this.#openRequests > 0 && !this.#ticking) {
      this.#ticking = true;
      this.sendAfter(TICK_MS, { kind: "tick" });
    }
  }

  #createServer(): CallerServer {
    const { limits } = this.#options.settings;
    const server: CallerServer = createServer({
      ServerResponse: CallerResponse,
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      // Bodies are limited by the body idle time-out and the deadline instead.
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(1_000, limits.headerTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_MS,
      requireHostHeader: true,
      insecureHTTPParser: false,
      noDelay: true,
    }, (req, res) => this.#serve(req, res));
    server.maxConnections = limits.connections;
    server.on("drop", () => this.#countRefusedInput("connections"));
    server.on(
      "clientError",
      (err, socket) => this.#clientError(err, socket as Socket),
    );
    return server;
  }

  #serve(req: IncomingMessage, res: CallerResponse): void {
    const url = req.url!;
    if (url === LOOKUP_PATH) {
      this.#lookUp(res, undefined);
      return;
    }
    if (this.#draining) {
      res.shouldKeepAlive = false;
    }
    if (url.startsWith(LOOKUP_PATH) && url[LOOKUP_PATH.length] === "?") {
      const query = new URLSearchParams(url.slice(LOOKUP_PATH.length + 1));
      this.#lookUp(res, query.get("zone") ?? undefined);
      return;
    }
    this.#startExchange(req, res);
  }

  #lookUp(res: CallerResponse, zone: string | undefined): void {
    const page = this.#options.lookups.page(zone);
    if (page === undefined) {
      this.#refuse(res, {
        reason: "not-ready",
        message: "no configuration is in force on this VM yet",
        outcome: "not-run",
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      });
      return;
    }
    this.#options.metrics.lookups += 1;
    res.writeHead(200, page.headers as string[]);
    res.end(page.body, "latin1");
  }

  #startExchange(req: IncomingMessage, res: CallerResponse): void {
    const { routing, services } = this.#options;
    const head = readHead(req, this.#headOptions);
    if (head.kind === "bad-request") {
      this.#countRefusedInput("bad-request");
      this.#refuse(res, {
        reason: head.status === 508 ? "loop" : "bad-request",
        message: head.reason,
        outcome: "not-run",
        closesConnection: true,
      });
      return;
    }
    const outcome = "not-run";
    // Without a route, the outcome of an earlier request with the key cannot be looked up.
    const earlierUnknown = head.key !== undefined;
    const view = routing();
    if (view === undefined) {
      this.#refuse(res, {
        reason: "not-ready",
        message: "no configuration is in force on this VM yet",
        outcome,
        earlierUnknown,
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
        closesConnection: true,
      });
      return;
    }
    const match = view.routes.find(req.method!, req.url!);
    if (match.kind !== "found") {
      const isPath = match.kind === "none" && req.url!.startsWith("/");
      this.#refuse(res, {
        reason: isPath ? "no-route" : "bad-request",
        message: match.kind === "ambiguous"
          ? match.reason
          : "no route matches this method and path",
        outcome,
        earlierUnknown,
        closesConnection: head.chunked || head.contentLength > 0,
      });
      return;
    }
    this.#requestCount += 1;
    const exchange = new Exchange(services, {
      id: `${this.#options.idPrefix}-${
        this.#requestCount.toString(36)
      }` as RequestId,
      req,
      res,
      head,
      route: match.route,
      revision: view.revision,
      now: performance.now(),
    });
    this.#openRequests += 1;
    this.#scheduleTick();
    res.exchange = exchange;
    res.on("close", onClose);
    exchange.start();
    if (exchange.isReceiving) {
      this.#receiving.add(exchange);
    }
  }

  #refuse(res: ServerResponse, refusal: Refusal): void {
    sendRefusal(res, refusal);
  }

  #sweep(now: number): void {
    const { bodyIdleTimeoutMs } = this.#options.settings.limits;
    for (const exchange of this.#receiving) {
      if (!exchange.isReceiving) {
        this.#receiving.delete(exchange);
        continue;
      }
      if (now - exchange.lastByteAt > bodyIdleTimeoutMs) {
        this.#receiving.delete(exchange);
        this.#countRefusedInput("slow-sender");
        exchange.handleSlowSender();
      }
    }
  }

  #countRefusedInput(reason: string): void {
    this.#options.metrics.refusedInput.inc({ listener: "caller", reason });
  }

  /** Handles input that did not become a request: too large, too slow, or not HTTP. */
  #clientError(err: Error & { code?: string }, socket: Socket): void {
    const [status, reason] = describeInputError(err.code);
    this.#countRefusedInput(reason);
    if (!socket.writable || socket.bytesWritten > 0) {
      // Part of a response may already be sent; a second one must not follow it.
      socket.destroy();
      return;
    }
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\npoplarthread-outcome: not-run\r\n\r\n`,
    );
  }
}

function onClose(this: CallerResponse): void {
  this.exchange?.callerClosed();
}

function describeInputError(
  code: string | undefined,
): readonly [string, string] {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return ["431 Request Header Fields Too Large", "header-too-large"];
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return ["408 Request Timeout", "slow-header"];
    case "ECONNRESET":
    case "EPIPE":
      return ["400 Bad Request", "reset"];
    default:
      return ["400 Bad Request", "malformed"];
  }
}
