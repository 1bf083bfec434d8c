/**
 * Signals that arrive while a process starts. Without a handler they end it at once, so
 * this module, which loads nothing, is the first part of a program to run.
 *
 * @module
 */

/** A signal that a program handles. */
export type HandledSignal = "SIGHUP" | "SIGTERM" | "SIGINT";

/** Where signals come from: the process. */
export interface SignalSource {
  on(signal: HandledSignal, handle: () => void): unknown;
}

/** Keeps the signals that arrive before they have a handler. */
export class EarlySignals implements SignalSource {
  readonly #pending = new Set<HandledSignal>();
  readonly #handlers = new Map<HandledSignal, () => void>();

  /** From now on `signals` no longer end the process. */
  constructor(source: SignalSource, signals: readonly HandledSignal[]) {
    for (const signal of signals) {
      source.on(signal, () => this.#receive(signal));
    }
  }

  /** Whether a signal to stop has arrived that no handler was called for. */
  get isStopPending(): boolean {
    return this.#pending.has("SIGTERM") || this.#pending.has("SIGINT");
  }

  /** Sets the handler of a signal. One that has already arrived is passed to it now, once. */
  on(signal: HandledSignal, handle: () => void): void {
    this.#handlers.set(signal, handle);
    if (this.#pending.delete(signal)) {
      handle();
    }
  }

  #receive(signal: HandledSignal): void {
    const handle = this.#handlers.get(signal);
    if (handle === undefined) {
      this.#pending.add(signal);
      return;
    }
    handle();
  }
}

/** Resolves once the signals that arrived during synchronous work have been received. */
export function pendingSignals(): Promise<void> {
  // The event loop polls between two immediates, but not always before the first one.
  return new Promise((resolve) =>
    setImmediate(() => setImmediate(() => resolve()))
  );
}

/** Log line of a process that was told to stop before it had opened a listener. */
export const STOPPED_EARLY_LINE: string = JSON.stringify({
  level: "info",
  message: "stopped before the start",
});
