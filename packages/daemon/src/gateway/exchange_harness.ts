/**
 * Test harness for one exchange: a fake caller connection, a fake steering whose
 * decisions the test sets, and fake targets whose events the test triggers.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { ServiceId, TargetId } from "@poplarthread/ids";
import type {
  PlacementDecision,
  PlacementDemand,
  PlacementRefused,
  PlacementRequest,
  Steering,
} from "@poplarthread/placement";
import {
  type AdmissionRefusal,
  type AdmittedCaller,
  anonymousCaller,
} from "./accounts/admission.ts";
import { DeadlineWheel } from "../http/deadline_wheel.ts";
import type { Log, LogFields } from "../log.ts";
import type { Route } from "./configuration.ts";
import type { Connection } from "./connection.ts";
import type { Connections } from "./connections.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import { EventLog } from "./events.ts";
import { GatewayExchange } from "./exchange.ts";
import type { GatewayExchangeEnd } from "./exchange_types.ts";
import { PlannedStop } from "./planned_stop.ts";
import type { Dialect, TargetResponse } from "./ports.ts";
import { RequestQueue } from "./request_queue.ts";
import { ResponseBudget } from "./response_budget.ts";
import type { TargetDirectory } from "./target_directory.ts";

const SERVICE = "portal" as ServiceId;
const REQUEST_ID = "r-1";
/** Timeout of the route. */
const TIMEOUT_MS = 1_000;

/** The response of a fake target. */
export interface FakeResponse {
  readonly status: number;
  readonly notRun?: boolean;
  readonly isOtherTarget?: boolean;
  /** The response has neither a length nor chunks, and ends with its connection. */
  readonly isUnframed?: boolean;
}

/** One attempt, as its target sees it. */
export class FakeAttempt {
  readonly #handler: Dispatcher.DispatchHandler;
  isWritten = false;
  isAborted = false;
  hasEnded = false;

  constructor(handler: Dispatcher.DispatchHandler) {
    this.#handler = handler;
  }

  /** Whether the attempt has neither ended nor been aborted. */
  get isOpen(): boolean {
    return !this.hasEnded && !this.isAborted;
  }

  /** Writes the request, as undici does. */
  write(): void {
    try {
      this.#handler.onConnect!(() => this.isAborted = true);
      this.isWritten = true;
    } catch {
      // undici aborts the request if its handler throws here.
      this.fail();
    }
  }

  /** Sends a complete response with a body of `bytes`. */
  respond(response: FakeResponse, bytes = 4): void {
    this.beginResponse(bytes, response);
    if (!this.isAborted) {
      this.endResponse();
    }
  }

  /** Begins a response with `bytes` of its body, without ending it. */
  beginResponse(bytes: number, response: FakeResponse = { status: 200 }): void {
    const raw = [Buffer.from(JSON.stringify(response))];
    this.#handler.onHeaders!(response.status, raw, () => undefined, "");
    this.#handler.onData!(Buffer.alloc(bytes));
  }

  /** Ends the response that {@link beginResponse} began. */
  endResponse(): void {
    this.hasEnded = true;
    this.#handler.onComplete!([]);
  }

  /** Breaks the connection. */
  fail(): void {
    this.hasEnded = true;
    this.#handler.onError!(new Error("other side closed"));
  }
}

/** Options of a harness. */
export interface ExchangeHarnessOptions {
  readonly repeat: Route["repeat"];
  /** Whether the caller has pipelined further requests on its connection. */
  readonly isPipelined?: boolean;
}

/** One exchange with fakes around it; see the module comment. */
export class ExchangeHarness {
  readonly exchange: GatewayExchange;
  /** Attempts in order. */
  readonly attempts: FakeAttempt[] = [];
  readonly ends: GatewayExchangeEnd[] = [];
  /** Names of the logged events. */
  readonly loggedEvents: string[] = [];
  /** Status codes that the caller received; more than one is a fault. */
  readonly statuses: number[] = [];
  /** Whether the caller's connection was destroyed. */
  isDestroyed = false;
  /** Objects of the requests that were to be placed. */
  readonly admitted: (number | undefined)[] = [];
  /** The next decision of the steering. */
  decision: PlacementDecision["kind"] = "send";
  /** Why the caller is no longer admitted; undefined while it is. */
  refusal: AdmissionRefusal | undefined;
  /** Why the request is refused on arrival; undefined if it isn't. */
  roomRefusal: PlacementRefused | undefined;
  /** Whether a target that refused the request may get it again. */
  mayTryAgain = false;
  /** Whether a retry that was taken is still allowed when it is sent. */
  maySendRetry = true;
  /** Retries that were taken and not sent. */
  releasedRetries = 0;
  /** Targets that must not receive the request, as of its latest placement. */
  tried: ReadonlySet<TargetId> = new Set();
  /** Callback that ends the quota check; undefined until the check is requested. */
  onCounted: Parameters<AdmittedCaller["chargeQuota"]>[0] | undefined;
  /** Ends of attempts as reported to the steering. */
  readonly reportedEnds: string[] = [];
  /** How often the request was uncounted. */
  uncounted = 0;
  /** If set, the steering throws this error instead of making a decision. */
  fault: Error | undefined;
  /** The VM's planned stop, which ends before the request may. */
  readonly plannedStop = new PlannedStop(0);
  /** Whether the caller's connection takes no more bytes for now. */
  isBlocked = false;
  readonly #drainListeners: (() => void)[] = [];
  readonly #wheel = new DeadlineWheel(performance.now());
  readonly #queue = new RequestQueue();
  /** Memory for responses; not bounded unless the test sets it. */
  readonly budget = new ResponseBudget();

  constructor({ repeat, isPipelined = false }: ExchangeHarnessOptions) {
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
        runOf: () => undefined,
      } as unknown as TargetDirectory,
      suspects: new CrashSuspects({ publish: () => undefined }),
      checkRun: () => undefined,
      plannedStop: this.plannedStop,
      budget: this.budget,
      log,
      ended: (_exchange, end) => this.ends.push(end),
      attemptEnded: () => undefined,
      limitReported: () => undefined,
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
        rawHeaders: [],
        contentLength: 0,
        chunked: false,
      },
      route,
      caller: {
        ...anonymousCaller(route),
        recheck: () => this.refusal,
        chargeQuota: (done) => this.onCounted = done,
        refundQuota: () => this.uncounted += 1,
      },
      service: SERVICE,
      bodyBytes: 1_000,
      version: 1,
      era: 1,
      now: performance.now(),
      endsConnection: (mustEnd) => mustEnd && !isPipelined,
    });
  }

  /** The latest attempt that has neither ended nor been aborted. */
  get openAttempt(): FakeAttempt | undefined {
    return this.attempts.findLast(({ isOpen }) => isOpen);
  }

  /** Starts the exchange; the quota check passes at once. */
  start(): void {
    this.exchange.start();
    this.onCounted!(undefined);
  }

  /** Expires passed deadlines. */
  checkDeadlines(): void {
    this.#wheel.advance(performance.now());
  }

  /** Tries to place waiting requests. */
  placeWaiting(): void {
    this.#queue.placeAllWaiting(performance.now());
  }

  /** The caller's connection takes everything that was written. */
  drain(): void {
    this.isBlocked = false;
    this.#drainListeners.splice(0).forEach((listener) => listener());
  }

  #steering(): Steering {
    const noop = () => undefined;
    return {
      arrived: noop,
      admitted: ({ object }: PlacementDemand) => this.admitted.push(object),
      sent: noop,
      written: noop,
      ended: (_target: TargetId, { kind }: { kind: string }) =>
        this.reportedEnds.push(kind),
      markUnreachable: noop,
      roundTripTo: () => 1,
      takeRetry: () => true,
      sendRetry: () => this.maySendRetry,
      releaseRetry: () => this.releasedRetries += 1,
      mayTryAgain: () => this.mayTryAgain,
      losesRequests: () => false,
      checkRoom: () => this.roomRefusal,
      place: ({ tried }: PlacementRequest) => {
        this.tried = new Set(tried);
        return this.#decide();
      },
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
        return { kind: "wait", for: "capacity" };
      case "refuse":
        return { kind: "refuse", reason: "overload", retryAfterMs: 100 };
    }
  }

  #connections(): Connections {
    const take = (): Partial<Connection> => {
      let attempt: FakeAttempt | undefined;
      return {
        dispatch: (_req, handler) => {
          attempt = new FakeAttempt(handler);
          this.attempts.push(attempt);
        },
        wasTruncated: () => false,
        destroy: () => {
          if (attempt !== undefined) {
            attempt.isAborted = true;
          }
        },
      };
    };
    const noop = () => undefined;
    return { take, release: noop, drop: noop } as unknown as Connections;
  }

  /** Throws on a second header, as Node's response does. */
  #response(): ServerResponse {
    const writeHead = (status: number) => {
      if (this.statuses.push(status) > 1) {
        throw new Error("ERR_HTTP_HEADERS_SENT");
      }
    };
    return {
      useChunkedEncodingByDefault: true,
      writeHead,
      write: () => !this.isBlocked,
      end: () => undefined,
      once: (_event: string, listener: () => void) =>
        this.#drainListeners.push(listener),
      destroy: () => this.isDestroyed = true,
    } as unknown as ServerResponse;
  }

  #log(): Log {
    const write = (event: string, _fields: LogFields) => {
      this.loggedEvents.push(event);
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
    latencyObjectiveMs: 100,
    priority: 0,
    split: [{ service: SERVICE, weight: 1 }],
    maxAttempts: 3,
    hasAffinity: false,
    regions: [],
    isPublic: false,
  };
}

/** Reads a {@link FakeResponse} from JSON in the first raw header. */
const DIALECT = {
  attemptHeaders: () => [],
  readResponse: (
    status: number,
    raw: readonly Uint8Array[],
  ): TargetResponse => {
    const fake = JSON.parse(String(raw[0])) as FakeResponse;
    return {
      status,
      rawHeaders: [],
      contentLength: fake.isUnframed ? -1 : 4,
      isChunked: false,
      requestId: REQUEST_ID,
      isStamped: true,
      isNotRun: fake.notRun ?? false,
      isOtherTarget: fake.isOtherTarget ?? false,
      isLeaving: false,
      backOffMs: 0,
      limitPerSecond: undefined,
      load: undefined,
    };
  },
} as unknown as Dialect;
