/**
 * Metrics of homes by load: what this VM has assigned as an owner, and what it has
 * received of others.
 *
 * @module
 */

import { Counter, Gauge, type Registry } from "prom-client";
import type {
  HomeAgent,
  HomeCounts,
  HomeMessage,
} from "@poplarthread/placement";

/** What an owner does with homes. */
const CHANGES = [
  "assigned",
  "added",
  "moved",
  "dropped",
] as const satisfies readonly (keyof HomeCounts)[];

/** See the module comment. */
export class HomeMetrics {
  readonly #received: Counter;
  #agent: Pick<HomeAgent, "counts" | "owned"> | undefined;

  constructor(registry: Registry) {
    const registers = [registry];
    const agent = () => this.#agent;
    new Gauge({
      name: "poplarthread_gateway_owned_homes",
      help:
        "Homes of a service's objects that this VM has assigned as an owner",
      labelNames: ["service"],
      registers,
      collect() {
        this.reset();
        for (const owned of agent()?.owned() ?? []) {
          this.set({ service: owned.service }, owned.homes);
        }
      },
    });
    new Counter({
      name: "poplarthread_gateway_home_changes_total",
      help:
        "Homes that this VM as an owner has assigned, added, moved, dropped",
      labelNames: ["change"],
      registers,
      collect() {
        const counts = agent()?.counts;
        this.reset();
        CHANGES.forEach((change) =>
          this.inc({ change }, counts?.[change] ?? 0)
        );
      },
    });
    new Counter({
      name: "poplarthread_gateway_home_queries_unanswered_total",
      help: "Queries for homes that got no answer in time",
      registers,
      collect() {
        this.reset();
        this.inc(agent()?.counts.unanswered ?? 0);
      },
    });
    this.#received = new Counter({
      name: "poplarthread_gateway_home_messages_total",
      help: "Messages about homes received from other VMs, by kind",
      labelNames: ["kind"],
      registers,
    });
  }

  /** Shows the counts of an agent from now on. */
  follow(agent: Pick<HomeAgent, "counts" | "owned">): void {
    this.#agent = agent;
  }

  /** Counts a message received from another VM. */
  received(kind: HomeMessage["kind"]): void {
    this.#received.inc({ kind });
  }
}
