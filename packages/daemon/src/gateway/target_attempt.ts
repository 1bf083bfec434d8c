/**
 * One sending of a request to one target. It knows exactly whether a byte of
 * the request may have reached the network, and takes an answer only if it is
 * whole and belongs to the request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { NotSentError, WrongAnswerError } from "../errors.ts";
import type { TargetConnection } from "./connections.ts";
import type { Dialect, TargetAnswer } from "./ports.ts";

/** How an attempt ended. */
export type TargetAttemptEnd =
  /** A whole answer; its body is empty where it was streamed to the owner. */
  | {
    readonly kind: "answered";
    readonly answer: TargetAnswer;
    readonly body: Buffer;
  }
  /** The target refused before running. */
  | { readonly kind: "not-run"; readonly answer: TargetAnswer }
  /** Nothing was sent: no connection came about. */
  | { readonly kind: "unreachable"; readonly err: Error }
  /** It was sent, and no whole answer of its own came. */
  | { readonly kind: "broke"; readonly err: Error }
  /** The owner broke it off. */
  | { readonly kind: "abandoned" };

/** Who gets an attempt's answer. */
export interface TargetAttemptOwner {
  /** Right before the first byte is sent. False: it must not be sent. */
  attemptWrites(attempt: TargetAttempt, now: number): boolean;
  /**
   * A large answer begins to be handed over in pieces; the rest follows through
   * `attemptPiece`. False: nobody wants it.
   */
  attemptStreams(
    attempt: TargetAttempt,
    answer: TargetAnswer,
    first: Buffer,
  ): boolean;
  /** A further piece of a large answer. False: no more until `resume`. */
  attemptPiece(attempt: TargetAttempt, piece: Buffer): boolean;
  /** Called once, last. */
  attemptEnded(attempt: TargetAttempt, end: TargetAttemptEnd): void;
}

/**
 * Answers up to this size are held until they are whole, so that one which ends
 * early can be asked for again instead of reaching the caller in part. Larger
 * ones are streamed: 100 of them at once stay within 26 MB.
 */
const HELD_ANSWER_BYTES = 262_144;

/** What an attempt works with. */
export interface TargetAttemptOptions {
  readonly target: TargetId;
  readonly requestId: string;
  readonly connection: TargetConnection;
  readonly dialect: Dialect;
}

/** Handles undici's events; see the module's comment. */
export class TargetAttempt implements Dispatcher.DispatchHandler {
  readonly target: TargetId;
  readonly connection: TargetConnection;
  readonly startedAt = performance.now();
  readonly #owner: TargetAttemptOwner;
  readonly #options: TargetAttemptOptions;
  #writtenAt: number | undefined;
  #ended = false;
  #abandoned = false;
  #abort: ((err?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #answer: TargetAnswer | undefined;
  #pieces: Buffer[] = [];
  #held = 0;
  #streams = false;

  constructor(owner: TargetAttemptOwner, options: TargetAttemptOptions) {
    this.#owner = owner;
    this.#options = options;
    this.target = options.target;
    this.connection = options.connection;
  }

  /** When its first byte was written; undefined where none may have been. */
  get writtenAt(): number | undefined {
    return this.#writtenAt;
  }

  /** Breaks it off and cuts its connection, so that the target stops its work. */
  abandon(): void {
    if (this.#ended) {
      return;
    }
    this.#abandoned = true;
    this.#abort?.(new NotSentError("Abandoned"));
    this.connection.destroy();
    this.#end({ kind: "abandoned" });
  }

  /** Lets a streamed answer flow again. */
  resume(): void {
    this.#resume?.();
  }

  /** Called by undici right before it writes the request, and never otherwise. */
  onConnect(abort: (err?: Error) => void): void {
    if (this.#abandoned || this.#writtenAt !== undefined) {
      // The second case: undici would write the request again after a reset.
      // Whether that is allowed is not for a connection to say.
      throw new NotSentError("Not wanted any more");
    }
    const now = performance.now();
    if (!this.#owner.attemptWrites(this, now)) {
      this.#abandoned = true;
      throw new NotSentError("Not allowed any more");
    }
    this.#writtenAt = now;
    this.#abort = abort;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < 200 || this.#ended) {
      return true;
    }
    this.#resume = resume;
    const answer = this.#options.dialect.readAnswer(status, raw);
    if (
      answer.requestId !== undefined &&
      answer.requestId !== this.#options.requestId
    ) {
      // A second answer to an earlier request on this connection. The caller
      // would take it for its own, so nothing more is read here.
      this.#refuse("The answer belongs to another request");
      return false;
    }
    if (status < 300 && !answer.isStamped) {
      this.#refuse("The answer does not come from the target");
      return false;
    }
    this.#answer = answer;
    return true;
  }

  onData(piece: Buffer): boolean {
    if (this.#ended) {
      return true;
    }
    if (this.#streams) {
      return this.#owner.attemptPiece(this, piece);
    }
    this.#pieces.push(piece);
    this.#held += piece.length;
    if (this.#held <= HELD_ANSWER_BYTES) {
      return true;
    }
    this.#streams = true;
    const first = Buffer.concat(this.#pieces);
    this.#pieces = [];
    return this.#owner.attemptStreams(this, this.#answer!, first);
  }

  onComplete(): void {
    const answer = this.#answer!;
    if (this.connection.wasCut(answer.isChunked)) {
      const err = new WrongAnswerError("The answer was cut short");
      this.#end({ kind: "broke", err });
      return;
    }
    if (answer.notRun) {
      this.#end({ kind: "not-run", answer });
      return;
    }
    const body = this.#pieces.length === 1
      ? this.#pieces[0]!
      : Buffer.concat(this.#pieces);
    this.#end({ kind: "answered", answer, body });
  }

  onError(err: Error): void {
    if (this.#abandoned) {
      this.#end({ kind: "abandoned" });
    } else if (this.#writtenAt === undefined) {
      this.#end({ kind: "unreachable", err });
    } else {
      this.#end({ kind: "broke", err });
    }
  }

  #refuse(why: string): void {
    const err = new WrongAnswerError(why);
    this.#end({ kind: "broke", err });
    this.#abort?.(err);
  }

  #end(end: TargetAttemptEnd): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#owner.attemptEnded(this, end);
  }
}
