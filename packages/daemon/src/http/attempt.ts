/**
 * One attempt to send a request to one target. It tracks exactly whether a byte
 * of the request may have reached the network.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { readResponseHead, type ResponseHead } from "./response_head.ts";
import { NotSentError } from "../errors.ts";

/** How an attempt ended; see `AttemptOutcome` of the decisions package. */
export type AttemptEnd =
  | "answered"
  | "answered-error"
  | "refused-not-run"
  | "leaving"
  | "failed-before-sent"
  | "failed-after-sent"
  | "cancelled";

/** Receives an attempt's events. */
export interface AttemptOwner {
  /** Called right before the first byte is sent. Returns false to prevent sending. */
  attemptMaySend(attempt: Attempt): boolean;
  /** Called with the response headers. Returns false to cancel the attempt. */
  attemptHeaders(
    attempt: Attempt,
    response: { status: number; head: ResponseHead },
  ): boolean;
  /** Called with a chunk of the response. Returns false to pause until `resume`. */
  attemptData(attempt: Attempt, chunk: Buffer): boolean;
  /** Called exactly once, as the last event. */
  attemptEnded(attempt: Attempt, end: AttemptEnd, err?: Error): void;
}

/** A target's refusal with a longer body has its connection closed instead of read. */
const MAX_REFUSAL_BODY_BYTES = 65_536;

/**
 * Handles undici's events. It uses undici's raw handler methods, which pass the
 * headers as received and allocate no object per event.
 */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly number: number;
  readonly target: TargetId;
  readonly startedAt: number;
  readonly #owner: AttemptOwner;
  #sent = false;
  #ended = false;
  #cancelled = false;
  #abort: ((err?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #status = 0;
  #head: ResponseHead | undefined;
  #refused = false;
  #refusalBytes = 0;

  constructor(
    owner: AttemptOwner,
    options: { number: number; target: TargetId; now: number },
  ) {
    this.#owner = owner;
    this.number = options.number;
    this.target = options.target;
    this.startedAt = options.now;
  }

  /** Whether a byte of the request may have left this VM. */
  get sent(): boolean {
    return this.#sent;
  }

  get ended(): boolean {
    return this.#ended;
  }

  /** Whether the target reported that it refused the request without running it. */
  get refusedNotRun(): boolean {
    return this.#refused;
  }

  /** Whether the target reported that it is leaving. */
  get targetLeaving(): boolean {
    return this.#head?.leaving ?? false;
  }

  /** Cancels the attempt. The owner is notified of its end. */
  cancel(): void {
    if (this.#ended || this.#cancelled) {
      return;
    }
    this.#cancelled = true;
    if (this.#abort !== undefined) {
      this.#abort(new NotSentError("The attempt was cancelled"));
      return;
    }
    // It is still queued for a connection inside the pool; `onConnect` discards
    // it there. Its slot is free now, since nothing was or will be sent.
    this.#end("cancelled");
  }

  /** Resumes a paused response. */
  resume(): void {
    this.#resume?.();
  }

  /** Called by undici right before it writes the request, and at no other time. */
  onConnect(abort: (err?: Error) => void): void {
    if (this.#cancelled || this.#sent) {
      // Already sent: the connection was reset with the request on it and undici
      // wants to write the request again. The connection pool cannot know
      // whether a retry is allowed, so the attempt ends instead.
      throw new NotSentError(
        "Cannot send the request: the attempt was cancelled or already sent",
      );
    }
    if (!this.#owner.attemptMaySend(this)) {
      this.#cancelled = true;
      throw new NotSentError(
        "Cannot send the request: sending it is no longer allowed",
      );
    }
    this.#sent = true;
    this.#abort = abort;
  }

  onHeaders(
    status: number,
    raw: Buffer[],
    resume: () => void,
    _statusText: string,
  ): boolean {
    if (status < 200) {
      return true;
    }
    this.#resume = resume;
    this.#status = status;
    const head = readResponseHead(raw);
    this.#head = head;
    if (head.notRun) {
      this.#refused = true;
      return true;
    }
    if (!this.#owner.attemptHeaders(this, { status, head })) {
      this.cancel();
      return false;
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (!this.#refused) {
      return this.#owner.attemptData(this, chunk);
    }
    this.#refusalBytes += chunk.length;
    if (this.#refusalBytes > MAX_REFUSAL_BODY_BYTES) {
      this.#abort?.();
    }
    return true;
  }

  onComplete(): void {
    if (this.#refused) {
      this.#end(this.targetLeaving ? "leaving" : "refused-not-run");
      return;
    }
    this.#end(this.#status >= 500 ? "answered-error" : "answered");
  }

  onError(err: Error): void {
    if (this.#refused) {
      this.#end(this.targetLeaving ? "leaving" : "refused-not-run");
      return;
    }
    if (this.#cancelled) {
      this.#end("cancelled");
      return;
    }
    this.#end(this.#sent ? "failed-after-sent" : "failed-before-sent", err);
  }

  #end(end: AttemptEnd, err?: Error): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#owner.attemptEnded(this, end, err);
  }
}
