/**
 * Metrics of reading the platform's changes from its store or from other VMs.
 *
 * @module
 */

import { Counter, type Registry } from "prom-client";
import type { ExchangeEnd } from "../json_exchange.ts";
import type { ChangeSource } from "./platform_feed.ts";

/** See the module comment. */
export class ChangeMetrics {
  readonly #calls: Counter;
  readonly #bytes: Counter;

  constructor(registry: Registry) {
    this.#calls = new Counter({
      name: "poplarthread_gateway_change_calls_total",
      help:
        "Calls for the platform's changes by source, store or relay, and by how they ended: read, given up without a complete response, or too-large, when the response has more bytes than a sound one",
      labelNames: ["source", "end"],
      registers: [registry],
    });
    this.#bytes = new Counter({
      name: "poplarthread_gateway_change_bytes_total",
      help:
        "Bytes of responses to calls for the platform's changes, by source and by how the call ended: those of calls that were given up were read in vain",
      labelNames: ["source", "end"],
      registers: [registry],
    });
  }

  /** Counts a call that has ended. */
  callEnded({ kind: end, bytes }: ExchangeEnd, source: ChangeSource): void {
    this.#calls.inc({ source, end });
    this.#bytes.inc({ source, end }, bytes);
  }
}
