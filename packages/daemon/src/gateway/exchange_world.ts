/**
 * A world of one exchange, for tests: a caller's connection, a steering that
 * does as it is told, and targets whose events the test plays one by one.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { ServiceId, TargetId } from "@poplarthread/ids";
import type { PlacementDecision, Steering } from "@poplarthread/placement";
import {
  type AdmissionRefusal,
  type AdmittedCaller,
  anonymous,
} from "./accounts/admission.ts";
import { DeadlineWheel } from "../http/deadline_wheel.ts";
import type { Log, LogFields } from "../log.ts";
import type { Route } from "./configuration.ts";
import type { Connection, Connections } from "./connections.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import { EventLog } from "./events.ts";
import { GatewayExchange, type GatewayExchangeEnd } from "./exchange.ts";
import type { Dialect, TargetAnswer } from "./ports.ts";
import { RequestQueue } from "./request_queue.ts";
import type { TargetDirectory } from "./target_directory.ts";

const SERVICE = "portal" as ServiceId;
const REQUEST_ID = "r-1";
/** Time that the route gives a request, in milliseconds. */
const TIMEOUT_MS = 1_000;

/** What a target's answer says. */
export interface PlayedAnswer {
  readonly status: number;
  readonly notRun?: boolean;
  /** Neither a length nor chunks: its connection's end is its own. */
  readonly isUnframed?: boolean;
}

/** One sending of the request, as its target sees it. */
export class PlayedSending {
  readonly #handler: Dispatcher.DispatchHandler;
  isWritten = false;
  isCut = false;
  isOver = false;

  constructor(handler: Dispatcher.DispatchHandler) {
    this.#handler = handler;
  }

  /** Neither answered nor broken off. */
  get isOpen(): boolean {
    return !this.isOver && !this.isCut;
  }

  /** undici writes the request. */
  write(): void {
    try {
      this.#handler.onConnect!(() => this.isCut = true);
      this.isWritten = true;
    } catch {
      // undici takes what its handler throws here for a request that is not wanted.
      this.fail();
    }
  }

  /** A whole answer of `bytes` comes. */
  answer(answer: PlayedAnswer, bytes = 4): void {
    const raw = [Buffer.from(JSON.stringify(answer))];
    this.#handler.onHeaders!(answer.status, raw, () => undefined, "");
    this.#handler.onData!(Buffer.alloc(bytes));
    if (!this.isCut) {
      this.isOver = true;
      this.#handler.onComplete!([]);
    }
  }

  /** Answers begin, and nothing more comes. */
  begin(bytes: number): void {
    const raw = [Buffer.from(JSON.stringify({ status: 200 }))];
    this.#handler.onHeaders!(200, raw, () => undefined, "");
    this.#handler.onData!(Buffer.alloc(bytes));
  }

  /** Its connection breaks off. */
  fail(): void {
    this.isOver = true;
    this.#handler.onError!(new Error("other side closed"));
  }
}

/** What the test sets. */
export interface ExchangeWorldOptions {
  readonly repeat: Route["repeat"];
  /** The caller sent further requests on its connection, which wait for their answers. */
  readonly isPipelined?: boolean;
}

/** See the module's comment. */
export class ExchangeWorld {
  readonly exchange: GatewayExchange;
  /** Sendings in their order. */
  readonly sendings: PlayedSending[] = [];
  readonly ends: GatewayExchangeEnd[] = [];
  /** Events of the log, by name. */
  readonly logged: string[] = [];
  /** Statuses that the caller got; more than one is a fault. */
  readonly statuses: number[] = [];
  /** Whether the caller's connection was cut. */
  isCut = false;
  /** What the steering decides next. */
  decision: PlacementDecision["kind"] = "send";
  /** Why the caller may not have the request run any more. */
  refusal: AdmissionRefusal | undefined;
  /** Tells that the request was counted for its account; undefined until it asks. */
  counted: Parameters<AdmittedCaller["count"]>[0] | undefined;
  /** How often it was taken back that the request was counted. */
  uncounted = 0;
  /** Thrown by the steering instead of a decision. */
  fault: Error | undefined;
  readonly #wheel = new DeadlineWheel(performance.now());
  readonly #queue = new RequestQueue();

  constructor({ repeat, isPipelined = false }: ExchangeWorldOptions) {
    const log = new EventLog(this.#log());
    const route = routeWith(repeat);
    this.exchange = new GatewayExchange({
      dialect: DIALECT,
      wheel: this.#wheel,
      queue: this.#queue,
      steering: this.#steering(),
      connections: this.#connections(),
      targets: {
        get: () => ({ address: "t:1" }),
      } as unknown as TargetDirectory,
      suspects: new CrashSuspects(() => undefined),
      log,
      ended: (_exchange, end) => this.ends.push(end),
      attemptEnded: () => undefined,
      limitNamed: () => undefined,
    }, {
      req: Object.assign(new EventEmitter(), {
        url: "/x",
        method: "GET",
        socket: {},
      }) as unknown as IncomingMessage,
      res: this.#response(),
      request: {
        kind: "request",
        host: "h",
        path: "/x",
        requestId: REQUEST_ID,
        deadlineMs: undefined,
        object: undefined,
        credential: { kind: "none" },
        lines: [],
        contentLength: 0,
        chunked: false,
      },
      route,
      caller: {
        ...anonymous(route),
        recheck: () => this.refusal,
        count: (done) => this.counted = done,
        uncount: () => this.uncounted += 1,
      },
      service: SERVICE,
      bodyBytes: 1_000,
      version: 1,
      now: performance.now(),
      endsConnection: (mustEnd) => mustEnd && !isPipelined,
    });
  }

  /** The newest sending that is neither answered nor broken off. */
  get openSending(): PlayedSending | undefined {
    return this.sendings.findLast(({ isOpen }) => isOpen);
  }

  /** The request is taken in, and counted at once. */
  start(): void {
    this.exchange.start();
    this.counted!(undefined);
  }

  /** Looks which deadlines have passed. */
  checkDeadlines(): void {
    this.#wheel.advance(performance.now());
  }

  /** Waiting requests are looked at. */
  pump(): void {
    this.#queue.pumpAll(performance.now());
  }

  #steering(): Steering {
    const nothing = () => undefined;
    return {
      arrived: nothing,
      sent: nothing,
      written: nothing,
      ended: nothing,
      unreachable: nothing,
      roundTripTo: () => 1,
      spendRetry: () => true,
      place: () => this.#decide(),
    } as unknown as Steering;
  }

  #decide(): PlacementDecision {
    if (this.fault !== undefined) {
      throw this.fault;
    }
    switch (this.decision) {
      case "send":
        return {
          kind: "send",
          target: nextTarget(),
          expectedMs: 1,
          warmth: "unknown",
        };
      case "wait":
        return { kind: "wait" };
      case "refuse":
        return { kind: "refuse", reason: "overload", retryAfterMs: 100 };
    }
  }

  #connections(): Connections {
    const take = (): Partial<Connection> => {
      let sending: PlayedSending | undefined;
      return {
        dispatch: (_req, handler) => {
          sending = new PlayedSending(handler);
          this.sendings.push(sending);
        },
        wasCut: () => false,
        destroy: () => {
          if (sending !== undefined) {
            sending.isCut = true;
          }
        },
      };
    };
    const nothing = () => undefined;
    return { take, giveBack: nothing, drop: nothing } as unknown as Connections;
  }

  /** Refuses a second header, as Node's own does. */
  #response(): ServerResponse {
    const writeHead = (status: number) => {
      if (this.statuses.push(status) > 1) {
        throw new Error("ERR_HTTP_HEADERS_SENT");
      }
    };
    return {
      writeHead,
      write: () => true,
      end: () => undefined,
      once: () => undefined,
      destroy: () => this.isCut = true,
    } as unknown as ServerResponse;
  }

  #log(): Log {
    const write = (event: string, _fields: LogFields) => {
      this.logged.push(event);
    };
    return {
      error: write,
      warn: write,
      info: write,
      debug: write,
    } as unknown as Log;
  }
}

let targets = 0;

function nextTarget(): TargetId {
  targets += 1;
  return `t-${targets}` as TargetId;
}

function routeWith(repeat: Route["repeat"]): Route {
  return {
    name: "r",
    host: "h",
    prefix: "/",
    repeat,
    timeoutMs: TIMEOUT_MS,
    aimMs: 100,
    priority: 0,
    split: [{ service: SERVICE, weight: 1 }],
    maxAttempts: 3,
    hasAffinity: false,
    regions: [],
    isPublic: false,
  };
}

/** Answers are their own description, as JSON in the first header line. */
const DIALECT = {
  attemptLines: () => [],
  readAnswer: (status: number, raw: readonly Uint8Array[]): TargetAnswer => {
    const played = JSON.parse(String(raw[0])) as PlayedAnswer;
    return {
      status,
      lines: [],
      contentLength: played.isUnframed ? -1 : 4,
      isChunked: false,
      requestId: REQUEST_ID,
      isStamped: true,
      notRun: played.notRun ?? false,
      isOtherTarget: false,
      isLeaving: false,
      restMs: 0,
      limitPerSecond: undefined,
      load: undefined,
    };
  },
} as unknown as Dialect;
