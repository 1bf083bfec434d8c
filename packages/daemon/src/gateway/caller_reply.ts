/**
 * The way back to a caller: a target's answer, whole or in pieces, or one of the
 * gateway's own.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { type OwnAnswerReason, sendOwnAnswer } from "./own_answer.ts";
import type { TargetAnswer } from "./ports.ts";

/**
 * Whether an answer is to end the caller's connection, asked right before it is
 * written; `mustEnd` where the connection cannot be used after it.
 */
export type EndsConnection = (mustEnd: boolean) => boolean;

/** See the module's comment. */
export class CallerReply {
  readonly #res: ServerResponse;
  readonly #endsConnection: EndsConnection;

  constructor(res: ServerResponse, endsConnection: EndsConnection) {
    this.#res = res;
    this.#endsConnection = endsConnection;
  }

  /** Writes the header of a target's answer. False where it cannot be passed on over this connection. */
  begin(answer: TargetAnswer): boolean {
    // Nobody can tell whether an answer whose end is that of its connection is
    // whole. With a length or a last chunk of our own it would look so, and its
    // caller might take a part for the whole; so it stays without.
    const isUnframed = !answer.isChunked && answer.contentLength < 0;
    const ends = this.#endsConnection(isUnframed);
    if (isUnframed && !ends) {
      return false;
    }
    const lines = ends
      ? [...answer.lines, "connection", "close"]
      : answer.lines;
    this.#res.useChunkedEncodingByDefault = !isUnframed;
    this.#res.writeHead(answer.status, lines);
    return true;
  }

  /** Passes a whole answer on. False where it cannot be passed on over this connection. */
  whole(answer: TargetAnswer, body: Buffer): boolean {
    const framed = answer.isChunked
      ? {
        ...answer,
        lines: [...answer.lines, "content-length", String(body.length)],
      }
      : answer;
    if (!this.begin(framed)) {
      return false;
    }
    this.#res.end(body);
    return true;
  }

  /** A piece of an answer. False: no more until `resume` is called. */
  piece(piece: Buffer, resume: () => void): boolean {
    if (this.#res.write(piece)) {
      return true;
    }
    this.#res.once("drain", resume);
    return false;
  }

  /** The last piece is out. */
  end(): void {
    this.#res.end();
  }

  /** An answer of the gateway's own. */
  own(
    reason: OwnAnswerReason,
    { retryAfterMs, leavesBody }: {
      retryAfterMs: number | undefined;
      /** The rest of the request's body will not be read. */
      leavesBody: boolean;
    },
  ): void {
    sendOwnAnswer(this.#res, reason, {
      retryAfterMs,
      closes: this.#endsConnection(leavesBody),
    });
  }

  /** Cuts the connection, so that a part of an answer does not look complete. */
  cut(): void {
    this.#res.destroy();
  }
}
