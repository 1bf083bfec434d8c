/**
 * One request of a {@link JsonClient} and its response.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";

/** The call timed out, or its response cannot be used. */
export class JsonCallError extends Error {
  override readonly name = "JsonCallError";
}

/** Nothing arrives: the connection is silent, or the server. */
export class NoResponseError extends JsonCallError {
  constructor() {
    super("Timed out waiting for the JSON response");
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

/** A response. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parsed JSON; undefined unless the status is 200. */
  readonly body: unknown;
}

/** What became of a request, with the bytes of the response's body that have arrived. */
export type ExchangeEnd =
  /** `transferMs` is the time from the first part of the response to the last one. */
  | {
    readonly kind: "read";
    readonly bytes: number;
    readonly transferMs: number;
  }
  | {
    readonly kind: "given-up";
    readonly bytes: number;
    /** Time since the request was sent. */
    readonly waitedMs: number;
    readonly reason: string;
  };

/** Options of a {@link JsonExchange}. */
export interface JsonExchangeOptions {
  readonly host: string;
  readonly port: number;
  readonly agent: Agent;
  readonly method: "GET" | "POST";
  readonly isRepeat: boolean;
  ended(end: ExchangeEnd): void;
}

/** See the module comment. */
export class JsonExchange {
  readonly sentAt = performance.now();
  /** Rejects if there is no response, or if a status of 200 comes without JSON. */
  readonly response: Promise<JsonResponse>;
  readonly #options: JsonExchangeOptions;
  readonly #req: ReturnType<typeof request>;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;
  #begunAt: number | undefined;
  #hasEnded = false;
  #timer: NodeJS.Timeout | undefined;
  #resolve!: (response: JsonResponse) => void;
  #reject!: (err: Error) => void;

  constructor(
    { path, body, timeoutMs }: JsonRequest,
    options: JsonExchangeOptions,
  ) {
    const { host, port, agent, method } = options;
    this.#options = options;
    this.response = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    this.#req = request({
      host,
      port,
      agent,
      method,
      path,
      headers: body === undefined ? {} : {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      },
    });
    this.#req.on("error", (err) => this.#fail(err));
    this.#req.on("response", (res) => this.#read(res));
    // Checked one event-loop tick later: what arrived while this process stood still is read first.
    this.#timer = setTimeout(
      () => setImmediate(() => this.#giveUpIfPending()),
      timeoutMs,
    );
    this.#req.end(body);
  }

  get isRepeat(): boolean {
    return this.#options.isRepeat;
  }

  /** Gives the request up for a reason that the caller of {@link response} gets. */
  giveUp(err: Error): void {
    this.#fail(err);
    // Closes the connection: one with a late response may never carry another.
    this.#req.destroy();
  }

  #read(res: IncomingMessage): void {
    res.on("data", (chunk: Buffer) => {
      this.#begunAt ??= performance.now();
      this.#chunks.push(chunk);
      this.#bytes += chunk.length;
    });
    res.on("error", (err) => this.#fail(err));
    res.on("end", () => this.#complete(res));
  }

  #complete({ statusCode: status = 0, headers }: IncomingMessage): void {
    const now = performance.now();
    const transferMs = now - (this.#begunAt ?? now);
    this.#end({ kind: "read", bytes: this.#bytes, transferMs });
    try {
      const body = readBody(status, this.#chunks);
      this.#resolve({ status, headers, body });
    } catch {
      this.#reject(new JsonCallError("The response body is not JSON"));
    }
  }

  #fail(err: Error): void {
    if (!this.#hasEnded) {
      const waitedMs = performance.now() - this.sentAt;
      const reason = err.message;
      this.#end({ kind: "given-up", bytes: this.#bytes, waitedMs, reason });
      this.#reject(err);
    }
  }

  #end(end: ExchangeEnd): void {
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#options.ended(end);
  }

  #giveUpIfPending(): void {
    if (!this.#hasEnded) {
      this.giveUp(new NoResponseError());
    }
  }
}

/** The parsed JSON of a response with status 200. */
function readBody(status: number, chunks: readonly Buffer[]): unknown {
  return status === 200
    ? JSON.parse(Buffer.concat(chunks).toString("utf8"))
    : undefined;
}
