/**
 * One attempt to get a request served by one target. It knows exactly whether
 * a byte of the request may have reached the network.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { type AnswerHead, readAnswerHead } from "./answer_head.ts";
import { NotSentError } from "../errors.ts";

/** How an attempt ended; see the decisions' `AttemptOutcome`. */
export type AttemptEnd =
  | "answered"
  | "answered-error"
  | "refused-not-run"
  | "leaving"
  | "failed-before-sent"
  | "failed-after-sent"
  | "cancelled";

/** Who gets an attempt's answer. */
export interface AttemptOwner {
  /** Right before the first byte is sent. False: it must not be sent. */
  attemptMaySend(attempt: Attempt): boolean;
  /** The header of the answer. False: nobody wants it, break the attempt off. */
  attemptAnswers(
    attempt: Attempt,
    answer: { status: number; head: AnswerHead },
  ): boolean;
  /** A piece of the answer. False: no more until `resume`. */
  attemptData(attempt: Attempt, chunk: Buffer): boolean;
  /** Called once, last. */
  attemptEnded(attempt: Attempt, end: AttemptEnd, err?: Error): void;
}

/** Body of a target's refusal that is read at most before the connection is dropped. */
const REFUSAL_BYTES = 65_536;

/**
 * Handles undici's events. It uses undici's raw handler methods: they give the
 * header lines as they came, and cost no object per event.
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
  #head: AnswerHead | undefined;
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

  /** Whether the target says that it refused before running. */
  get refusedNotRun(): boolean {
    return this.#refused;
  }

  /** Whether the target says that it is leaving. */
  get targetLeaving(): boolean {
    return this.#head?.leaving ?? false;
  }

  /** Breaks the attempt off. The owner hears of its end. */
  cancel(): void {
    if (this.#ended || this.#cancelled) {
      return;
    }
    this.#cancelled = true;
    if (this.#abort !== undefined) {
      this.#abort(new NotSentError("Cancelled"));
      return;
    }
    // It still waits for a connection inside the pool; `onConnect` drops it
    // there. Its slot is free from now on, since nothing was or will be sent.
    this.#end("cancelled");
  }

  /** Lets the answer flow again. */
  resume(): void {
    this.#resume?.();
  }

  /** Called by undici right before it writes the request, and never otherwise. */
  onConnect(abort: (err?: Error) => void): void {
    if (this.#cancelled || this.#sent) {
      // The second case: a connection was reset with the request on it and
      // undici would write the request again. Whether that is allowed is not
      // for a connection pool to say, so the attempt ends instead.
      throw new NotSentError("Not wanted any more");
    }
    if (!this.#owner.attemptMaySend(this)) {
      this.#cancelled = true;
      throw new NotSentError("Not allowed any more");
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
    const head = readAnswerHead(raw);
    this.#head = head;
    if (head.notRun) {
      this.#refused = true;
      return true;
    }
    if (!this.#owner.attemptAnswers(this, { status, head })) {
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
    if (this.#refusalBytes > REFUSAL_BYTES) {
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
