/**
 * Runs the operators' listener as a supervised task.
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
  ProbeHandlers,
  ProbeResponse,
} from "./operator_backend.ts";
import type { Metrics } from "./metrics.ts";
import { type Message, Task } from "./task.ts";

/** Options of {@link OperatorTask}. */
export interface OperatorTaskOptions {
  readonly backend: OperatorBackend;
  readonly probes: ProbeHandlers;
  readonly listener: OperatorListenerOptions;
}

/** Owns the operators' listener. */
export class OperatorTask extends Task<Message> {
  readonly #options: OperatorTaskOptions;
  #listener: OperatorListener | undefined;

  constructor(options: OperatorTaskOptions) {
    super("operator-listener");
    this.#options = options;
  }

  /** Port of the listener; 0 while it is closed. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  protected override async open(): Promise<void> {
    const { backend, probes, listener } = this.#options;
    this.#listener = await startOperatorListener(backend, probes, {
      ...listener,
      onError: (err) => this.fail(err),
    });
  }

  protected override receive(): void {}

  protected override async close(): Promise<void> {
    const listener = this.#listener;
    this.#listener = undefined;
    await listener?.close();
  }
}

/** Sources of the probe responses. */
export interface ProbeSources {
  readonly metrics: Metrics;
  readonly beforeScrape: () => void;
  /** Why the VM is not ready; undefined if it is ready. */
  readonly notReady: () => string | undefined;
}

/** Creates the handlers of the probes. */
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

function text(status: number, body: string): ProbeResponse {
  return { status, contentType: "text/plain; charset=utf-8", body };
}
