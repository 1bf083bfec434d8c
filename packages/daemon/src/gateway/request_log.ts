/**
 * The request log: one line for each request that has ended.
 *
 * @module
 */

import type { EventLog } from "./events.ts";
import type { GatewayExchange } from "./exchange.ts";
import type { GatewayExchangeEnd } from "./exchange_types.ts";

/**
 * Maximum number of lines per second for requests that were answered on time. A VM
 * answers about 50 per second; at ten times that rate, logging must not become a load
 * of its own. Requests that were refused, failed or late are always logged.
 */
const MAX_ON_TIME_LINES_PER_S = 200;

/** A response that its caller takes in less time is not reported as held. */
const MIN_HELD_MS = 250;

/** Writes the request log of one VM. */
export class RequestLog {
  readonly #log: EventLog;
  #second = 0;
  #onTimeLines = 0;
  #suppressedLines = 0;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Logs the end of a request, unless the line is suppressed. */
  requestEnded(
    exchange: GatewayExchange,
    end: GatewayExchangeEnd,
    { now, newsMs, accountsMs, hasHomes }: {
      now: number;
      newsMs: number;
      accountsMs: number;
      /** Whether the service has homes by load. */
      hasHomes: boolean;
    },
  ): void {
    const isOnTime = end === "answered" && now <= exchange.objectiveAt;
    if (isOnTime && !this.#mayWrite(now)) {
      this.#suppressedLines += 1;
      return;
    }
    const { route, request, summary } = exchange;
    const { lastAttempt: last, placedVia, retryAfterMs, delivery } = summary;
    const { forwardedTo, forwardedFrom } = summary;
    this.#log.write("request ended", {
      request: request.requestId,
      route: route.name,
      revision: exchange.version,
      service: exchange.service,
      object: request.object ?? "",
      end,
      attempts: summary.attempts,
      durationMs: Math.round(now - exchange.startedAt),
      waitedMs: Math.round(summary.waitedMs),
      ...(exchange.account === undefined ? {} : { account: exchange.account }),
      // The age of the data only helps to explain refused, failed or late requests.
      ...(isOnTime ? {} : { newsMs }),
      ...(isOnTime || exchange.account === undefined ? {} : { accountsMs }),
      ...(exchange.refusalCause === undefined
        ? {}
        : { cause: exchange.refusalCause }),
      ...(retryAfterMs === undefined
        ? {}
        : { retryAfterMs: Math.round(retryAfterMs) }),
      ...(delivery.heldMs < MIN_HELD_MS ? {} : {
        heldMs: Math.round(delivery.heldMs),
        heldBytes: delivery.heldBytes,
      }),
      ...(forwardedTo === undefined ? {} : { via: forwardedTo }),
      ...(forwardedFrom === undefined ? {} : { from: forwardedFrom }),
      ...(last === undefined ? {} : {
        target: last.target,
        targetMs: Math.round(last.durationMs),
        targetEnd: last.end,
        ...(hasHomes && placedVia !== undefined
          ? { placement: placedVia }
          : {}),
        ...(last.load === undefined
          ? {}
          : { running: last.load.running, waiting: last.load.waiting }),
      }),
    });
  }

  #mayWrite(now: number): boolean {
    const second = Math.floor(now / 1_000);
    if (second !== this.#second) {
      if (this.#suppressedLines > 0) {
        this.#log.write("lines thinned", { lines: this.#suppressedLines });
      }
      this.#second = second;
      this.#onTimeLines = 0;
      this.#suppressedLines = 0;
    }
    this.#onTimeLines += 1;
    return this.#onTimeLines <= MAX_ON_TIME_LINES_PER_S;
  }
}
