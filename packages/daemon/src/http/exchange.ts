/**
 * One request of a caller, from its headers to its final response.
 *
 * An exchange ends exactly once for its caller. Attempts may outlive it: they
 * are cancelled, and whatever they still receive is discarded.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { RefuseReason, SteeringEvent } from "@poplarthread/decisions";
import type { RequestId, TargetId } from "@poplarthread/ids";
import type { ResponseHead } from "./response_head.ts";
import { ResponseCopy } from "./response_copy.ts";
import { Attempt, type AttemptEnd, type AttemptOwner } from "./attempt.ts";
import type { DeadlineWheel, Expiring } from "./deadline_wheel.ts";
import { type KeyedClaim, type KeyedClaims, keyScope } from "./keyed_claims.ts";
import { DEADLINE_HEADER, REQUEST_ID_HEADER } from "./names.ts";
import {
  type Refusal,
  type RefusalReason,
  type RequestOutcome,
  sendRefusal,
} from "./refusal.ts";
import { type BodyListener, RequestBody } from "./request_body.ts";
import { NotSentError } from "../errors.ts";
import type { RequestHead } from "./request_head.ts";
import type { CompiledRoute } from "./routes.ts";

/** Looks up the connection pool of a target. */
export interface TargetDispatchers {
  get(id: TargetId): Dispatcher | undefined;
}

/** How an exchange ended, for metrics and logs. */
export type ExchangeEnd =
  | "served"
  | "replayed"
  | "caller-gone"
  | "broken"
  | RefusalReason;

/** Dependencies of exchanges; all exchanges of a VM share one object. */
export interface ExchangeServices {
  readonly limits: {
    readonly bodyBytes: number;
    readonly storedAnswerBytes: number;
  };
  readonly wheel: DeadlineWheel;
  readonly targets: TargetDispatchers;
  readonly claims: KeyedClaims;
  readonly attemptObserver: AttemptObserver;
  steer(event: SteeringEvent, exchange: Exchange): void;
  /** Called once for each exchange, when its caller has its final response. */
  ended(exchange: Exchange, end: ExchangeEnd): void;
  /** Called once for each exchange, when it and all its attempts have ended. */
  settled(exchange: Exchange): void;
}

/** Detects from attempts which requests crash targets. */
export interface AttemptObserver {
  /** How long the request is held back, in milliseconds; 0 if it may run. */
  heldBackFor(exchange: Exchange): number;
  attemptEnded(exchange: Exchange, attempt: Attempt, end: AttemptEnd): void;
}

/** A request as the listener received it. */
export interface ExchangeOptions {
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly route: CompiledRoute;
  readonly revision: number;
  readonly now: number;
}

type Phase =
  | "reading"
  | "claiming"
  | "steered"
  | "answering"
  /** The caller has disconnected, but its sent attempt has to complete. */
  | "detached"
  | "done";

/** Up to this size, copying a chunk costs less than a second write. */
const MAX_SINGLE_WRITE_BYTES = 4_096;

/**
 * A request whose connections to two targets broke may have crashed them, and a
 * retry could crash a third before the crashes are detected. If they did crash,
 * the request is held back when its caller sends it again.
 */
const MAX_BROKEN_ATTEMPTS = 2;

const REFUSE_MESSAGES: Readonly<Record<RefuseReason, string>> = {
  "overload": "more requests are queued than can be served in time",
  "waited-too-long": "no target had a free slot in time",
  "no-target": "the service has no target in use",
  "unknown-route": "the service or class is not in the configuration in force",
  "attempts-failed": "no attempt got a response from a target",
};

/** Handles one request of a caller. */
export class Exchange implements Expiring, AttemptOwner, BodyListener {
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly head: RequestHead;
  readonly route: CompiledRoute;
  readonly revision: number;
  readonly startedAt: number;
  readonly expiresAt: number;
  readonly #services: ExchangeServices;
  readonly #res: ServerResponse;
  readonly #attempts: Attempt[] = [];
  #phase: Phase = "reading";
  #body: RequestBody | undefined;
  #claim: KeyedClaim | undefined;
  #claimDispatched = false;
  /** Number of attempts whose connection broke after they were sent. */
  #brokenAttempts = 0;
  #winner: Attempt | undefined;
  #responseCopy: ResponseCopy | undefined;
  /** Whether a target may have run the request. */
  #mayHaveRun = false;
  /** Whether the decisions still track this request. */
  #inSteering = false;
  #wasSteered = false;
  #awaitingDrain = false;
  /** Bytes of the response body still to come; negative without `content-length`. */
  #remainingBytes = -1;
  #lastChunk: Buffer | undefined;

  constructor(services: ExchangeServices, options: ExchangeOptions) {
    this.#services = services;
    this.id = options.id;
    this.req = options.req;
    this.#res = options.res;
    this.head = options.head;
    this.route = options.route;
    this.revision = options.revision;
    this.startedAt = options.now;
    const maxMs = options.route.route.deadlineMs;
    this.expiresAt = options.now +
      Math.min(options.head.deadlineMs ?? maxMs, maxMs);
  }

  /** Whether the request may run at most once and carries an idempotency key. */
  get isKeyed(): boolean {
    return this.head.key !== undefined &&
      this.route.route.repeat === "at-most-once";
  }

  /** Whether the request was passed to the decisions. */
  get wasSteered(): boolean {
    return this.#wasSteered;
  }

  /** The complete body; null without one, undefined if it is streamed. */
  get bufferedBody(): Buffer | null | undefined {
    return this.#body === undefined ? null : this.#body.buffered;
  }

  /** Whether the body is still being received. */
  get isReceiving(): boolean {
    return this.#body !== undefined && !this.#body.complete;
  }

  /** Time at which the last bytes of the body arrived. */
  get lastByteAt(): number {
    return this.#body?.lastByteAt ?? this.startedAt;
  }

  /** Starts to receive the request. */
  start(): void {
    this.#services.wheel.add(this);
    if (!RequestBody.isPresent(this.head)) {
      this.bodyReady();
      return;
    }
    this.#body = new RequestBody(this.req, {
      limitBytes: this.#services.limits.bodyBytes,
      listener: this,
      now: this.startedAt,
    });
    this.#body.start(this.head);
  }

  bodyReady(): void {
    if (this.#phase !== "reading") {
      return;
    }
    const heldBackMs = this.#services.attemptObserver.heldBackFor(this);
    if (heldBackMs > 0) {
      this.refuse("held-back", {
        message: "this request coincided with the crash of several targets",
        retryAfterMs: heldBackMs,
      });
      return;
    }
    if (this.isKeyed) {
      this.#startClaim();
      return;
    }
    this.#enterSteering();
  }

  bodyGrows(): boolean {
    return true;
  }

  bodyTooLarge(): void {
    this.refuse("too-large", {
      message:
        `the body is larger than the limit of ${this.#services.limits.bodyBytes} bytes`,
      closesConnection: true,
    });
  }

  /** Ends the exchange because the caller has stopped sending its body. */
  handleSlowSender(): void {
    if (this.#phase === "done" || this.#phase === "answering") {
      this.req.socket.destroy();
      return;
    }
    this.refuse("slow-sender", {
      message: "the body did not arrive in time",
      closesConnection: true,
    });
  }

  /** Carries out a decision: sends the request to a target. */
  dispatch(target: TargetId, number: number): void {
    const attempt = new Attempt(this, {
      number,
      target,
      now: performance.now(),
    });
    this.#attempts.push(attempt);
    if (!this.#mayDispatch()) {
      attempt.cancel();
      this.refuse("attempts-failed", {
        message: "the request must not be sent again",
      });
      return;
    }
    const pool = this.#services.targets.get(target);
    if (pool === undefined) {
      attempt.onError(
        new NotSentError(
          "Cannot send the request: the target is no longer known",
        ),
      );
      return;
    }
    const remainingMs = Math.max(
      1,
      Math.ceil(this.expiresAt - attempt.startedAt),
    );
    pool.dispatch({
      path: this.req.url!,
      method: this.req.method as Dispatcher.HttpMethod,
      headers: [
        ...this.head.rawHeaders,
        DEADLINE_HEADER,
        String(remainingMs),
        REQUEST_ID_HEADER,
        this.id,
      ],
      body: this.#body?.content ?? null,
    }, attempt);
  }

  /** Carries out a decision: cancels an attempt. */
  cancel(number: number): void {
    this.#attempts.find((one) => one.number === number)?.cancel();
  }

  /** Carries out a decision: refuses the request, with no more attempts. */
  refuseBySteering(reason: RefuseReason, retryAfterMs: number): void {
    if (this.#phase === "answering") {
      // The decisions were restarted and do not know of the response in progress.
      return;
    }
    this.#inSteering = false;
    this.refuse(reason, { message: REFUSE_MESSAGES[reason], retryAfterMs });
  }

  /** Sends the caller a refusal as its final response, unless it has one already. */
  refuse(
    reason: RefusalReason,
    details: Pick<Refusal, "message" | "retryAfterMs" | "closesConnection"> & {
      outcome?: RequestOutcome;
      earlierUnknown?: boolean;
    },
  ): void {
    if (this.#phase === "done") {
      return;
    }
    if (this.#phase === "answering") {
      this.#abortResponse();
      return;
    }
    if (this.#phase !== "detached") {
      sendRefusal(this.#res, {
        reason,
        outcome: this.#mayHaveRun ? "unknown" : "not-run",
        earlierUnknown: this.isKeyed && this.#claim === undefined,
        closesConnection: this.isReceiving,
        ...details,
      }, this.id);
    }
    this.#finish(reason);
  }

  /** Called when the caller's connection has closed. */
  callerClosed(): void {
    if (this.#phase === "done" || this.#phase === "detached") {
      return;
    }
    if (this.#claim !== undefined && this.#mayHaveRun) {
      // Cancelling now would leave it unknown whether the operation was carried
      // out. The caller can repeat the request and gets the stored response.
      this.#phase = "detached";
      return;
    }
    this.#finish("caller-gone");
  }

  /** Called when the deadline has passed. */
  expire(): void {
    this.refuse("deadline", {
      message: "the deadline passed before a response arrived",
      ...(this.#mayHaveRun ? {} : { retryAfterMs: 1_000 }),
    });
  }

  attemptMaySend(): boolean {
    if (!this.#mayDispatch()) {
      return false;
    }
    if (!this.#claimDispatched && this.#claim?.mayDispatch() === false) {
      return false;
    }
    this.#claimDispatched = true;
    this.#mayHaveRun = true;
    this.#body?.markSendStarted();
    return true;
  }

  attemptHeaders(
    attempt: Attempt,
    { status, head }: { status: number; head: ResponseHead },
  ): boolean {
    if (
      this.#winner !== undefined ||
      (this.#phase !== "steered" && this.#phase !== "detached")
    ) {
      return false;
    }
    this.#winner = attempt;
    this.#steer({
      kind: "answering",
      request: this.id,
      attempt: attempt.number,
    });
    this.#remainingBytes = head.contentLength;
    if (this.#claim !== undefined) {
      const limit = this.#services.limits.storedAnswerBytes;
      this.#responseCopy = new ResponseCopy(status, head.rawHeaders, limit);
    }
    if (this.#phase === "steered") {
      this.#phase = "answering";
      head.rawHeaders.push(REQUEST_ID_HEADER, this.id);
      this.#res.writeHead(status, head.rawHeaders);
    }
    return true;
  }

  attemptData(attempt: Attempt, chunk: Buffer): boolean {
    if (attempt !== this.#winner) {
      return true;
    }
    this.#responseCopy?.add(chunk);
    if (this.#phase !== "answering") {
      return true;
    }
    this.#remainingBytes -= chunk.length;
    if (this.#remainingBytes === 0) {
      // The end follows immediately, so the chunk is sent with it in one write.
      this.#lastChunk = chunk;
      return true;
    }
    if (this.#res.write(chunk)) {
      return true;
    }
    if (!this.#awaitingDrain) {
      this.#awaitingDrain = true;
      this.#res.once("drain", () => {
        this.#awaitingDrain = false;
        attempt.resume();
      });
    }
    return false;
  }

  attemptEnded(attempt: Attempt, end: AttemptEnd): void {
    this.#services.attemptObserver.attemptEnded(this, attempt, end);
    this.#brokenAttempts += end === "failed-after-sent" ? 1 : 0;
    if (attempt.sent && (end === "refused-not-run" || end === "leaving")) {
      this.#mayHaveRun = this.#attempts.some((one) =>
        one !== attempt && one.sent && !one.refusedNotRun
      );
    }
    if (attempt === this.#winner) {
      this.#winnerEnded(end);
    }
    this.#steer({
      kind: "ended",
      request: this.id,
      attempt: attempt.number,
      outcome: end,
    });
    this.#settleIfDone();
  }

  #steer(event: SteeringEvent): void {
    this.#services.steer(event, this);
  }

  #enterSteering(): void {
    this.#phase = "steered";
    this.#inSteering = true;
    this.#wasSteered = true;
    const { route } = this.route;
    this.#steer({
      kind: "arrive",
      request: this.id,
      caller: this.head.caller,
      service: route.service,
      class: route.class,
      deadlineMs: this.expiresAt - performance.now(),
      repeat: route.repeat,
    });
  }

  #startClaim(): void {
    this.#phase = "claiming";
    const body = this.bufferedBody;
    this.#services.claims.claim({
      scope: keyScope(this.head.caller),
      key: this.head.key!,
      method: this.req.method!,
      path: this.req.url!,
      body: body === undefined ? `stream of ${this.head.contentLength}` : body,
      timeLeftMs: Math.max(1, this.expiresAt - performance.now()),
    }).then((result) => {
      switch (result.kind) {
        case "granted":
          this.#acceptClaim(result.claim);
          return;
        case "replay":
          this.#replay(result.status, result.rawHeaders, result.body);
          return;
        case "refused":
          this.refuse(result.reason, result);
          return;
      }
    }).catch(() =>
      this.refuse("internal", {
        message: "cannot claim the idempotency key: internal error",
      })
    );
  }

  #acceptClaim(claim: KeyedClaim): void {
    if (this.#phase !== "claiming") {
      // The caller has disconnected or was refused: the request is never dispatched.
      claim.end({ kind: "not-run" });
      return;
    }
    this.#claim = claim;
    this.#enterSteering();
  }

  #replay(status: number, rawHeaders: string[], body: Buffer): void {
    if (this.#phase !== "claiming") {
      return;
    }
    this.#res.writeHead(status, rawHeaders);
    this.#res.end(body);
    this.#finish("replayed");
  }

  /**
   * Whether one more attempt may be sent. Once a target may have run an
   * at-most-once request, it is never sent again, whatever the decisions say,
   * unless that target reports that it refused the request without running it.
   */
  #mayDispatch(): boolean {
    if (this.#phase !== "steered") {
      return false;
    }
    if (this.#body !== undefined && !this.#body.available) {
      return false;
    }
    if (this.#brokenAttempts >= MAX_BROKEN_ATTEMPTS) {
      return false;
    }
    return this.route.route.repeat === "idempotent" || !this.#mayHaveRun;
  }

  #winnerEnded(end: AttemptEnd): void {
    const isComplete = end === "answered" || end === "answered-error";
    this.#claim?.end(
      isComplete && this.#responseCopy !== undefined
        ? this.#responseCopy.outcome()
        : { kind: "unknown" },
    );
    this.#claim = undefined;
    switch (this.#phase) {
      case "answering":
        if (!isComplete) {
          this.#abortResponse();
          return;
        }
        this.#endResponse();
        this.#inSteering = false;
        this.#finish("served");
        return;
      case "detached":
        this.#inSteering = !isComplete;
        this.#finish("caller-gone");
        return;
      default:
        return;
    }
  }

  #endResponse(): void {
    const chunk = this.#lastChunk;
    if (chunk === undefined || chunk.length > MAX_SINGLE_WRITE_BYTES) {
      this.#res.end(chunk);
      return;
    }
    // Node sends a string in one write with headers that are still unsent.
    this.#res.end(chunk.toString("latin1"), "latin1");
  }

  /** Closes the connection, so that a truncated response does not look complete. */
  #abortResponse(): void {
    this.#res.destroy();
    this.#finish("broken");
  }

  #finish(end: ExchangeEnd): void {
    this.#phase = "done";
    this.#services.wheel.delete(this);
    if (this.#claim !== undefined) {
      this.#claim.end({ kind: this.#mayHaveRun ? "unknown" : "not-run" });
      this.#claim = undefined;
    }
    if (this.#inSteering) {
      this.#inSteering = false;
      this.#steer({ kind: "gone", request: this.id });
    }
    for (const attempt of this.#attempts) {
      attempt.cancel();
    }
    if (this.isReceiving) {
      this.#body!.destroy();
    }
    this.#services.ended(this, end);
    this.#settleIfDone();
  }

  #settleIfDone(): void {
    if (this.#phase === "done" && this.#attempts.every((one) => one.ended)) {
      this.#services.settled(this);
    }
  }
}
