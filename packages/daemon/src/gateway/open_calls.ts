/**
 * The calls for changes of one subject that are under way.
 *
 * @module
 */

import type { Arrival, ExchangeEnd } from "../json_exchange.ts";
import type { Member } from "./ports.ts";
import type { EndedCall } from "./subject_listener.ts";

/** A response that arrives for longer is long: its rate shows by then. */
export const LONG_ARRIVAL_MS = 200;
/** The size of the store's last response with more bytes is what the next long one is taken to have. */
const MIN_USUAL_BYTES = 65_536;

/** How a response arrives that has been arriving for long. */
export interface LongArrival {
  /** Since when, in milliseconds. */
  readonly forMs: number;
  /** Until when at the rate so far; undefined if its length isn't known. */
  readonly leftMs: number | undefined;
}

/** What happens to calls. */
export interface CallListener {
  /** The response of a call has been arriving for long. */
  arrivingLong(): void;
  /** A request has ended. */
  ended(call: EndedCall): void;
}

/** A call for changes, of the store or of a relay. Its request may be sent twice. */
export class OpenCall {
  /** The VM that is called; undefined for the store. */
  readonly relay: Member | undefined;
  readonly startedAt = performance.now();
  readonly #listener: CallListener;
  readonly #usualBytes: number | undefined;
  #arrival: (() => Arrival) | undefined;
  #ended: EndedCall | undefined;
  #longTimer: NodeJS.Timeout | undefined;
  #isLong = false;

  /** `usualBytes`: length of a response that doesn't name it. */
  constructor(
    relay: Member | undefined,
    { listener, usualBytes }: {
      readonly listener: CallListener;
      readonly usualBytes: number | undefined;
    },
  ) {
    this.relay = relay;
    this.#listener = listener;
    this.#usualBytes = usualBytes;
  }

  /** Whether its response is arriving. */
  get isArriving(): boolean {
    return this.#arrival !== undefined;
  }

  /** Since when its response has been arriving; undefined if it doesn't. */
  get arrivingSince(): number | undefined {
    const arrival = this.#arrival?.();
    return arrival && performance.now() - arrival.forMs;
  }

  /** How its response arrives; undefined if it has not been arriving for long. */
  get longArrival(): LongArrival | undefined {
    const arrival = this.#arrival?.();
    if (arrival === undefined || !this.#isLong) {
      return undefined;
    }
    const { forMs, bytes, totalBytes = this.#usualBytes ?? 0 } = arrival;
    const leftMs = bytes < totalBytes
      ? forMs * (totalBytes / bytes - 1)
      : undefined;
    return { forMs, leftMs };
  }

  /** How its last request ended; undefined if none has. */
  get ended(): EndedCall | undefined {
    return this.#ended;
  }

  /** For how long the response of its last request arrived; 0 if none did. */
  get arrivedMs(): number {
    return this.#ended?.end.arrivingMs ?? 0;
  }

  /** The response begins to arrive. */
  readonly begun = (arrival: () => Arrival): void => {
    this.#arrival = arrival;
    this.#longTimer = setTimeout(() => {
      this.#isLong = true;
      this.#listener.arrivingLong();
    }, LONG_ARRIVAL_MS);
  };

  /** A request has ended. */
  readonly requestEnded = (end: ExchangeEnd): void => {
    clearTimeout(this.#longTimer);
    this.#isLong = false;
    this.#arrival = undefined;
    this.#ended = { end, relay: this.relay };
    this.#listener.ended(this.#ended);
  };
}

/** See the module comment. */
export class OpenCalls {
  readonly #calls = new Set<OpenCall>();
  readonly #listener: CallListener;
  /** Length of the store's last large response. */
  #usualBytes: number | undefined;

  constructor(listener: CallListener) {
    this.#listener = {
      arrivingLong: () => listener.arrivingLong(),
      ended: (call) => {
        const { kind, bytes } = call.end;
        if (
          call.relay === undefined && kind === "read" &&
          bytes >= MIN_USUAL_BYTES
        ) {
          this.#usualBytes = bytes;
        }
        listener.ended(call);
      },
    };
  }

  /** Whether a response is arriving. */
  get isArriving(): boolean {
    return [...this.#calls].some((call) => call.isArriving);
  }

  /** How the response arrives that ends first; undefined if none has been arriving for long. */
  get longArrival(): LongArrival | undefined {
    return [...this.#calls]
      .flatMap(({ longArrival }) => longArrival ?? [])
      .toSorted((a, b) => (a.leftMs ?? Infinity) - (b.leftMs ?? Infinity))[0];
  }

  /** Makes a call; it is open until `send` settles. */
  async make<T>(
    relay: Member | undefined,
    send: (call: OpenCall) => Promise<T>,
  ): Promise<T> {
    const usualBytes = relay === undefined ? this.#usualBytes : undefined;
    const call = new OpenCall(relay, {
      listener: this.#listener,
      usualBytes,
    });
    this.#calls.add(call);
    try {
      return await send(call);
    } finally {
      this.#calls.delete(call);
    }
  }
}
