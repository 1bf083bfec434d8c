/**
 * Writes the response to a caller: a target's response, complete or in chunks, or
 * a local reply of the gateway.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { DeadlineWheel } from "../http/deadline_wheel.ts";
import { type LocalReplyReason, sendLocalReply } from "./local_reply.ts";
import type { TargetResponse } from "./ports.ts";
import { type ResponseHold, SMALL_RESPONSE_BYTES } from "./response_budget.ts";
import { ResponseDelivery } from "./response_delivery.ts";

/**
 * Whether a response should close the caller's connection. Called right before the
 * response is written; `mustEnd` if the connection cannot be reused after it.
 */
export type EndsConnection = (mustEnd: boolean) => boolean;

/** How a response reached its caller. */
export interface DeliverySummary {
  /** Undefined if no target's response was begun. */
  readonly mode: "buffered" | "streamed" | undefined;
  /** When the complete response was on this VM; undefined if it never was. */
  readonly answeredAt: number | undefined;
  /** Whether the response was cut after it had begun. */
  readonly isCut: boolean;
  /** Time for which bytes were ready and the caller did not take them, in milliseconds. */
  readonly heldMs: number;
  /** The most bytes that were held for the caller. */
  readonly heldBytes: number;
}

/** Options of a response. */
export interface CallerResponseOptions {
  readonly hold: ResponseHold;
  readonly wheel: DeadlineWheel;
  readonly endsConnection: EndsConnection;
  /** Method of the request. */
  readonly method: string;
  /** Whether the response goes to another VM, which forwarded the request. */
  readonly isForPeer?: boolean;
  /** Called when the caller has stopped reading the response. */
  stalled(): void;
}

// Responses with these codes have no body, whatever their header says.
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
/** Responses up to this size are written at once. */
const SINGLE_WRITE_BYTES = 65_536;

/** The response to one request; see the module comment. */
export class CallerResponse {
  readonly #res: ServerResponse;
  readonly #options: CallerResponseOptions;
  readonly #delivery: ResponseDelivery;
  #mode: DeliverySummary["mode"];
  /** Bytes of an earlier response that is kept while the request is sent again. */
  #keptBytes = 0;
  #answeredAt: number | undefined;
  #isCut = false;
  /** Whether the end of the target's connection is the end of the response. */
  #isUnframed = false;
  #isDelivered = false;
  #onDelivered: (() => void) | undefined;

  constructor(res: ServerResponse, options: CallerResponseOptions) {
    this.#res = res;
    this.#options = options;
    this.#delivery = new ResponseDelivery(res, {
      hold: options.hold,
      wheel: options.wheel,
      delivered: () => this.#delivered(),
      stalled: () => options.stalled(),
    });
  }

  get summary(): DeliverySummary {
    return {
      mode: this.#mode,
      answeredAt: this.#answeredAt,
      isCut: this.#isCut,
      heldMs: this.#delivery.heldMs,
      heldBytes: this.#options.hold.peakBytes,
    };
  }

  /** Reserves memory for the response. Called before the request is sent. */
  reserve(): void {
    this.#options.hold.reserve();
  }

  /** Whether a response of which `bytes` have arrived may be buffered further. */
  mayBuffer(bytes: number): boolean {
    const { hold } = this.#options;
    hold.resize(this.#keptBytes + bytes);
    return hold.mayGrow(SMALL_RESPONSE_BYTES);
  }

  /** Discards what was buffered of a response, but for `keptBytes` that may still be sent. */
  discard(keptBytes: number): void {
    this.#keptBytes = keptBytes;
    this.#options.hold.resize(keptBytes);
  }

  /**
   * Writes the header of a target's response whose body follows. A body of unknown length
   * is sent in chunks, so that it does not look complete if the connection ends before
   * the last one. Returns false if the caller knows no chunks.
   */
  writeHead(response: TargetResponse): boolean {
    const lacksLength = this.#lacksLength(response);
    // Set by Node for a caller of HTTP/1.1.
    if (lacksLength && !this.#res.useChunkedEncodingByDefault) {
      return false;
    }
    this.#isUnframed = lacksLength && !response.isChunked;
    this.#writeHead(response.status, response.rawHeaders);
    return true;
  }

  /** Sends a complete response. */
  sendComplete(response: TargetResponse, body: readonly Buffer[]): void {
    const bytes = body.reduce((sum, { length }) => sum + length, 0);
    this.#writeHead(
      response.status,
      this.#lacksLength(response)
        ? [...response.rawHeaders, "content-length", String(bytes)]
        : response.rawHeaders,
    );
    this.#mode = "buffered";
    this.#recordAnswer(bytes);
    if (bytes <= SINGLE_WRITE_BYTES) {
      this.#delivery.endWith(
        body.length === 1 ? body[0]! : Buffer.concat(body),
      );
    } else {
      this.#delivery.end(body);
    }
  }

  /** Writes a chunk of a streamed response. If it returns false, wait for `resume` before writing more. */
  writeChunk(chunk: Buffer, resume: () => void): boolean {
    this.#mode = "streamed";
    return this.#delivery.write(chunk, resume);
  }

  /** Ends a streamed response. */
  end(): void {
    this.#recordAnswer(this.#delivery.totalBytes);
    this.#delivery.end();
  }

  /** Calls `done` once the network has taken the whole response, at once if it has. */
  whenDelivered(done: () => void): void {
    if (this.#isDelivered) {
      done();
    } else {
      this.#onDelivered = done;
    }
  }

  /** Returns the memory of the response, which is delivered or given up. */
  close(): void {
    this.#delivery.close();
    this.#options.hold.release();
  }

  /** Sends a local reply. */
  replyLocally(
    reason: LocalReplyReason,
    { retryAfterMs, leavesBodyUnread }: {
      retryAfterMs: number | undefined;
      /** Whether the rest of the request body will stay unread. */
      leavesBodyUnread: boolean;
    },
  ): void {
    sendLocalReply(this.#res, reason, {
      retryAfterMs,
      closesConnection: this.#options.endsConnection(leavesBodyUnread),
      isForPeer: this.#options.isForPeer ?? false,
    });
  }

  /** Destroys the connection, so that a partial response does not look complete. */
  destroy(): void {
    this.#isCut = true;
    if (this.#isUnframed) {
      // Passed on to callers, as some take the end of the connection for the end of the
      // response. The reset alone would wait for the caller to take what was written;
      // `destroy` does not.
      this.#res.socket?.resetAndDestroy();
    }
    this.#res.destroy();
  }

  /** Whether the response has a body whose length its header does not tell. */
  #lacksLength({ status, contentLength }: TargetResponse): boolean {
    return contentLength < 0 && this.#options.method !== "HEAD" &&
      status !== STATUS_NO_CONTENT && status !== STATUS_NOT_MODIFIED;
  }

  #writeHead(status: number, rawHeaders: string[]): void {
    this.#res.writeHead(
      status,
      this.#options.endsConnection(false)
        ? [...rawHeaders, "connection", "close"]
        : rawHeaders,
    );
  }

  #recordAnswer(bytes: number): void {
    this.#answeredAt = performance.now();
    this.#options.hold.recordSize(bytes);
  }

  #delivered(): void {
    this.#isDelivered = true;
    this.#onDelivered?.();
  }
}
