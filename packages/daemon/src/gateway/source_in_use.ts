/**
 * The call of the source of changes that is in use, and the ways in which it is ended.
 *
 * @module
 */

import { JsonCallError } from "../json_exchange.ts";
import type { LagStep } from "./lag.ts";
import type { OpenCall } from "./open_calls.ts";
import type { Member } from "./ports.ts";

/** A response that will arrive for longer is not waited for. */
const MAX_ARRIVAL_MS = 1_000;

/** Signals that end one call. */
export interface CallSignals {
  /** The call is made anew, unless its response has begun to arrive. */
  readonly signal: AbortSignal;
  /** The relay is asked again on a new connection. */
  readonly repeatSignal: AbortSignal;
  /** Another source was faster. */
  readonly cancelSignal: AbortSignal;
}

/** See the module comment. */
export class SourceInUse {
  #call: OpenCall | undefined;
  #abort = new AbortController();
  #repeat = new AbortController();
  #cancel = new AbortController();

  /** The VM that is called; undefined for the store, and between calls. */
  get relay(): Member | undefined {
    return this.#call?.relay;
  }

  /** The call; undefined between calls. */
  get call(): OpenCall | undefined {
    return this.#call;
  }

  /** Whether another source must be asked at once: a relay's response will arrive for too long. */
  get isHopeless(): boolean {
    const { leftMs } = this.#call?.longArrival ?? {};
    return this.relay !== undefined && leftMs !== undefined &&
      leftMs > MAX_ARRIVAL_MS;
  }

  get signals(): CallSignals {
    return {
      signal: this.#abort.signal,
      repeatSignal: this.#repeat.signal,
      cancelSignal: this.#cancel.signal,
    };
  }

  /** Forgets the call that has ended. */
  ended(): void {
    this.#call = undefined;
    this.#abort = new AbortController();
    this.#repeat = new AbortController();
    this.#cancel = new AbortController();
  }

  /** A call is made. */
  begun(call: OpenCall): void {
    this.#call = call;
  }

  /** Another source was faster. */
  cancel(): void {
    this.#cancel.abort();
  }

  /** Makes the call anew, unless its response has begun to arrive. */
  abort(): void {
    this.#abort.abort();
  }

  /** Doubts the call, which has not brought what peers know. */
  doubt(step: LagStep): void {
    const reason = new JsonCallError("peers know a newer version");
    switch (step) {
      case "wait":
        return;
      case "ask-again":
        this.#repeat.abort(reason);
        return;
      case "start-over":
        this.#abort.abort(reason);
        return;
    }
  }

  /** Ends a call of the store that waits for changes. A relay has its own news of histories. */
  endStoreWait(): void {
    if (this.relay === undefined) {
      this.#abort.abort();
    }
  }

  /** Gives up a call of a VM that has not responded to others. */
  leave(vm: Member["vm"]): void {
    if (this.relay?.vm === vm) {
      this.#abort.abort(
        new JsonCallError("it has not responded to another call"),
      );
    }
  }
}
