/**
 * Which requests have no time to establish a connection first.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import type { Route } from "../configuration.ts";

/** Part of a latency objective that a request on a new connection may take up; the rest allows for waits and for work above the median. */
const MAX_OBJECTIVE_SHARE = 0.8;

/** See the module comment. */
export class ConnectTimes {
  readonly #warmMs: (kind: string) => number;
  #routes: readonly Route[] = [];

  /** `warmMs` is the time that a request of a kind takes on a warm target. */
  constructor(warmMs: (kind: string) => number) {
    this.#warmMs = warmMs;
  }

  /** Sets the routes of a configuration that came into force. */
  setRoutes(routes: readonly Route[]): void {
    this.#routes = routes;
  }

  /** Whether requests to a service miss their objective if they first connect to a target at this distance. */
  exceedsObjective(service: ServiceId, roundTripMs: number): boolean {
    return this.#routes.some(({ name, latencyObjectiveMs, split }) =>
      split.some((part) => part.service === service && part.weight > 0) &&
      2 * roundTripMs + this.#warmMs(name) >
        MAX_OBJECTIVE_SHARE * latencyObjectiveMs
    );
  }
}
