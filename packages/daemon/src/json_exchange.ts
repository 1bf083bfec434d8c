/**
 * One request of a {@link JsonClient} and its response.
 *
 * A response that has begun to arrive is given up only if it stops: on a narrow or busy
 * link a large one takes many times as long as the server, and would begin anew. One that
 * is larger than any sound one is given up as well.
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
import { JsonTooComplexError, parseJson } from "./bounded_json.ts";
import { MAX_BODY_BYTES, ResponseBody } from "./response_body.ts";

/** The call timed out, or its response cannot be used. */
export class JsonCallError extends Error {
  override readonly name = "JsonCallError";
}

/** Nothing arrives: the connection is silent, or the server. */
export class NoResponseError extends JsonCallError {}

/** The response is larger than any sound one. */
export class ResponseTooLargeError extends JsonCallError {
  constructor() {
    super("The JSON response is too large");
  }
}

/** Most interim responses before the response. */
const MAX_INTERIM_RESPONSES = 16;

/** Longest pause between two parts of a response: a lossy link may have to send a part three times. */
const STALL_TIMEOUT_MS = 1_000;
/** Longest time for a response to arrive: enough for a megabyte on a tenth of a link of 10 Mbit/s. */
const TRANSFER_TIMEOUT_MS = 10_000;

/** What is sent, and how long the response may take to begin. */
export interface JsonRequest {
  readonly path: string;
  /** The request body, as JSON text; none if left out. */
  readonly body?: string;
  /** Longest wait for the response to begin. */
  readonly timeoutMs: number;
}

/** A response. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parsed JSON; undefined unless the status is 200. */
  readonly body: unknown;
}

/** What became of a request. */
export type ExchangeEnd =
  & ExchangeProgress
  & (
    | { readonly kind: "read" }
    | { readonly kind: "given-up" | "too-large"; readonly reason: string }
  );

/** How a response arrives. */
export interface Arrival {
  /** Time since it began, in milliseconds. */
  readonly forMs: number;
  /** Bytes of the body that have arrived. */
  readonly bytes: number;
  /** Length of the body; undefined if the server hasn't named it. */
  readonly totalBytes: number | undefined;
}

/** How far a request came. */
export interface ExchangeProgress {
  /** Bytes of the response's body that have arrived. */
  readonly bytes: number;
  /** Time since the request was sent, in milliseconds. */
  readonly waitedMs: number;
  /** The part of it since the response began to arrive. */
  readonly arrivingMs: number;
}

/** Options of a {@link JsonExchange}. */
export interface JsonExchangeOptions {
  readonly host: string;
  readonly port: number;
  readonly agent: Agent;
  readonly method: "GET" | "POST";
  readonly isRepeat: boolean;
  /** The response has begun to arrive; `arrival` tells how, until it has ended. */
  begun(arrival: () => Arrival): void;
  ended(end: ExchangeEnd): void;
}

/** See the module comment. */
export class JsonExchange {
  readonly sentAt = performance.now();
  /** Rejects if there is no response, or if a status of 200 comes without JSON. */
  readonly response: Promise<JsonResponse>;
  readonly #options: JsonExchangeOptions;
  readonly #timeoutMs: number;
  readonly #req: ReturnType<typeof request>;
  readonly #body = new ResponseBody();
  #interimResponses = 0;
  /** Length of the response's body; undefined if the header names none. */
  #totalBytes: number | undefined;
  #begunAt: number | undefined;
  #latestPartAt = 0;
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
    this.#timeoutMs = timeoutMs;
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
    this.#req.on("information", () => this.#readInterim());
    this.#req.on("response", (res) => this.#read(res));
    this.#checkAfter(timeoutMs);
    this.#req.end(body);
  }

  get isRepeat(): boolean {
    return this.#options.isRepeat;
  }

  /** Whether the response has begun to arrive. */
  get isArriving(): boolean {
    return this.#begunAt !== undefined;
  }

  /** Gives the request up for a reason that the caller of {@link response} gets. */
  giveUp(err: Error): void {
    this.#fail(err);
    // Closes the connection: one with a late response may never carry another.
    this.#req.destroy();
  }

  #readInterim(): void {
    this.#interimResponses += 1;
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      this.giveUp(new ResponseTooLargeError());
    }
  }

  #read(res: IncomingMessage): void {
    const length = res.headers["content-length"];
    this.#totalBytes = length === undefined ? undefined : Number(length);
    if (res.httpVersionMajor !== 1) {
      // Node's parser takes other versions for HTTP/1.
      this.giveUp(new JsonCallError("The response is not HTTP/1"));
      return;
    }
    res.on("data", (chunk: Buffer) => this.#readPart(chunk));
    res.on("error", (err) => this.#fail(err));
    res.on("end", () => this.#complete(res));
    if ((this.#totalBytes ?? 0) > MAX_BODY_BYTES) {
      this.giveUp(new ResponseTooLargeError());
    }
  }

  #readPart(chunk: Buffer): void {
    if (this.#hasEnded) {
      return;
    }
    this.#latestPartAt = performance.now();
    if (!this.#body.add(chunk)) {
      this.giveUp(new ResponseTooLargeError());
    } else if (this.#begunAt === undefined) {
      this.#begin(this.#latestPartAt);
    }
  }

  /** The header alone may come while the server still waits for changes. */
  #begin(now: number): void {
    this.#begunAt = now;
    clearTimeout(this.#timer);
    this.#checkAfter(STALL_TIMEOUT_MS);
    this.#options.begun(() => this.#arrival);
  }

  #complete({ statusCode: status = 0, headers }: IncomingMessage): void {
    if (this.#hasEnded) {
      return;
    }
    const progress = this.#progress;
    let body: unknown;
    try {
      body = status === 200 ? parseJson(this.#body.take()) : undefined;
    } catch (err) {
      if (err instanceof JsonTooComplexError) {
        this.giveUp(new ResponseTooLargeError());
        return;
      }
      this.#end({ kind: "read", ...progress });
      this.#reject(new JsonCallError("The response body is not JSON"));
      return;
    }
    this.#end({ kind: "read", ...progress });
    this.#resolve({ status, headers, body });
  }

  #fail(err: Error): void {
    if (!this.#hasEnded) {
      const kind = err instanceof ResponseTooLargeError
        ? "too-large"
        : "given-up";
      this.#end({ kind, ...this.#progress, reason: err.message });
      this.#reject(err);
    }
  }

  get #arrival(): Arrival {
    const forMs = performance.now() - (this.#begunAt ?? NaN);
    return { forMs, bytes: this.#body.length, totalBytes: this.#totalBytes };
  }

  get #progress(): ExchangeProgress {
    const now = performance.now();
    return {
      bytes: this.#body.length,
      waitedMs: now - this.sentAt,
      arrivingMs: now - (this.#begunAt ?? now),
    };
  }

  #end(end: ExchangeEnd): void {
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#options.ended(end);
  }

  /** Checks one event-loop tick after `ms`: what arrived while this process stood still is read first. */
  #checkAfter(ms: number): void {
    this.#timer = setTimeout(() => setImmediate(() => this.#check()), ms);
  }

  #check(): void {
    if (this.#hasEnded) {
      return;
    }
    const leftMs = this.#dueAt - performance.now();
    if (leftMs > 0) {
      clearTimeout(this.#timer);
      this.#checkAfter(leftMs);
    } else {
      this.giveUp(
        new NoResponseError(
          this.isArriving
            ? "The JSON response has stopped arriving"
            : "Timed out waiting for the JSON response",
        ),
      );
    }
  }

  /** When the request is given up if nothing more arrives. */
  get #dueAt(): number {
    return this.#begunAt === undefined
      ? this.sentAt + this.#timeoutMs
      : Math.min(
        this.#latestPartAt + STALL_TIMEOUT_MS,
        this.#begunAt + TRANSFER_TIMEOUT_MS,
      );
  }
}
