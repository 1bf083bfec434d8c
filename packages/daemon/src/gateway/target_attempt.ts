/**
 * One attempt to send a request to one target, or to another VM. It tracks exactly whether a byte of
 * the request may have reached the network, and accepts a response only if it is
 * complete and belongs to the request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import {
  InvalidResponseError,
  isInvalidRequest,
  NotSentError,
} from "../errors.ts";
import { ChunkBuffer } from "../http/chunk_buffer.ts";
import type { TargetConnection } from "./connection.ts";
import type { Dialect, TargetResponse } from "./ports.ts";
import { SMALL_RESPONSE_BYTES } from "./response_budget.ts";

/** How an attempt ended. */
export type TargetAttemptEnd =
  /** A complete response; its body is empty if it was streamed to the owner. */
  | {
    readonly kind: "answered";
    readonly response: TargetResponse;
    readonly body: readonly Buffer[];
  }
  /** The target refused the request before running it. */
  | { readonly kind: "not-run"; readonly response: TargetResponse }
  /** Nothing was sent, nor can be: the request is not one of HTTP/1.1. */
  | { readonly kind: "unsendable"; readonly err: Error }
  /** Nothing was sent: connecting failed. */
  | { readonly kind: "unreachable"; readonly err: Error }
  /** The request was sent, but no complete response to it arrived. */
  | { readonly kind: "broke"; readonly err: Error }
  /** The owner abandoned the attempt. */
  | { readonly kind: "abandoned" };

/** Receives the events of an attempt. */
export interface TargetAttemptOwner<Id extends string = TargetId> {
  /** Called right before the first byte is sent. Returns false if the request must not be sent. */
  attemptWriting(attempt: TargetAttempt<Id>, now: number): boolean;
  /** Whether a response of which `bytes` have arrived may be buffered further. */
  attemptBuffering(attempt: TargetAttempt<Id>, bytes: number): boolean;
  /**
   * Called with the first part of a response that is not buffered further; the rest
   * follows through {@link attemptChunk}. Returns false to pause until `resume`.
   */
  attemptStreaming(
    attempt: TargetAttempt<Id>,
    response: TargetResponse,
    firstChunk: Buffer,
  ): boolean;
  /** Called for each further chunk of a streamed response. Returns false to pause until `resume`. */
  attemptChunk(attempt: TargetAttempt<Id>, chunk: Buffer): boolean;
  /** Called exactly once, as the last event. */
  attemptEnded(attempt: TargetAttempt<Id>, end: TargetAttemptEnd): void;
}

/**
 * Responses up to this size are buffered until complete, so that a truncated one can
 * be retried instead of reaching the caller in part, as long as the VM has memory
 * for it. Larger ones are streamed.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144;

/** Options of an attempt. */
export interface TargetAttemptOptions<Id extends string = TargetId> {
  readonly target: Id;
  readonly requestId: string;
  readonly connection: TargetConnection<Id>;
  readonly dialect: Dialect;
}

/** Handles undici's events for one attempt; see the module comment. */
export class TargetAttempt<Id extends string = TargetId>
  implements Dispatcher.DispatchHandler {
  readonly target: Id;
  readonly connection: TargetConnection<Id>;
  readonly startedAt = performance.now();
  /** Whether the target's work has been reported as done before the end of the attempt. */
  isWorkReported = false;
  readonly #owner: TargetAttemptOwner<Id>;
  readonly #options: TargetAttemptOptions<Id>;
  #writtenAt: number | undefined;
  #hasEnded = false;
  #isAbandoned = false;
  #abort: ((err?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #response: TargetResponse | undefined;
  readonly #chunks = new ChunkBuffer();
  #isStreaming = false;

  constructor(
    owner: TargetAttemptOwner<Id>,
    options: TargetAttemptOptions<Id>,
  ) {
    this.#owner = owner;
    this.#options = options;
    this.target = options.target;
    this.connection = options.connection;
  }

  /** The caller's id of the request. */
  get requestId(): string {
    return this.#options.requestId;
  }

  /** When the first byte was written; undefined if none can have been. */
  get writtenAt(): number | undefined {
    return this.#writtenAt;
  }

  /** The header of the response; undefined before it has arrived. */
  get response(): TargetResponse | undefined {
    return this.#response;
  }

  /** Abandons the attempt and destroys its connection, so that the target stops its work. */
  abandon(): void {
    if (this.#hasEnded) {
      return;
    }
    this.#isAbandoned = true;
    this.#abort?.(new NotSentError("attempt was abandoned"));
    this.connection.destroy();
    this.#end({ kind: "abandoned" });
  }

  /** Resumes a paused streamed response. */
  resume(): void {
    this.#resume?.();
  }

  /** Called by undici right before it writes the request, and at no other time. */
  onConnect(abort: (err?: Error) => void): void {
    if (this.#isAbandoned || this.#writtenAt !== undefined) {
      // If the request was already written, undici is about to resend it after a
      // connection reset. Only the exchange may decide on a retry.
      throw new NotSentError("request was abandoned or already written");
    }
    const now = performance.now();
    if (!this.#owner.attemptWriting(this, now)) {
      this.#isAbandoned = true;
      throw new NotSentError("request may no longer be sent");
    }
    this.#writtenAt = now;
    this.#abort = abort;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < 200 || this.#hasEnded) {
      return true;
    }
    this.#resume = resume;
    const response = this.#options.dialect.readResponse(status, raw);
    if (
      response.requestId !== undefined &&
      response.requestId !== this.#options.requestId
    ) {
      // A second response to an earlier request on this connection. The caller
      // would take it for its own, so the connection is not read any further.
      this.#reject("response carries the id of another request");
      return false;
    }
    if (status < 300 && !response.isStamped) {
      this.#reject("response was not stamped by the target");
      return false;
    }
    this.#response = response;
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#hasEnded) {
      return true;
    }
    if (this.#isStreaming) {
      return this.#owner.attemptChunk(this, chunk);
    }
    this.#chunks.add(chunk);
    if (this.#mayBuffer(this.#response!)) {
      return true;
    }
    this.#isStreaming = true;
    const firstChunk = Buffer.concat(this.#chunks.takeAll());
    return this.#owner.attemptStreaming(this, this.#response!, firstChunk);
  }

  onComplete(): void {
    const response = this.#response!;
    if (response.isNotRun) {
      // Its header says so, however its body ends.
      this.#end({ kind: "not-run", response });
      return;
    }
    if (this.connection.wasTruncated(response)) {
      const err = new InvalidResponseError(
        "connection closed before the response was complete",
      );
      this.#end({ kind: "broke", err });
      return;
    }
    this.#end({ kind: "answered", response, body: this.#chunks.takeAll() });
  }

  onError(err: Error): void {
    if (this.#isAbandoned) {
      this.#end({ kind: "abandoned" });
    } else if (this.#writtenAt !== undefined) {
      this.#end({ kind: "broke", err });
    } else {
      const kind = isInvalidRequest(err) ? "unsendable" : "unreachable";
      this.#end({ kind, err });
    }
  }

  #mayBuffer({ isNotRun, status }: TargetResponse): boolean {
    const bytes = this.#chunks.byteLength;
    if (bytes > MAX_BUFFERED_RESPONSE_BYTES) {
      return false;
    }
    if (bytes <= SMALL_RESPONSE_BYTES) {
      return true;
    }
    const hasMemory = this.#owner.attemptBuffering(this, bytes);
    // A request whose response is an error may go to another target, so no byte of
    // that response may reach the caller yet.
    return isNotRun || status >= 500 || hasMemory;
  }

  #reject(reason: string): void {
    const err = new InvalidResponseError(reason);
    this.#end({ kind: "broke", err });
    this.#abort?.(err);
  }

  #end(end: TargetAttemptEnd): void {
    if (this.#hasEnded) {
      return;
    }
    this.#hasEnded = true;
    this.#owner.attemptEnded(this, end);
  }
}
