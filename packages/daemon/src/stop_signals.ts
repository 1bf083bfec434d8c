/**
 * The signals that tell the process to stop.
 *
 * @module
 */

/** Platforms and process managers send the one or the other, some of them several times. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** The process, as far as its stop is concerned. */
export interface StoppableProcess {
  on(signal: (typeof STOP_SIGNALS)[number], handle: () => void): unknown;
}

/** What runs in the process. */
export interface Stoppable {
  /** Graceful shutdown; resolves when it is complete. */
  stop(): Promise<void>;
}

/** Options of {@link StopSignals}. */
export interface StopSignalsOptions {
  readonly process: StoppableProcess;
  /** Called once everything has stopped. */
  stopped(): void;
  /** Called if it could not stop in order. */
  failed(err: unknown): void;
}

/** Stops what runs on the first signal, also on one that arrives while it starts. */
export class StopSignals {
  readonly #options: StopSignalsOptions;
  #running: Stoppable | undefined;
  #isReceived = false;
  #isStopping = false;

  /** Handles signals from now on; without a handler they end the process at once. */
  constructor(options: StopSignalsOptions) {
    this.#options = options;
    for (const signal of STOP_SIGNALS) {
      options.process.on(signal, () => {
        this.#isReceived = true;
        this.#stop();
      });
    }
  }

  /** It has started. */
  started(running: Stoppable): void {
    this.#running = running;
    this.#stop();
  }

  #stop(): void {
    if (
      this.#running === undefined || !this.#isReceived || this.#isStopping
    ) {
      return;
    }
    this.#isStopping = true;
    const { stopped, failed } = this.#options;
    this.#running.stop().then(stopped, failed);
  }
}
