/**
 * Metrics of services that have less room than their callers ask for.
 *
 * @module
 */

import type { Registry } from "prom-client";
import type { GateCounts, VmRoom } from "@poplarthread/placement";
import { registerServiceCounter } from "./service_counter.ts";

/** See the module comment. */
export class RoomMetrics {
  #room: Pick<VmRoom, "counts"> | undefined;

  constructor(registry: Registry) {
    this.#counter(registry, {
      name: "poplarthread_gateway_room_requests_total",
      help:
        "Requests on arrival at services that share their room, admitted or by cause of refusal",
      label: "outcome",
      read: ({ admitted, refused }) => ({ admitted, ...refused }),
    });
    this.#counter(registry, {
      name: "poplarthread_gateway_room_refusals_total",
      help: "Requests refused on arrival for lack of room, by priority rank",
      label: "priority",
      read: ({ refusedByPriority }) => Object.fromEntries(refusedByPriority),
    });
    this.#counter(registry, {
      name: "poplarthread_gateway_room_promises_total",
      help:
        "Refused requests that returned in the time that they were told, by whether they found room",
      label: "result",
      read: ({ promisesKept, promisesBroken }) => ({
        kept: promisesKept,
        broken: promisesBroken,
      }),
    });
  }

  /** Shows the counts of `room` from now on. */
  follow(room: Pick<VmRoom, "counts">): void {
    this.#room = room;
  }

  #counter(registry: Registry, { read, ...options }: {
    readonly name: string;
    readonly help: string;
    readonly label: string;
    readonly read: (counts: GateCounts) => Readonly<Record<string, number>>;
  }): void {
    registerServiceCounter(registry, {
      ...options,
      read: () =>
        new Map(
          [...this.#room?.counts() ?? []]
            .map(([service, counts]) => [service, read(counts)]),
        ),
    });
  }
}
