/**
 * One request of a caller, from its header to its final answer.
 *
 * An exchange ends exactly once for its caller; whatever it hears after that, it
 * passes over. A request that may run at most once is never sent again after a
 * byte of it was written, unless its target says that it did not run it.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AccountId, ServiceId, TargetId } from "@poplarthread/ids";
import {
  hashText,
  type LoadReport,
  type Warmth,
} from "@poplarthread/placement";
import { messageOf } from "../errors.ts";
import type { DeadlineWheel, Expiring } from "../http/deadline_wheel.ts";
import { type BodyListener, RequestBody } from "../http/request_body.ts";
import type { AdmissionRefusal, AdmittedCaller } from "./accounts/admission.ts";
import { AttemptRecord } from "./attempt_record.ts";
import { type AttemptReportServices, reportAttempt } from "./attempt_report.ts";
import { CallerReply, type EndsConnection } from "./caller_reply.ts";
import type { Route } from "./configuration.ts";
import {
  type ExchangePhase,
  type ExchangeStep,
  phaseAfter,
} from "./exchange_phase.ts";
import type { OwnAnswerReason } from "./own_answer.ts";
import type { CallerRequest, TargetAnswer } from "./ports.ts";
import type { Placeable, RequestQueue } from "./request_queue.ts";
import { startAttempt, type StartAttemptServices } from "./start_attempt.ts";
import type {
  TargetAttempt,
  TargetAttemptEnd,
  TargetAttemptOwner,
} from "./target_attempt.ts";

/** How an exchange ended, for logs and metrics. */
export type GatewayExchangeEnd = "answered" | "caller-gone" | OwnAnswerReason;

/** What an exchange works with; one object for all exchanges of a VM. */
export interface GatewayExchangeServices
  extends AttemptReportServices, StartAttemptServices {
  readonly wheel: DeadlineWheel;
  readonly queue: RequestQueue;
  /** Called once for each exchange, when its caller has its final answer. */
  ended(exchange: GatewayExchange, end: GatewayExchangeEnd): void;
  /** Called once for each attempt. */
  attemptEnded(end: TargetAttemptEnd["kind"]): void;
}

/** A request as the listener took it in. */
export interface GatewayExchangeOptions {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly caller: AdmittedCaller;
  readonly service: ServiceId;
  readonly bodyBytes: number;
  /** Version of the configuration that it is handled by. */
  readonly version: number;
  readonly now: number;
  readonly endsConnection: EndsConnection;
}

/** What is logged of an attempt. */
export interface AttemptSummary {
  readonly target: TargetId;
  readonly durationMs: number;
  readonly end: TargetAttemptEnd["kind"];
  /** The load that the target reported with its answer. */
  readonly load: LoadReport | undefined;
}

/** A retry is worth its place in the budget only with this much time left, in milliseconds: about one warm service time. */
const RETRY_LEAST_MS = 120;
/** Time that the answer needs on its way back to the caller, in milliseconds. */
const ON_THE_WAY_MS = 5;

/** See the module's comment. */
export class GatewayExchange
  implements Expiring, TargetAttemptOwner, BodyListener, Placeable {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: ServiceId;
  readonly version: number;
  readonly startedAt: number;
  readonly expiresAt: number;
  readonly aimAt: number;
  readonly priority: number;
  readonly object: number | undefined;
  readonly #services: GatewayExchangeServices;
  readonly #options: GatewayExchangeOptions;
  readonly #req: IncomingMessage;
  readonly #reply: CallerReply;
  readonly #record = new AttemptRecord();
  #phase: ExchangePhase = "reading";
  /** It was counted for its account's quota. */
  #isCounted = false;
  #body: RequestBody | undefined;
  #attempt: TargetAttempt | undefined;
  /** Whether the target of the attempt was taken to keep the object. */
  #warmth: Warmth = "unknown";
  /** The last failure that a target answered; the caller gets it if nothing better comes. */
  #failure: { answer: TargetAnswer; body: Buffer } | undefined;
  #digest: string | undefined;
  #sentAt: number | undefined;
  #retryAfterMs: number | undefined;
  #last: AttemptSummary | undefined;

  constructor(
    services: GatewayExchangeServices,
    options: GatewayExchangeOptions,
  ) {
    const { request, route, now } = options;
    this.#services = services;
    this.#req = options.req;
    this.#reply = new CallerReply(options.res, options.endsConnection);
    this.#options = options;
    this.request = request;
    this.route = route;
    this.service = options.service;
    this.version = options.version;
    this.startedAt = now;
    this.priority = options.caller.rank;
    this.aimAt = now + route.aimMs;
    const patience = request.deadlineMs === undefined
      ? route.timeoutMs
      : Math.min(request.deadlineMs - ON_THE_WAY_MS, route.timeoutMs);
    this.expiresAt = now + Math.max(1, patience);
    this.object = route.hasAffinity && request.object !== undefined
      ? hashText(`${route.host}${route.prefix}${request.object}`)
      : undefined;
  }

  /** The client account that sent it; undefined where nobody asked. */
  get account(): AccountId | undefined {
    return this.#options.caller.account;
  }

  /** The caller's connection. */
  get socket(): Socket {
    return this.#req.socket;
  }

  /** Attempts that were written to a target. */
  get attempts(): number {
    return this.#record.written;
  }

  /** The attempt that ended last. */
  get lastAttempt(): AttemptSummary | undefined {
    return this.#last;
  }

  /** When its caller was told to come back, in milliseconds; undefined where it was not. */
  get retryAfterMs(): number | undefined {
    return this.#retryAfterMs;
  }

  /** How long it waited here before it was first sent, in milliseconds. */
  get waitedMs(): number {
    return (this.#sentAt ?? performance.now()) - this.startedAt;
  }

  /** Takes the request in, unless its caller has left before. */
  start(): void {
    if (this.#phase !== "reading") {
      return;
    }
    this.#guarded(() => {
      this.#services.wheel.add(this);
      this.#services.steering.arrived(
        this.service,
        this.priority,
        this.startedAt,
      );
      if (!RequestBody.announcedBy(this.request)) {
        this.#ready();
        return;
      }
      this.#body = new RequestBody(this.#req, {
        limitBytes: this.#options.bodyBytes,
        listener: this,
        now: this.startedAt,
      });
      this.#body.start(this.request);
    });
  }

  bodyReady(): void {
    this.#guarded(() => this.#ready());
  }

  bodyTooLarge(): void {
    this.#guarded(() => this.#answer("body-too-large"));
  }

  /** What the caller sends as its body cannot be read, and its end cannot be known. */
  bodyMalformed(): void {
    // One that has no body is whole, also if it was not started yet: what cannot be
    // read came behind it.
    const hasBody = RequestBody.announcedBy(this.request);
    if (hasBody && this.#phase === "reading") {
      this.#guarded(() => this.#answer("malformed"));
    }
  }

  tryPlace(now: number, ahead: number): boolean {
    return this.#guarded(() => this.#place(now, ahead)) ?? false;
  }

  /** The caller's connection is closed. */
  callerClosed(): void {
    this.#guarded(() => {
      if (this.#enter("end")) {
        this.#finished("caller-gone");
      }
    });
  }

  /** Its time has passed. */
  expire(): void {
    this.#guarded(() => {
      if (this.#phase === "reading") {
        this.#answer("slow-body");
      } else if (this.#failure !== undefined) {
        this.#deliver(this.#failure.answer, this.#failure.body);
      } else if (this.#record.mayHaveRun) {
        this.#answer("timeout");
      } else {
        this.#answer("expired-unsent", RETRY_LEAST_MS);
      }
    });
  }

  attemptWrites(attempt: TargetAttempt, now: number): boolean {
    if (this.#attempt !== attempt) {
      return false;
    }
    return this.#guarded(() => {
      this.#record.writes();
      this.#body?.markFlowing();
      this.#services.steering.written(attempt.target, now);
      return true;
    }) ?? false;
  }

  attemptStreams(
    attempt: TargetAttempt,
    answer: TargetAnswer,
    first: Buffer,
  ): boolean {
    if (this.#attempt !== attempt) {
      return true;
    }
    return this.#guarded(() => {
      if (!this.#reply.begin(answer)) {
        this.#answer("broken");
        return true;
      }
      this.#enter("stream");
      // Another answer is out in part: this one cannot be given any more.
      this.#failure = undefined;
      return this.#reply.piece(first, () => attempt.resume());
    }) ?? true;
  }

  attemptPiece(attempt: TargetAttempt, piece: Buffer): boolean {
    if (this.#attempt !== attempt || this.#phase !== "streaming") {
      return true;
    }
    return this.#guarded(() =>
      this.#reply.piece(piece, () => attempt.resume())
    ) ?? true;
  }

  attemptEnded(attempt: TargetAttempt, end: TargetAttemptEnd): void {
    this.#guarded(() => {
      const now = performance.now();
      this.#report(attempt, end, now);
      if (this.#attempt === attempt) {
        this.#attempt = undefined;
        this.#handle(end, now);
      }
      this.#services.queue.pump(this.service, now);
    });
  }

  #ready(): void {
    if (!this.#enter("count")) {
      return;
    }
    this.#digest = this.#services.suspects.digestOf(
      this.#req.method!,
      this.#req.url!,
      this.#body?.whole,
    );
    const heldMs = this.#services.suspects.heldBackMs(
      this.#digest,
      this.startedAt,
    );
    if (heldMs > 0) {
      this.#answer("refused-by-targets", heldMs);
      return;
    }
    this.#options.caller.count((refusal) =>
      this.#guarded(() => this.#counted(refusal))
    );
  }

  /** It was counted for its account's quota. */
  #counted(refusal: AdmissionRefusal | undefined): void {
    if (refusal !== undefined) {
      this.#giveUp(refusal.reason, refusal.retryAfterMs);
    } else if (this.#enter("queue")) {
      this.#isCounted = true;
      this.#services.queue.add(this, performance.now());
    } else {
      // Its caller left while it was counted.
      this.#options.caller.uncount();
    }
  }

  /** True if it waits on. */
  #place(now: number, ahead: number): boolean {
    if (this.#phase !== "waiting") {
      return false;
    }
    const refusal = this.#options.caller.recheck();
    if (refusal !== undefined) {
      this.#giveUp(refusal.reason, refusal.retryAfterMs);
      return false;
    }
    const decision = this.#services.steering.place({
      service: this.service,
      kind: this.route.name,
      priority: this.priority,
      object: this.object,
      regions: this.#options.caller.regions,
      arrivedAt: this.startedAt,
      answerBy: this.expiresAt,
      tried: this.#record.tried,
    }, { now, ahead });
    switch (decision.kind) {
      case "send":
        this.#warmth = decision.warmth;
        this.#send(decision.target, now);
        return false;
      case "wait":
        return true;
      case "refuse":
        this.#giveUp(decision.reason, decision.retryAfterMs);
        return false;
    }
  }

  #report(attempt: TargetAttempt, end: TargetAttemptEnd, now: number): void {
    this.#last = {
      target: attempt.target,
      durationMs: now - attempt.startedAt,
      end: end.kind,
      load: "answer" in end ? end.answer.load : undefined,
    };
    this.#services.attemptEnded(end.kind);
    reportAttempt(this.#services, attempt, {
      end,
      now,
      request: this.request.requestId,
      requestKind: this.route.name,
      object: this.object,
      warmth: this.#warmth,
      digest: this.#digest,
    });
  }

  #handle(end: TargetAttemptEnd, now: number): void {
    switch (end.kind) {
      case "answered":
        this.#answered(end.answer, end.body, now);
        return;
      case "not-run":
        this.#record.didNotRun();
        this.#again(now);
        return;
      case "unreachable":
        this.#record.didNotConnect();
        if (this.#record.isOutOfReach) {
          this.#refuse("no-target", RETRY_LEAST_MS);
          return;
        }
        this.#requeue(now);
        return;
      case "broke":
        this.#broke(now);
        return;
      case "abandoned":
        return;
    }
  }

  #answered(answer: TargetAnswer, body: Buffer, now: number): void {
    if (this.#phase === "streaming") {
      this.#reply.end();
      this.#enter("end");
      this.#finished("answered");
      return;
    }
    if (answer.status >= 500 && this.route.repeat === "idempotent") {
      this.#failure = { answer, body };
      this.#record.failed();
      this.#again(now);
      return;
    }
    this.#deliver(answer, body);
  }

  #broke(now: number): void {
    if (this.#phase === "streaming" || this.route.repeat === "at-most-once") {
      this.#answer("broken");
      return;
    }
    this.#record.failed();
    this.#again(now);
  }

  /** Sends it once more where that is allowed and can still be in time. */
  #again(now: number): void {
    const { steering } = this.#services;
    const isAllowed = this.#record.written < this.route.maxAttempts &&
      this.expiresAt - now > RETRY_LEAST_MS &&
      (this.#body?.available ?? true) &&
      steering.spendRetry(this.service, now);
    if (isAllowed) {
      this.#requeue(now);
    } else {
      this.#giveUp("refused-by-targets", RETRY_LEAST_MS);
    }
  }

  /** It is not sent any more: its caller gets what a target answered, or a refusal. */
  #giveUp(reason: OwnAnswerReason, retryAfterMs: number | undefined): void {
    if (this.#failure !== undefined) {
      this.#deliver(this.#failure.answer, this.#failure.body);
    } else {
      this.#refuse(reason, retryAfterMs);
    }
  }

  #requeue(now: number): void {
    if (this.#enter("queue")) {
      this.#services.queue.add(this, now);
    }
  }

  #send(target: TargetId, now: number): void {
    const { steering } = this.#services;
    this.#record.tried.add(target);
    this.#enter("send");
    this.#sentAt ??= now;
    steering.sent(target, now);
    startAttempt(this, this.#services, {
      target,
      request: this.request,
      method: this.#req.method!,
      url: this.#req.url!,
      body: this.#body?.forAttempt ?? null,
      leftMs: Math.max(1, Math.floor(this.expiresAt - now)),
      account: this.account,
      started: (attempt) => this.#attempt = attempt,
    });
  }

  #deliver(answer: TargetAnswer, body: Buffer): void {
    if (this.#phase === "done") {
      return;
    }
    if (!this.#reply.whole(answer, body)) {
      this.#failure = undefined;
      this.#handleUnframed();
      return;
    }
    this.#enter("end");
    this.#finished("answered");
  }

  /** The answer would end a connection on which further requests wait for theirs. */
  #handleUnframed(): void {
    if (this.route.repeat === "idempotent") {
      this.#record.failed();
      this.#again(performance.now());
    } else {
      this.#answer("broken");
    }
  }

  /** Refuses it, which promises that it has not run; where nobody knows that, it failed instead. */
  #refuse(reason: OwnAnswerReason, retryAfterMs: number | undefined): void {
    if (this.#record.mayHaveRun) {
      this.#answer("broken");
    } else {
      this.#answer(reason, retryAfterMs);
    }
  }

  #answer(reason: OwnAnswerReason, retryAfterMs?: number): void {
    const isStreaming = this.#phase === "streaming";
    if (!this.#enter("end")) {
      return;
    }
    if (isStreaming) {
      // Part of the answer is out: it must not look complete.
      this.#reply.cut();
      this.#finished("broken");
      return;
    }
    this.#retryAfterMs = retryAfterMs;
    const leavesBody = this.#body !== undefined && !this.#body.complete;
    this.#reply.own(reason, { retryAfterMs, leavesBody });
    this.#finished(reason);
  }

  /**
   * Takes a step if its phase allows it. Whatever leaves an attempt behind breaks
   * that attempt off: its target would work for nobody, and its end would be taken
   * for that of the phase that follows.
   */
  #enter(step: ExchangeStep): boolean {
    const next = phaseAfter(this.#phase, step);
    if (next === undefined) {
      return false;
    }
    this.#phase = next;
    if (next !== "streaming") {
      const attempt = this.#attempt;
      this.#attempt = undefined;
      attempt?.abandon();
    }
    return true;
  }

  /** What follows the end, whose answer is out. */
  #finished(end: GatewayExchangeEnd): void {
    if (this.#isCounted && !this.#record.mayHaveRun) {
      this.#options.caller.uncount();
    }
    this.#services.wheel.delete(this);
    this.#services.queue.remove(this);
    this.#body?.destroy();
    this.#services.ended(this, end);
  }

  /**
   * Does what an event asks for. A fault in it ends this exchange alone: thrown
   * into a socket's event, it would end the process, and the callers of all other
   * requests would see their connections reset.
   */
  #guarded<T>(work: () => T): T | undefined {
    try {
      return work();
    } catch (err) {
      this.#fail(err);
      return undefined;
    }
  }

  #fail(err: unknown): void {
    this.#services.log.write("exchange failed", {
      request: this.request.requestId,
      reason: err instanceof Error ? err.stack ?? err.message : messageOf(err),
    });
    try {
      this.#answer("broken");
    } catch (second) {
      // Its answer was begun before, so it cannot be given: only a cut is true.
      this.#services.log.write("exchange failed", {
        request: this.request.requestId,
        reason: messageOf(second),
      });
      this.#reply.cut();
      this.#finished("broken");
    }
  }
}
