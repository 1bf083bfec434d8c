/**
 * Ends the process when it cannot go on, with the reason in the log.
 *
 * @module
 */

import { messageOf } from "./errors.ts";

/** Exit code of a process that cannot go on. */
export const EXIT_FAILED = 1;
/** Longest text of a stack in the log. */
const MAX_STACK_CHARS = 2_000;

/** What led to the end: an error that nobody handled, by how it was raised, or one that was reported. */
export type EndOrigin = "uncaughtException" | "unhandledRejection" | "reported";

/** Why the process ends. */
export interface EndReport {
  readonly reason: string;
  readonly origin: EndOrigin;
  /** The beginning of the error's stack; left out if it has none. */
  readonly stack?: string;
}

/** The process, as far as its end is concerned. */
export interface EndableProcess {
  on(
    event: "uncaughtException",
    handle: (err: unknown, origin: EndOrigin) => void,
  ): unknown;
  exit(code: number): unknown;
}

/** What runs in the process. */
interface Running {
  stop(): Promise<void>;
}

/** Options of {@link ProcessEnd}. */
export interface ProcessEndOptions {
  readonly process: EndableProcess;
  /** Writes the report. If it is the last line of the process, it must be written when this returns. */
  report(report: EndReport, options: { readonly isLast: boolean }): void;
}

/** See the module comment. */
export class ProcessEnd {
  readonly #options: ProcessEndOptions;

  /** Handles errors that nobody else handles from now on. */
  constructor(options: ProcessEndOptions) {
    this.#options = options;
    options.process.on(
      "uncaughtException",
      (err, origin) => this.#end(err, origin),
    );
  }

  /** Ends the process at once: what runs may be in an unknown state. */
  failed(err: unknown): void {
    this.#end(err, "reported");
  }

  /** Ends the process once `running` has stopped. */
  failedInOrder(err: unknown, running: Running): void {
    try {
      this.#options.report(reportOf(err, "reported"), { isLast: false });
    } finally {
      const exit = () => this.#exit();
      running.stop().then(exit, exit);
    }
  }

  #end(err: unknown, origin: EndOrigin): void {
    try {
      this.#options.report(reportOf(err, origin), { isLast: true });
    } finally {
      this.#exit();
    }
  }

  #exit(): void {
    this.#options.process.exit(EXIT_FAILED);
  }
}

function reportOf(err: unknown, origin: EndOrigin): EndReport {
  const stack = err instanceof Error ? err.stack : undefined;
  return {
    reason: messageOf(err),
    origin,
    ...(stack === undefined ? {} : { stack: stack.slice(0, MAX_STACK_CHARS) }),
  };
}
