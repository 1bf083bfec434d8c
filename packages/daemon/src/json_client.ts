/**
 * HTTP client of one server that sends and receives JSON.
 *
 * @module
 */

import { Agent } from "node:http";
import {
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

/** The call was aborted. */
class AbortedCallError extends JsonCallError {}

/** A call. Its request may be sent twice. */
export interface JsonCall extends JsonRequest {
  readonly method: "GET" | "POST";
  /**
   * What is sent if there is no response: best what gets a response soon, so that a lost
   * server is noticed soon. The same request if left out.
   */
  readonly repeat?: JsonRequest;
  readonly signal?: AbortSignal;
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
      if (!this.#isServerUp || call.signal?.aborted) {
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
      .filter((earlier) => !earlier.isRepeat && earlier.sentAt < sentAt)
      .forEach((earlier) => earlier.giveUp(new DoubtedConnectionError()));
    return response;
  }

  async #repeat(call: JsonCall): Promise<JsonResponse> {
    const { repeat = call, signal } = call;
    try {
      return await this.#send(repeat, { call, isRepeat: true });
    } catch (err) {
      this.#isServerUp &&= signal?.aborted ?? false;
      throw err;
    }
  }

  async #send(
    request: JsonRequest,
    { call, isRepeat }: { readonly call: JsonCall; readonly isRepeat: boolean },
  ): Promise<JsonResponse> {
    const { method, signal } = call;
    const { host, port } = this.#options;
    const exchange = new JsonExchange(request, {
      host,
      port,
      agent: this.#agent,
      method,
      isRepeat,
      ended: (end) => {
        this.#pending.delete(exchange);
        this.#isServerUp ||= end.kind === "read";
        call.ended?.(end);
      },
    });
    this.#pending.add(exchange);
    const abort = () => exchange.giveUp(new AbortedCallError(reasonOf(signal)));
    signal?.addEventListener("abort", abort);
    try {
      if (signal?.aborted) {
        abort();
      }
      return await exchange.response;
    } finally {
      signal?.removeEventListener("abort", abort);
    }
  }
}

/** Why the signal was aborted. */
function reasonOf(signal: AbortSignal | undefined): string {
  const reason: unknown = signal?.reason;
  return reason instanceof Error ? reason.message : "The call was aborted";
}
