/**
 * HTTP client of one server that sends and receives JSON.
 *
 * @module
 */

import { Agent, type IncomingHttpHeaders, request } from "node:http";

/** The call timed out, or its response cannot be used. */
export class JsonCallError extends Error {
  override readonly name = "JsonCallError";
}

/** No response within the timeout: the connection is silent, or the server. */
class NoResponseError extends JsonCallError {
  constructor() {
    super("Timed out waiting for the JSON response");
  }
}

/** Another call has found that connections are silent, maybe also the one of this call. */
class DoubtedConnectionError extends JsonCallError {
  constructor() {
    super("The connection may be silent");
  }
}

/** What is sent, and how long the response may take. */
export interface JsonRequest {
  readonly path: string;
  /** The request body, as JSON text; none if left out. */
  readonly body?: string;
  /** Longest wait for the complete response. */
  readonly timeoutMs: number;
}

/** A call. Its request may be sent twice. */
export interface JsonCall extends JsonRequest {
  readonly method: "GET" | "POST";
  /**
   * What is sent if there is no response: best what gets a response soon, so that a lost
   * server is noticed soon. The same request if left out.
   */
  readonly repeat?: JsonRequest;
  readonly signal?: AbortSignal;
}

/** A response. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parsed JSON; undefined unless the status is 200. */
  readonly body: unknown;
}

/** Options of a {@link JsonClient}. */
export interface JsonClientOptions {
  readonly host: string;
  readonly port: number;
  /** Called when the server responded on a new connection, but not on an earlier one. */
  onSilentConnections(): void;
}

/** A request that was sent and has no response yet. */
interface PendingRequest {
  readonly sentAt: number;
  readonly isRepeat: boolean;
  fail(err: Error): void;
}

/**
 * Open connections may fall silent without a reset, all at once, while new ones work. So
 * a call without a response says little of the server: no connection that was idle
 * meanwhile is used again, and the call is repeated once on a new one.
 */
export class JsonClient {
  readonly #options: JsonClientOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #pending = new Set<PendingRequest>();
  /** It has responded, and to each repeated call since. Only then are calls repeated. */
  #isServerUp = false;

  constructor(options: JsonClientOptions) {
    this.#options = options;
  }

  /** Resolves with the response; rejects if there is none, or if a status of 200 comes without JSON. */
  async call(call: JsonCall): Promise<JsonResponse> {
    const { method, signal } = call;
    signal?.addEventListener("abort", this.#closeIdle);
    try {
      return await this.#send(call, { method, signal, isRepeat: false });
    } catch (err) {
      if (err instanceof DoubtedConnectionError) {
        return await this.#repeat(call);
      }
      if (!(err instanceof NoResponseError)) {
        throw err;
      }
      this.#closeIdle();
      if (!this.#isServerUp) {
        throw err;
      }
      return await this.#repeatAfterSilence(call);
    } finally {
      signal?.removeEventListener("abort", this.#closeIdle);
    }
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Closes the connections that carry no request. */
  readonly #closeIdle = (): void => {
    for (const sockets of Object.values(this.#agent.freeSockets)) {
      [...sockets ?? []].forEach((socket) => socket.destroy());
    }
  };

  async #repeatAfterSilence(call: JsonCall): Promise<JsonResponse> {
    const sentAt = performance.now();
    const response = await this.#repeat(call);
    this.#options.onSilentConnections();
    [...this.#pending]
      .filter((earlier) => !earlier.isRepeat && earlier.sentAt < sentAt)
      .forEach((earlier) => earlier.fail(new DoubtedConnectionError()));
    return response;
  }

  async #repeat(call: JsonCall): Promise<JsonResponse> {
    const { method, signal, repeat = call } = call;
    try {
      return await this.#send(repeat, { method, signal, isRepeat: true });
    } catch (err) {
      this.#isServerUp &&= signal?.aborted ?? false;
      throw err;
    }
  }

  #send(
    { path, body, timeoutMs }: JsonRequest,
    { method, signal, isRepeat }: {
      readonly method: JsonCall["method"];
      readonly signal: AbortSignal | undefined;
      readonly isRepeat: boolean;
    },
  ): Promise<JsonResponse> {
    return new Promise((resolve, reject) => {
      const { host, port } = this.#options;
      const req = request({
        host,
        port,
        agent: this.#agent,
        method,
        path,
        ...(signal === undefined ? {} : { signal }),
        headers: body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      });
      const pending: PendingRequest = {
        sentAt: performance.now(),
        isRepeat,
        fail: (err) => {
          settle();
          reject(err);
          // Closes the connection: one with a late response may never carry another.
          req.destroy();
        },
      };
      this.#pending.add(pending);
      const timer = setTimeout(
        () => setImmediate(giveUp, pending, this.#pending),
        timeoutMs,
      );
      const settle = () => {
        clearTimeout(timer);
        this.#pending.delete(pending);
      };
      const fail = (err: Error) => {
        settle();
        reject(err);
      };
      req.on("error", fail);
      req.on("response", (res) => {
        const chunks: Buffer[] = [];
        res.on("data", (chunk: Buffer) => chunks.push(chunk));
        res.on("error", fail);
        res.on("end", () => {
          settle();
          this.#isServerUp = true;
          const { statusCode: status = 0, headers } = res;
          try {
            resolve({ status, headers, body: readBody(status, chunks) });
          } catch {
            reject(new JsonCallError("The response body is not JSON"));
          }
        });
      });
      req.end(body);
    });
  }
}

/** Called one event-loop tick after the timeout: a response that came while this process stood still is read first. */
function giveUp(
  request: PendingRequest,
  pending: ReadonlySet<PendingRequest>,
): void {
  if (pending.has(request)) {
    request.fail(new NoResponseError());
  }
}

/** The parsed JSON of a response with status 200. */
function readBody(status: number, chunks: readonly Buffer[]): unknown {
  return status === 200
    ? JSON.parse(Buffer.concat(chunks).toString("utf8"))
    : undefined;
}
