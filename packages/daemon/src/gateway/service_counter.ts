/**
 * Counters by service that are kept elsewhere and read at each scrape.
 *
 * @module
 */

import { Counter, type Registry } from "prom-client";
import type { ServiceId } from "@poplarthread/ids";

/** Options of {@link registerServiceCounter}. */
export interface ServiceCounterOptions {
  readonly name: string;
  readonly help: string;
  /** The label besides `service`. */
  readonly label: string;
  /** The counts of each service, by value of the label. */
  read(): ReadonlyMap<ServiceId, Readonly<Record<string, number>>>;
}

/** Adds a counter to the registry. */
export function registerServiceCounter(
  registry: Registry,
  { name, help, label, read }: ServiceCounterOptions,
): void {
  new Counter({
    name,
    help,
    labelNames: ["service", label],
    registers: [registry],
    collect() {
      this.reset();
      for (const [service, counts] of read()) {
        for (const [value, count] of Object.entries(counts)) {
          this.inc({ service, [label]: value }, count);
        }
      }
    },
  });
}
