/**
 * The callers' listener: takes connections within limits, answers look-ups and
 * makes an exchange of each other request.
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

/** What is in force, as far as callers' requests need it. */
export interface RoutingView {
  readonly revision: number;
  readonly routes: RouteTable;
}

/** Construction of the listener. */
export interface CallerListenerOptions {
  readonly settings: Settings;
  /** First part of request ids; unique to this life of the daemon. */
  readonly idPrefix: string;
  readonly lookups: Lookups;
  readonly metrics: Metrics;
  readonly services: ExchangeServices;
  /** Undefined while nothing is in force. */
  readonly routing: () => RoutingView | undefined;
  /** Called once a tick, after deadlines. */
  readonly onTick: (now: number) => void;
}

/** What the listener is told. */
export type CallerListenerMessage =
  | { readonly kind: "tick" }
  /** The same while nothing is in flight. */
  | { readonly kind: "idle-tick" }
  /** Looks for callers that have stopped sending. */
  | { readonly kind: "sweep" }
  /** Each answer ends its connection from now on. */
  | { readonly kind: "end-kept" }
  /** Takes no new connections; answers what it has and closes. */
  | { readonly kind: "drain" };

/** How often slow senders are looked for: a tenth of their shortest allowance. */
const SWEEP_MS = 500;
/** Decisions that wait for time without a request, as loans that run out, bear this delay. */
const IDLE_TICK_MS = 100;
/** Idle connections are closed after this long; undici callers keep them for 4 s. */
const KEEP_ALIVE_MS = 5_000;
const RETRY_NOT_READY_MS = 1_000;

/** An answer that knows its exchange, so that one handler serves all. */
class CallerResponse extends ServerResponse<IncomingMessage> {
  exchange: Exchange | undefined;
}

type CallerServer = Server<typeof IncomingMessage, typeof CallerResponse>;

/** Owns the callers' connections. */
export class CallerListener extends Task<CallerListenerMessage> {
  readonly #options: CallerListenerOptions;
  readonly #headOptions: HeadOptions;
  readonly #receiving = new Set<Exchange>();
  #server: CallerServer | undefined;
  #open = 0;
  #requests = 0;
  #ticking = false;
  #draining = false;
  #whenEmpty: (() => void)[] = [];

  constructor(options: CallerListenerOptions) {
    super("caller-listener");
    this.#options = options;
    this.#headOptions = {
      vm: options.settings.vm,
      callerHeader: options.settings.callerHeader,
    };
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#open;
  }

  /** Port that it listens on. */
  get port(): number {
    const address = this.#server?.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Settles when no request is without its final answer. */
  empty(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#open === 0) {
        resolve();
        return;
      }
      this.#whenEmpty.push(resolve);
    });
  }

  /** To be called when an exchange has given its final answer. */
  exchangeEnded(): void {
    this.#open -= 1;
    if (this.#open === 0) {
      this.#whenEmpty.splice(0).forEach((wake) => wake());
    }
  }

  protected override async open(): Promise<void> {
    this.#draining = false;
    const server = this.#createServer();
    this.#server = server;
    const { host, port } = this.#options.settings.listen.caller;
    await listen(server, { host, port }, (err) => this.fail(err));
    this.#ticking = false;
    this.sendEvery(IDLE_TICK_MS, { kind: "idle-tick" });
    this.sendEvery(SWEEP_MS, { kind: "sweep" });
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

  /** Ticks on while requests are in flight; waking up for none costs more than all else. */
  #tick(): void {
    const now = performance.now();
    this.#options.services.wheel.advance(now);
    this.#options.onTick(now);
    this.#tickOn();
  }

  #tickOn(): void {
    if (this.#open > 0 && !this.#ticking) {
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
      // Bodies are bounded by idle time and by the deadline instead.
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(1_000, limits.headerTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_MS,
      requireHostHeader: true,
      insecureHTTPParser: false,
      noDelay: true,
    }, (req, res) => this.#serve(req, res));
    server.maxConnections = limits.connections;
    server.on("drop", () => this.#refusedInput("connections"));
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
    this.#steer(req, res);
  }

  #lookUp(res: CallerResponse, zone: string | undefined): void {
    const page = this.#options.lookups.page(zone);
    if (page === undefined) {
      this.#refuse(res, {
        reason: "not-ready",
        message: "no configuration is in force here yet",
        outcome: "not-run",
        retryAfterMs: RETRY_NOT_READY_MS,
      });
      return;
    }
    this.#options.metrics.lookups += 1;
    res.writeHead(200, page.lines as string[]);
    res.end(page.body, "latin1");
  }

  #steer(req: IncomingMessage, res: CallerResponse): void {
    const { routing, services } = this.#options;
    const head = readHead(req, this.#headOptions);
    if (head.kind === "bad-request") {
      this.#refusedInput("bad-request");
      this.#refuse(res, {
        reason: head.status === 508 ? "loop" : "bad-request",
        message: head.reason,
        outcome: "not-run",
        closes: true,
      });
      return;
    }
    const outcome = "not-run";
    // Without a route nobody can tell what an earlier sending of a key came to.
    const earlierUnknown = head.key !== undefined;
    const view = routing();
    if (view === undefined) {
      this.#refuse(res, {
        reason: "not-ready",
        message: "no configuration is in force here yet",
        outcome,
        earlierUnknown,
        retryAfterMs: RETRY_NOT_READY_MS,
        closes: true,
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
          : "no route takes this method and path",
        outcome,
        earlierUnknown,
        closes: head.chunked || head.contentLength > 0,
      });
      return;
    }
    this.#requests += 1;
    const exchange = new Exchange(services, {
      id: `${this.#options.idPrefix}-${
        this.#requests.toString(36)
      }` as RequestId,
      req,
      res,
      head,
      route: match.route,
      revision: view.revision,
      now: performance.now(),
    });
    this.#open += 1;
    this.#tickOn();
    res.exchange = exchange;
    res.on("close", onClose);
    exchange.start();
    if (exchange.receiving) {
      this.#receiving.add(exchange);
    }
  }

  #refuse(res: ServerResponse, refusal: Refusal): void {
    sendRefusal(res, refusal);
  }

  #sweep(now: number): void {
    const { bodyIdleTimeoutMs } = this.#options.settings.limits;
    for (const exchange of this.#receiving) {
      if (!exchange.receiving) {
        this.#receiving.delete(exchange);
        continue;
      }
      if (now - exchange.lastByteAt > bodyIdleTimeoutMs) {
        this.#receiving.delete(exchange);
        this.#refusedInput("slow-sender");
        exchange.senderIsSlow();
      }
    }
  }

  #refusedInput(reason: string): void {
    this.#options.metrics.refusedInput.inc({ listener: "caller", reason });
  }

  /** Input that never became a request: too large, too slow, or not HTTP. */
  #clientError(err: Error & { code?: string }, socket: Socket): void {
    const [status, reason] = describeInput(err.code);
    this.#refusedInput(reason);
    if (!socket.writable || socket.bytesWritten > 0) {
      // Part of an answer may be out already; a second one must not follow it.
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

function describeInput(code: string | undefined): readonly [string, string] {
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
