/**
 * Writes the response to a caller: a target's response, complete or in chunks, or
 * a local reply of the gateway.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { type LocalReplyReason, sendLocalReply } from "./local_reply.ts";
import type { TargetResponse } from "./ports.ts";

/**
 * Whether a response should close the caller's connection. Called right before the
 * response is written; `mustEnd` if the connection cannot be reused after it.
 */
export type EndsConnection = (mustEnd: boolean) => boolean;

/** The response to one request; see the module comment. */
export class CallerResponse {
  readonly #res: ServerResponse;
  readonly #endsConnection: EndsConnection;

  constructor(res: ServerResponse, endsConnection: EndsConnection) {
    this.#res = res;
    this.#endsConnection = endsConnection;
  }

  /** Writes the header of a target's response. Returns false if this connection cannot carry the response. */
  writeHead(response: TargetResponse): boolean {
    // A response that ends with its connection may be truncated without notice. If
    // the gateway added a length or a last chunk, it would look complete to the
    // caller, so it is passed on without framing.
    const isUnframed = !response.isChunked && response.contentLength < 0;
    const ends = this.#endsConnection(isUnframed);
    if (isUnframed && !ends) {
      return false;
    }
    const headers = ends
      ? [...response.rawHeaders, "connection", "close"]
      : response.rawHeaders;
    this.#res.useChunkedEncodingByDefault = !isUnframed;
    this.#res.writeHead(response.status, headers);
    return true;
  }

  /** Sends a complete response. Returns false if this connection cannot carry it. */
  sendComplete(response: TargetResponse, body: Buffer): boolean {
    const framed = response.isChunked
      ? {
        ...response,
        rawHeaders: [
          ...response.rawHeaders,
          "content-length",
          String(body.length),
        ],
      }
      : response;
    if (!this.writeHead(framed)) {
      return false;
    }
    this.#res.end(body);
    return true;
  }

  /** Writes a chunk of a streamed response. If it returns false, wait for `resume` before writing more. */
  writeChunk(chunk: Buffer, resume: () => void): boolean {
    if (this.#res.write(chunk)) {
      return true;
    }
    this.#res.once("drain", resume);
    return false;
  }

  /** Ends a streamed response. */
  end(): void {
    this.#res.end();
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
      closesConnection: this.#endsConnection(leavesBodyUnread),
    });
  }

  /** Destroys the connection, so that a partial response does not look complete. */
  destroy(): void {
    this.#res.destroy();
  }
}
