/**
 * Keeps the operator's listener up under supervision.
 *
 * @module
 */

import { messageOf } from "./errors.ts";
import {
  type OperatorListener,
  type OperatorListenerOptions,
  startOperatorListener,
} from "./operator/mod.ts";
import type {
  OperatorBackend,
  ProbeAnswer,
  ProbeHandlers,
} from "./operator_backend.ts";
import type { Metrics } from "./metrics.ts";
import { type Message, Task } from "./task.ts";

/** Construction of the task. */
export interface OperatorTaskOptions {
  readonly backend: OperatorBackend;
  readonly probes: ProbeHandlers;
  readonly listener: OperatorListenerOptions;
}

/** Owns the operator's listener. */
export class OperatorTask extends Task<Message> {
  readonly #options: OperatorTaskOptions;
  #listener: OperatorListener | undefined;

  constructor(options: OperatorTaskOptions) {
    super("operator-listener");
    this.#options = options;
  }

  /** Port that it listens on. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  protected override async open(): Promise<void> {
    const { backend, probes, listener } = this.#options;
    this.#listener = await startOperatorListener(backend, probes, listener);
  }

  protected override receive(): void {}

  protected override async close(): Promise<void> {
    const listener = this.#listener;
    this.#listener = undefined;
    await listener?.close();
  }
}

/** What the probes rest on. */
export interface ProbeSources {
  readonly metrics: Metrics;
  readonly beforeScrape: () => void;
  /** Why the VM is not ready; undefined where it is. */
  readonly notReady: () => string | undefined;
}

/** Makes the probes. */
export function createProbes(sources: ProbeSources): ProbeHandlers {
  return {
    health: () => text(200, "ok\n"),
    ready: () => {
      const why = sources.notReady();
      return why === undefined ? text(200, "ready\n") : text(503, `${why}\n`);
    },
    metrics: async () => {
      const { registry } = sources.metrics;
      try {
        sources.beforeScrape();
        const body = await registry.metrics();
        return { status: 200, contentType: registry.contentType, body };
      } catch (err) {
        return text(500, `${messageOf(err)}\n`);
      }
    },
  };
}

function text(status: number, body: string): ProbeAnswer {
  return { status, contentType: "text/plain; charset=utf-8", body };
}
