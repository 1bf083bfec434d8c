/**
 * HTTP client of one server that sends and receives JSON.
 *
 * @module
 */

import { Agent } from "node:http";
import {
  type Arrival,
  type ExchangeEnd,
  JsonCallError,
  JsonExchange,
  type JsonRequest,
  type JsonResponse,
  NoResponseError,
} from "./json_exchange.ts";

/** Another call has found that connections are silent, maybe also the one of this call. */
class DoubtedConnectionError extends JsonCallError {
  constructor() {
    super("The connection may be silent");
  }
}

/** The call was aborted before its response had begun to arrive. */
class AbortedCallError extends JsonCallError {}

/** The call is no longer needed. */
class CancelledCallError extends JsonCallError {
  constructor() {
    super("Another source was faster");
  }
}

/** A call. Its request may be sent twice. */
export interface JsonCall extends JsonRequest {
  readonly method: "GET" | "POST";
  /**
   * What is sent if there is no response: best what gets a response soon, so that a lost
   * server is noticed soon. The same request if left out.
   */
  readonly repeat?: JsonRequest;
  /** Ends the call, unless its response has begun to arrive. */
  readonly signal?: AbortSignal;
  /** Ends the call in any case. */
  readonly cancelSignal?: AbortSignal;
  /** Sends the request again on a new connection at once, unless its response has begun to arrive. */
  readonly repeatSignal?: AbortSignal;
  /** Called when the response begins to arrive. */
  begun?(arrival: () => Arrival): void;
  /** Called when a request of the call has ended. */
  ended?(end: ExchangeEnd): void;
}

/** Options of a {@link JsonClient}. */
export interface JsonClientOptions {
  readonly host: string;
  readonly port: number;
  /** Called when the server responded on a new connection, but not on an earlier one. */
  onSilentConnections(): void;
}

/**
 * Open connections may fall silent without a reset, all at once, while new ones work. So
 * a call without a response says little of the server: no connection that was idle
 * meanwhile is used again, and the call is repeated once on a new one.
 */
export class JsonClient {
  readonly #options: JsonClientOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #pending = new Set<JsonExchange>();
  /** It has responded, and to each repeated call since. Only then are calls repeated. */
  #isServerUp = false;

  constructor(options: JsonClientOptions) {
    this.#options = options;
  }

  /** Resolves with the response; rejects if there is none, or if a status of 200 comes without JSON. */
  async call(call: JsonCall): Promise<JsonResponse> {
    try {
      return await this.#send(call, { call, isRepeat: false });
    } catch (err) {
      if (err instanceof DoubtedConnectionError) {
        return await this.#repeat(call);
      }
      if (
        !(err instanceof NoResponseError || err instanceof AbortedCallError)
      ) {
        throw err;
      }
      this.#closeIdle();
      if (call.signal?.aborted) {
        throw err;
      }
      if (err instanceof AbortedCallError) {
        return await this.#repeat(call);
      }
      if (!this.#isServerUp) {
        throw err;
      }
      return await this.#repeatAfterSilence(call);
    }
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Closes the connections that carry no request. */
  #closeIdle(): void {
    for (const sockets of Object.values(this.#agent.freeSockets)) {
      [...sockets ?? []].forEach((socket) => socket.destroy());
    }
  }

  async #repeatAfterSilence(call: JsonCall): Promise<JsonResponse> {
    const sentAt = performance.now();
    const response = await this.#repeat(call);
    this.#options.onSilentConnections();
    [...this.#pending]
      .filter((earlier) =>
        !earlier.isRepeat && !earlier.isArriving && earlier.sentAt < sentAt
      )
      .forEach((earlier) => earlier.giveUp(new DoubtedConnectionError()));
    return response;
  }

  async #repeat(call: JsonCall): Promise<JsonResponse> {
    const { repeat = call, signal, cancelSignal } = call;
    try {
      return await this.#send(repeat, { call, isRepeat: true });
    } catch (err) {
      this.#isServerUp &&= (signal?.aborted || cancelSignal?.aborted) ?? false;
      throw err;
    }
  }

  async #send(
    request: JsonRequest,
    { call, isRepeat }: { readonly call: JsonCall; readonly isRepeat: boolean },
  ): Promise<JsonResponse> {
    const { method, signal, cancelSignal, repeatSignal } = call;
    const { host, port } = this.#options;
    const exchange = new JsonExchange(request, {
      host,
      port,
      agent: this.#agent,
      method,
      isRepeat,
      begun: (arrival) => call.begun?.(arrival),
      ended: (end) => {
        this.#pending.delete(exchange);
        this.#isServerUp ||= end.kind === "read";
        call.ended?.(end);
      },
    });
    this.#pending.add(exchange);
    const signals = [signal, isRepeat ? undefined : repeatSignal]
      .filter((one) => one !== undefined);
    const abort = () => {
      if (!exchange.isArriving) {
        exchange.giveUp(new AbortedCallError(reasonOf(signals)));
      }
    };
    const cancel = () => exchange.giveUp(new CancelledCallError());
    signals.forEach((one) => one.addEventListener("abort", abort));
    cancelSignal?.addEventListener("abort", cancel);
    try {
      if (cancelSignal?.aborted) {
        cancel();
      }
      if (signals.some(({ aborted }) => aborted)) {
        abort();
      }
      return await exchange.response;
    } finally {
      signals.forEach((one) => one.removeEventListener("abort", abort));
      cancelSignal?.removeEventListener("abort", cancel);
    }
  }
}

/** Why the first of the signals was aborted. */
function reasonOf(signals: readonly AbortSignal[]): string {
  const reason: unknown = signals.find(({ aborted }) => aborted)?.reason;
  return reason instanceof Error ? reason.message : "The call was aborted";
}
