/**
 * One line for each request that has its final answer.
 *
 * @module
 */

import type { EventLog } from "./events.ts";
import type { GatewayExchange, GatewayExchangeEnd } from "./exchange.ts";

/**
 * Lines a second for requests that were answered in time. Beyond it they are
 * thinned: a VM answers some 50 a second, and on a day with ten times as many the
 * log must not become the load. What was refused, failed or came late is always
 * logged.
 */
const MOST_GOOD_LINES = 200;

/** See the module's comment. */
export class RequestLog {
  readonly #log: EventLog;
  #second = 0;
  #goodLines = 0;
  #thinned = 0;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Writes the line. */
  ended(
    exchange: GatewayExchange,
    end: GatewayExchangeEnd,
    { now, newsMs, accountsMs }: {
      now: number;
      newsMs: number;
      accountsMs: number;
    },
  ): void {
    const isGood = end === "answered" && now <= exchange.aimAt;
    if (isGood && !this.#mayWrite(now)) {
      this.#thinned += 1;
      return;
    }
    const { route, request, lastAttempt: last } = exchange;
    this.#log.write("request ended", {
      request: request.requestId,
      route: route.name,
      revision: exchange.version,
      service: exchange.service,
      object: request.object ?? "",
      end,
      attempts: exchange.attempts,
      durationMs: Math.round(now - exchange.startedAt),
      waitedMs: Math.round(exchange.waitedMs),
      ...(exchange.account === undefined ? {} : { account: exchange.account }),
      // Of what was answered in time nobody asks why.
      ...(isGood ? {} : { newsMs }),
      ...(isGood || exchange.account === undefined ? {} : { accountsMs }),
      ...(exchange.retryAfterMs === undefined
        ? {}
        : { retryAfterMs: Math.round(exchange.retryAfterMs) }),
      ...(last === undefined ? {} : {
        target: last.target,
        targetMs: Math.round(last.durationMs),
        targetEnd: last.end,
        ...(last.load === undefined
          ? {}
          : { running: last.load.running, waiting: last.load.waiting }),
      }),
    });
  }

  #mayWrite(now: number): boolean {
    const second = Math.floor(now / 1_000);
    if (second !== this.#second) {
      if (this.#thinned > 0) {
        this.#log.write("lines thinned", { lines: this.#thinned });
      }
      this.#second = second;
      this.#goodLines = 0;
      this.#thinned = 0;
    }
    this.#goodLines += 1;
    return this.#goodLines <= MOST_GOOD_LINES;
  }
}
