/**
 * One request of a caller, from its header to its final answer.
 *
 * An exchange ends exactly once for its caller. Attempts may outlive it: they
 * are broken off, and what still comes from them goes to nobody.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { RefuseReason, SteeringEvent } from "@poplarthread/decisions";
import type { RequestId, TargetId } from "@poplarthread/ids";
import type { AnswerHead } from "./answer_head.ts";
import { AnswerCopy } from "./answer_copy.ts";
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

/** Where attempts go. */
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

/** What an exchange works with; one object for all exchanges of a VM. */
export interface ExchangeServices {
  readonly limits: {
    readonly bodyBytes: number;
    readonly storedAnswerBytes: number;
  };
  readonly wheel: DeadlineWheel;
  readonly targets: TargetDispatchers;
  readonly claims: KeyedClaims;
  readonly watch: AttemptWatch;
  steer(event: SteeringEvent, exchange: Exchange): void;
  /** Called once for each exchange, when its caller has its final answer. */
  ended(exchange: Exchange, end: ExchangeEnd): void;
  /** Called once nothing of the exchange is left, also no attempt. */
  settled(exchange: Exchange): void;
}

/** Learns from attempts which requests crash targets. */
export interface AttemptWatch {
  /** Until when the request is held back, in milliseconds; 0 where it may run. */
  heldBackFor(exchange: Exchange): number;
  attemptEnded(exchange: Exchange, attempt: Attempt, end: AttemptEnd): void;
}

/** A request as the listener took it in. */
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
  /** The caller is gone, but what was sent for it has to come to its end. */
  | "detached"
  | "done";

/** Up to this size, copying an answer costs less than a second write. */
const ONE_WRITE_BYTES = 4_096;

/**
 * A request on which two targets broke off may be what crashes them; a third
 * target would be next before anybody could have told. Sent again by its
 * caller, it is held back if they did crash.
 */
const MOST_BROKEN = 2;

const REFUSE_MESSAGES: Readonly<Record<RefuseReason, string>> = {
  "overload": "more requests wait than can be served in time",
  "waited-too-long": "no target became free in time",
  "no-target": "no target of the service is in use",
  "unknown-route": "the service or class is not in force",
  "attempts-failed": "no target gave an answer",
};

/** See the module's comment. */
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
  /** Attempts whose connection broke after they were sent. */
  #broken = 0;
  #winner: Attempt | undefined;
  #copy: AnswerCopy | undefined;
  /** A target may have run the request. */
  #mayHaveRun = false;
  #arrived = false;
  #wasSteered = false;
  #draining = false;
  /** Bytes of the answer that are still to come; -1 where unknown. */
  #left = -1;
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
    const most = options.route.route.deadlineMs;
    this.expiresAt = options.now +
      Math.min(options.head.deadlineMs ?? most, most);
  }

  /** A request that may run at most once, and that its caller may send again. */
  get keyed(): boolean {
    return this.head.key !== undefined &&
      this.route.route.repeat === "at-most-once";
  }

  /** Whether the decisions were asked about it. */
  get wasSteered(): boolean {
    return this.#wasSteered;
  }

  /** The whole body; undefined where it is streamed. */
  get wholeBody(): Buffer | null | undefined {
    return this.#body === undefined ? null : this.#body.buffered;
  }

  /** Whether the caller still sends its body. */
  get receiving(): boolean {
    return this.#body !== undefined && !this.#body.complete;
  }

  /** When the caller last sent something of its body. */
  get lastByteAt(): number {
    return this.#body?.lastByteAt ?? this.startedAt;
  }

  /** Takes the request in. */
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
    const heldBackMs = this.#services.watch.heldBackFor(this);
    if (heldBackMs > 0) {
      this.refuse("held-back", {
        message: "this request coincided with the crash of several targets",
        retryAfterMs: heldBackMs,
      });
      return;
    }
    if (this.keyed) {
      this.#startClaim();
      return;
    }
    this.#arrive();
  }

  bodyTooLarge(): void {
    this.refuse("too-large", {
      message:
        `the body has more than ${this.#services.limits.bodyBytes} bytes`,
      closes: true,
    });
  }

  /** The caller sends nothing of its body any more. */
  senderIsSlow(): void {
    if (this.#phase === "done" || this.#phase === "answering") {
      this.req.socket.destroy();
      return;
    }
    this.refuse("slow-sender", {
      message: "the body did not arrive in time",
      closes: true,
    });
  }

  /** A decision: send it to a target. */
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
        message: "it must not be sent again",
      });
      return;
    }
    const pool = this.#services.targets.get(target);
    if (pool === undefined) {
      attempt.onError(new NotSentError("The target is not known any more"));
      return;
    }
    const left = Math.max(1, Math.ceil(this.expiresAt - attempt.startedAt));
    pool.dispatch({
      path: this.req.url!,
      method: this.req.method as Dispatcher.HttpMethod,
      headers: [
        ...this.head.lines,
        DEADLINE_HEADER,
        String(left),
        REQUEST_ID_HEADER,
        this.id,
      ],
      body: this.#body?.content ?? null,
    }, attempt);
  }

  /** A decision: break an attempt off. */
  cancel(number: number): void {
    this.#attempts.find((one) => one.number === number)?.cancel();
  }

  /** A decision: no more attempts. */
  steeringRefuses(reason: RefuseReason, retryAfterMs: number): void {
    if (this.#phase === "answering") {
      // The decisions were restarted; an answer on its way is none of theirs.
      return;
    }
    this.#arrived = false;
    this.refuse(reason, { message: REFUSE_MESSAGES[reason], retryAfterMs });
  }

  /** Gives the caller its final answer, if it hasn't one. */
  refuse(
    reason: RefusalReason,
    details: Pick<Refusal, "message" | "retryAfterMs" | "closes"> & {
      outcome?: RequestOutcome;
      earlierUnknown?: boolean;
    },
  ): void {
    if (this.#phase === "done") {
      return;
    }
    if (this.#phase === "answering") {
      this.#breakOff();
      return;
    }
    if (this.#phase !== "detached") {
      sendRefusal(this.#res, {
        reason,
        outcome: this.#mayHaveRun ? "unknown" : "not-run",
        earlierUnknown: this.keyed && this.#claim === undefined,
        closes: this.receiving,
        ...details,
      }, this.id);
    }
    this.#finish(reason);
  }

  /** The caller's connection is closed. */
  callerClosed(): void {
    if (this.#phase === "done" || this.#phase === "detached") {
      return;
    }
    if (this.#claim !== undefined && this.#mayHaveRun) {
      // Breaking it off now would leave nobody knowing whether a booking was
      // made; its caller will send it again and gets the answer kept for it.
      this.#phase = "detached";
      return;
    }
    this.#finish("caller-gone");
  }

  /** The deadline has passed. */
  expire(): void {
    this.refuse("deadline", {
      message: "the deadline passed before there was an answer",
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

  attemptAnswers(
    attempt: Attempt,
    { status, head }: { status: number; head: AnswerHead },
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
    this.#left = head.contentLength;
    if (this.#claim !== undefined) {
      const limit = this.#services.limits.storedAnswerBytes;
      this.#copy = new AnswerCopy(status, head.lines, limit);
    }
    if (this.#phase === "steered") {
      this.#phase = "answering";
      head.lines.push(REQUEST_ID_HEADER, this.id);
      this.#res.writeHead(status, head.lines);
    }
    return true;
  }

  attemptData(attempt: Attempt, chunk: Buffer): boolean {
    if (attempt !== this.#winner) {
      return true;
    }
    this.#copy?.add(chunk);
    if (this.#phase !== "answering") {
      return true;
    }
    this.#left -= chunk.length;
    if (this.#left === 0) {
      // The end is known to follow at once: one write instead of two.
      this.#lastChunk = chunk;
      return true;
    }
    if (this.#res.write(chunk)) {
      return true;
    }
    if (!this.#draining) {
      this.#draining = true;
      this.#res.once("drain", () => {
        this.#draining = false;
        attempt.resume();
      });
    }
    return false;
  }

  attemptEnded(attempt: Attempt, end: AttemptEnd): void {
    this.#services.watch.attemptEnded(this, attempt, end);
    this.#broken += end === "failed-after-sent" ? 1 : 0;
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
    this.#settleIfOver();
  }

  #steer(event: SteeringEvent): void {
    this.#services.steer(event, this);
  }

  #arrive(): void {
    this.#phase = "steered";
    this.#arrived = true;
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
    const whole = this.wholeBody;
    this.#services.claims.claim({
      scope: keyScope(this.head.caller),
      key: this.head.key!,
      method: this.req.method!,
      path: this.req.url!,
      body: whole === undefined
        ? `stream of ${this.head.contentLength}`
        : whole,
      timeLeftMs: Math.max(1, this.expiresAt - performance.now()),
    }).then((answer) => {
      switch (answer.kind) {
        case "granted":
          this.#takeClaim(answer.claim);
          return;
        case "replay":
          this.#replay(answer.status, answer.lines, answer.body);
          return;
        case "refused":
          this.refuse(answer.reason, answer);
          return;
      }
    }).catch(() =>
      this.refuse("internal", { message: "the claim could not be decided" })
    );
  }

  #takeClaim(claim: KeyedClaim): void {
    if (this.#phase !== "claiming") {
      // The caller is gone, or has its refusal: it never will be dispatched.
      claim.end({ kind: "not-run" });
      return;
    }
    this.#claim = claim;
    this.#arrive();
  }

  #replay(status: number, lines: string[], body: Buffer): void {
    if (this.#phase !== "claiming") {
      return;
    }
    this.#res.writeHead(status, lines);
    this.#res.end(body);
    this.#finish("replayed");
  }

  /**
   * Whether one more attempt may be sent. An at-most-once request never is
   * once a target may have run it, whatever the decisions say: only a target's
   * own word that it refused before running takes that back.
   */
  #mayDispatch(): boolean {
    if (this.#phase !== "steered") {
      return false;
    }
    if (this.#body !== undefined && !this.#body.available) {
      return false;
    }
    if (this.#broken >= MOST_BROKEN) {
      return false;
    }
    return this.route.route.repeat === "idempotent" || !this.#mayHaveRun;
  }

  #winnerEnded(end: AttemptEnd): void {
    const whole = end === "answered" || end === "answered-error";
    this.#claim?.end(
      whole && this.#copy !== undefined
        ? this.#copy.outcome()
        : { kind: "unknown" },
    );
    this.#claim = undefined;
    switch (this.#phase) {
      case "answering":
        if (!whole) {
          this.#breakOff();
          return;
        }
        this.#endAnswer();
        this.#arrived = false;
        this.#finish("served");
        return;
      case "detached":
        this.#arrived = !whole;
        this.#finish("caller-gone");
        return;
      default:
        return;
    }
  }

  #endAnswer(): void {
    const chunk = this.#lastChunk;
    if (chunk === undefined || chunk.length > ONE_WRITE_BYTES) {
      this.#res.end(chunk);
      return;
    }
    // As a string it leaves in one write with the header, if that waits still.
    this.#res.end(chunk.toString("latin1"), "latin1");
  }

  /** The answer ends early: closing the connection keeps it from looking whole. */
  #breakOff(): void {
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
    if (this.#arrived) {
      this.#arrived = false;
      this.#steer({ kind: "gone", request: this.id });
    }
    for (const attempt of this.#attempts) {
      attempt.cancel();
    }
    if (this.receiving) {
      this.#body!.destroy();
    }
    this.#services.ended(this, end);
    this.#settleIfOver();
  }

  #settleIfOver(): void {
    if (this.#phase === "done" && this.#attempts.every((one) => one.ended)) {
      this.#services.settled(this);
    }
  }
}
