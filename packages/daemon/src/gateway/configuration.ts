/**
 * The routing configuration: which service a request goes to, and within which
 * limits.
 *
 * @module
 */

import type { RegionId, ServiceId } from "@poplarthread/ids";
import type { SplitPart } from "@poplarthread/placement";
import type { ClientAccount } from "./accounts/client_account.ts";

/** Requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  /** Lower-case host name without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly repeat: "idempotent" | "at-most-once";
  /** Longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most to its caller, in milliseconds. */
  readonly aimMs: number;
  /** Rank among requests that wait; 0 goes first. */
  readonly priority: number;
  /** Services in the proportion of their weights; one for a plain route. */
  readonly split: readonly SplitPart[];
  /** Targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether targets are faster on objects that they handled lately. */
  readonly hasAffinity: boolean;
  /** Regions in which requests may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** Requests need no key, also where there are accounts. */
  readonly isPublic: boolean;
}

/** A service that targets offer. */
export interface Service {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnections: number;
  /** How long a target stays cold after its start, in milliseconds. */
  readonly coldMs: number;
  /** Requests a second that a cold target bears. */
  readonly coldPerSecond: number;
}

/** Limits on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingConfiguration {
  /** Grows with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly limits: CallerLimits;
  /** Client accounts; undefined where callers need none. */
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

  /** The route of a request to `host` for `path`, a path without its query. */
  find(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.find(({ prefix }) => path.startsWith(prefix));
  }
}
