/**
 * The routing configuration: routes of requests to services, with their limits.
 *
 * @module
 */

import type { RegionId, ServiceId } from "@poplarthread/ids";
import type { SplitPart } from "@poplarthread/placement";
import type { ClientAccount } from "./accounts/client_account.ts";

/** Route of the requests with one host and path prefix. */
export interface Route {
  readonly name: string;
  /** Lower-case host name without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once ("idempotent"). */
  readonly repeat: "idempotent" | "at-most-once";
  /** Longest time until the final response. */
  readonly timeoutMs: number;
  /** Latency objective: responses within this time are worth most to the caller. */
  readonly latencyObjectiveMs: number;
  /** Priority among waiting requests; 0 goes first. */
  readonly priority: number;
  /** Services that share the requests by weight; a single one without a traffic split. */
  readonly split: readonly SplitPart[];
  /** Most targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether targets are faster on objects that they have handled recently. */
  readonly hasAffinity: boolean;
  /** Regions in which requests may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** Requests need no key even if accounts are configured. */
  readonly isPublic: boolean;
}

/** A service that targets offer. */
export interface Service {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnections: number;
  /** How long a target is cold after its start. */
  readonly coldMs: number;
  /** Requests a second that a cold target can handle. */
  readonly coldPerSecond: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may be idle. */
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingConfiguration {
  /** Grows with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly limits: CallerLimits;
  /** Client accounts; undefined if callers need none. */
  readonly accounts: readonly ClientAccount[] | undefined;
}

/** Finds routes by host and longest prefix. */
export class RouteIndex {
  readonly #hosts = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const list = this.#hosts.get(route.host);
      if (list === undefined) {
        this.#hosts.set(route.host, [route]);
      } else {
        list.push(route);
      }
    }
    for (const list of this.#hosts.values()) {
      list.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** The route of a request to `host` for `path`, which has no query. */
  find(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.find(({ prefix }) => path.startsWith(prefix));
  }
}
