/**
 * The handling of one caller request, from its header to its final response.
 *
 * An exchange ends exactly once for its caller and ignores every later event. An
 * at-most-once request is never sent again after a byte of it was written, unless
 * the target reports that it did not run the request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type {
  Fingerprint,
  TargetRun,
} from "@poplarthread/coordination/held_back";
import type { AccountId, ServiceId, TargetId } from "@poplarthread/ids";
import {
  type GateCause,
  type PlacedVia,
  type PlacementRequest,
  type Warmth,
} from "@poplarthread/placement";
import { messageOf } from "../errors.ts";
import type { Expiring } from "../http/deadline_wheel.ts";
import { type BodyListener, RequestBody } from "../http/request_body.ts";
import type { AdmissionRefusal } from "./accounts/admission.ts";
import { AttemptRecord } from "./attempt_record.ts";
import {
  isRoomRefusal,
  reportAttempt,
  reportWorkDone,
  summaryOf,
  type WorkReport,
} from "./attempt_report.ts";
import { CallerResponse } from "./caller_response.ts";
import type { Route } from "./configuration.ts";
import {
  type ExchangePhase,
  type ExchangeStep,
  phaseAfter,
} from "./exchange_phase.ts";
import type {
  AttemptSummary,
  ExchangeSummary,
  GatewayExchangeEnd,
  GatewayExchangeOptions,
  GatewayExchangeServices,
} from "./exchange_types.ts";
import { LEAVING_RETRY_MS, type LocalReplyReason } from "./local_reply.ts";
import type { CallerRequest, TargetResponse } from "./ports.ts";
import type { Placeable, WaitReason } from "./request_queue.ts";
import type { ForwardAttempt } from "./forwarding/forwarding.ts";
import {
  type ForwardingExchange,
  RequestForwards,
} from "./forwarding/request_forwards.ts";
import { fingerprintsOf } from "./request_fingerprints.ts";
import type { ResponseHold } from "./response_budget.ts";
import { expiryOf, objectOf } from "./request_terms.ts";
import type { OrderedRequest } from "./response_order.ts";
import { startAttempt } from "./start_attempt.ts";
import type {
  TargetAttempt,
  TargetAttemptEnd,
  TargetAttemptOwner,
} from "./target_attempt.ts";

const NO_BODY = Buffer.alloc(0);
/** Minimum time left for a retry to be worth spending retry budget: about one service time on a warm target. */
const MIN_RETRY_TIME_MS = 120;
/** Retry-After while this VM has no memory for a response: slow callers free some within about a second. */
const MEMORY_RETRY_MS = 1_000;
/** Retry-After while neither this VM nor another one reaches targets: both check that twice a second. */
const NO_LINKS_RETRY_MS = 500;

/** The state of one request; see the module comment. */
export class GatewayExchange
  implements
    Expiring,
    TargetAttemptOwner,
    BodyListener,
    Placeable,
    OrderedRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: ServiceId;
  readonly version: number;
  readonly #era: number;
  readonly startedAt: number;
  readonly expiresAt: number;
  /** When the route's latency objective is missed. */
  readonly objectiveAt: number;
  readonly priority: number;
  /** Hash of the object that the request concerns; undefined if the route has no affinity. */
  readonly object: number | undefined;
  /** Why it was refused on arrival for lack of room; undefined if it was not. */
  refusalCause: GateCause | undefined;
  readonly #services: GatewayExchangeServices;
  readonly #options: GatewayExchangeOptions;
  readonly #req: IncomingMessage;
  readonly #response: CallerResponse;
  readonly #attempts: AttemptRecord;
  #phase: ExchangePhase = "reading";
  /** Whether the request has been counted against its account's quota. */
  #isCountedForQuota = false;
  #body: RequestBody | undefined;
  readonly #bodyHold: ResponseHold;
  #attempt: TargetAttempt | ForwardAttempt | undefined;
  /** Undefined unless the request is forwarded to other VMs. */
  #forwards: RequestForwards | undefined;
  /** Whether the target of the current attempt was expected to hold the object in its cache. */
  #warmth: Warmth = "unknown";
  #placedVia: PlacedVia | undefined;
  #waitsFor: WaitReason = "capacity";
  /** The latest error response of a target; sent to the caller if no retry succeeds. */
  #failedResponse:
    | { response: TargetResponse; body: readonly Buffer[] }
    | undefined;
  /** What repeats of the request have in common. */
  #fingerprints: readonly Fingerprint[] = [];
  /** The run of the target that the current attempt was sent to. */
  #run: TargetRun | undefined;
  /** Whether the next attempt is a retry that was taken from the service's retry budget. */
  #isRetryTaken = false;
  #firstSentAt: number | undefined;
  #retryAfterMs: number | undefined;
  #lastAttempt: AttemptSummary | undefined;

  constructor(
    services: GatewayExchangeServices,
    options: GatewayExchangeOptions,
  ) {
    const { request, route, now } = options;
    this.#services = services;
    this.#req = options.req;
    this.#bodyHold = services.budget.open(route.name);
    this.#response = new CallerResponse(options.res, {
      hold: services.budget.open(route.name),
      wheel: services.wheel,
      endsConnection: options.endsConnection,
      method: options.req.method!,
      isForPeer: options.forwarded !== undefined,
      stalled: () => this.#guarded(() => this.#cut("caller-stalled")),
    });
    this.#options = options;
    this.#attempts = new AttemptRecord(options.forwarded?.attempts);
    this.request = request;
    this.route = route;
    this.service = options.service;
    this.version = options.version;
    this.#era = options.era;
    this.startedAt = now;
    this.priority = options.caller.rank;
    this.objectiveAt = now + route.latencyObjectiveMs;
    this.expiresAt = expiryOf(request, route, now);
    this.object = objectOf(request, route);
  }

  /** The client account that sent the request; undefined if callers are not identified. */
  get account(): AccountId | undefined {
    return this.#options.caller.account;
  }

  /** The caller's connection. */
  get socket(): Socket {
    return this.#req.socket;
  }

  get waitsFor(): WaitReason {
    return this.#waitsFor;
  }

  get isReady(): boolean {
    return this.#phase === "delivering";
  }

  get isStreaming(): boolean {
    return this.#phase === "streaming";
  }

  mayLastUntil(time: number): boolean {
    return !this.isReady && this.#phase !== "done" && this.expiresAt > time;
  }

  giveUpForStop(): void {
    this.#guarded(() => this.#giveUp("leaving", LEAVING_RETRY_MS));
  }

  /** What the request has met so far. */
  get summary(): ExchangeSummary {
    return {
      attempts: this.#attempts.written,
      lastAttempt: this.#lastAttempt,
      placedVia: this.#placedVia,
      forwardedTo: this.#forwards?.latest,
      forwardedFrom: this.#options.forwarded?.from,
      retryAfterMs: this.#retryAfterMs,
      delivery: this.#response.summary,
      waitedMs: (this.#firstSentAt ?? performance.now()) - this.startedAt,
    };
  }

  /** Starts handling the request, unless its caller has already disconnected. */
  start(): void {
    if (this.#phase !== "reading") {
      return;
    }
    this.#guarded(() => {
      this.#services.wheel.add(this);
      this.#services.steering.arrived(this.service, this.priority, {
        now: this.startedAt,
        isForwarded: this.#options.forwarded !== undefined,
      });
      if (!RequestBody.isPresent(this.request)) {
        this.#bodyComplete();
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
    this.#guarded(() => this.#bodyComplete());
  }

  bodyTooLarge(): void {
    this.#guarded(() => this.#replyLocally("body-too-large"));
  }

  bodyGrows(bytes: number): boolean {
    return this.#guarded(() => {
      this.#bodyHold.resize(bytes);
      if (this.#bodyHold.mayGrow(0)) {
        return true;
      }
      this.#refuse("memory-used-up", MEMORY_RETRY_MS);
      return false;
    }) ?? false;
  }

  /** The caller's input cannot be parsed, so the end of a body in progress is unknown. */
  bodyMalformed(): void {
    // A request without a body is complete, even if not started yet: the malformed
    // input follows it.
    const hasBody = RequestBody.isPresent(this.request);
    if (hasBody && this.#phase === "reading") {
      this.#guarded(() => this.#replyLocally("malformed"));
    }
  }

  tryPlace(now: number, ahead: number): boolean {
    return this.#guarded(() => this.#place(now, ahead)) ?? false;
  }

  /** The caller has closed its connection. */
  callerClosed(): void {
    this.#guarded(() => {
      if (this.#transition("end")) {
        this.#finish("caller-gone");
      }
    });
  }

  /** The request's deadline has passed. */
  expire(): void {
    this.#guarded(() => {
      if (this.#phase === "reading") {
        this.#replyLocally("slow-body");
      } else if (this.#failedResponse !== undefined) {
        this.#deliver(this.#failedResponse.response, this.#failedResponse.body);
      } else if (this.#attempts.mayHaveRun) {
        this.#replyLocally("timeout");
      } else {
        this.#replyLocally("expired-unsent", MIN_RETRY_TIME_MS);
      }
    });
  }

  attemptWriting(attempt: TargetAttempt, now: number): boolean {
    return this.#writing(
      attempt,
      () => this.#services.steering.written(attempt.target, now),
    );
  }

  attemptBuffering(attempt: TargetAttempt, bytes: number): boolean {
    return this.#attempt !== attempt || this.#response.mayBuffer(bytes);
  }

  attemptStreaming(
    attempt: TargetAttempt,
    response: TargetResponse,
    firstChunk: Buffer,
  ): boolean {
    const goesOn = this.#beginStream(attempt, response, firstChunk);
    return goesOn || this.#pauseStream(attempt);
  }

  attemptChunk(attempt: TargetAttempt, chunk: Buffer): boolean {
    return this.#continueStream(attempt, chunk) || this.#pauseStream(attempt);
  }

  attemptEnded(attempt: TargetAttempt, end: TargetAttemptEnd): void {
    this.#guarded(() => {
      const now = performance.now();
      this.#reportEnd(attempt, end, now);
      if (this.#attempt === attempt) {
        this.#attempt = undefined;
        this.#handleAttemptEnd(end, now);
      }
      this.#services.queue.placeWaiting(this.service, now);
    });
  }

  #writing(
    attempt: TargetAttempt | ForwardAttempt,
    report: () => void,
  ): boolean {
    if (this.#attempt !== attempt) {
      return false;
    }
    return this.#guarded(() => {
      this.#attempts.writing();
      this.#body?.markSendStarted();
      report();
      return true;
    }) ?? false;
  }

  #bodyComplete(): void {
    if (!this.#transition("count")) {
      return;
    }
    this.#fingerprints = fingerprintsOf({
      host: this.request.host,
      method: this.#req.method!,
      url: this.#req.url!,
      object: this.request.object,
      body: this.#body === undefined ? NO_BODY : this.#body.buffered,
      bodyBytes: this.request.contentLength,
      caller: this.#callerIdentity,
    });
    if (this.#isHeldBack(performance.now())) {
      return;
    }
    this.#options.caller.chargeQuota((refusal) =>
      this.#guarded(() => this.#quotaChecked(refusal))
    );
  }

  /** Refuses the request if it is held back, since it crashes its targets. */
  #isHeldBack(now: number): boolean {
    const { suspects } = this.#services;
    const heldMs = suspects.heldBackMs(this.#fingerprints, now, this);
    if (heldMs > 0) {
      this.#giveUp("held-back", heldMs);
    }
    return heldMs > 0;
  }

  /** Tells callers apart: the account, or else the address. */
  get #callerIdentity(): string {
    const { forwarded, caller } = this.#options;
    return caller.account ?? forwarded?.caller ??
      this.socket.remoteAddress ?? "";
  }

  /** Handles the result of counting the request against its account's quota. */
  #quotaChecked(refusal: AdmissionRefusal | undefined): void {
    if (refusal !== undefined) {
      this.#giveUp(refusal.reason, refusal.retryAfterMs);
    } else if (this.#transition("queue")) {
      this.#isCountedForQuota = true;
      this.#enqueue(performance.now());
    } else {
      // The caller disconnected while the quota was being checked.
      this.#options.caller.refundQuota();
    }
  }

  /** Queues the new request, unless its service has no room for it. */
  #enqueue(now: number): void {
    const { steering, queue } = this.#services;
    if (steering.isCutOff) {
      // Demand and room are for the VM that the request is forwarded to.
      queue.add(this, now);
      return;
    }
    const request = this.#placementRequest();
    steering.admitted(request);
    const refusal = steering.checkRoom(request, now);
    if (refusal === undefined) {
      queue.add(this, now);
    } else {
      this.refusalCause = refusal.cause;
      this.#giveUp(refusal.reason, refusal.retryAfterMs);
    }
  }

  #placementRequest(): PlacementRequest {
    return {
      service: this.service,
      kind: this.route.name,
      priority: this.priority,
      routePriority: this.route.priority,
      object: this.object,
      account: this.account,
      regions: this.#options.caller.regions,
      arrivedAt: this.startedAt,
      deadlineAt: this.expiresAt,
      objectiveAt: this.objectiveAt,
      tried: this.#attempts.tried,
    };
  }

  /** Tries to place the request; returns true if it has to keep waiting. */
  #place(now: number, ahead: number): boolean {
    if (this.#phase !== "waiting") {
      return false;
    }
    const refusal = this.#options.caller.recheck();
    if (refusal !== undefined) {
      this.#giveUp(refusal.reason, refusal.retryAfterMs);
      return false;
    }
    if (this.#isHeldBack(now)) {
      return false;
    }
    if (this.#services.plannedStop.refuses(this.expiresAt, now)) {
      this.#giveUp("leaving", LEAVING_RETRY_MS);
      return false;
    }
    if (this.#mayBeCutBehind) {
      this.#waitsFor = "earlier-response";
      return true;
    }
    const { budget, steering } = this.#services;
    if (this.#attempts.written === 0 && !budget.admits(this.route.name)) {
      this.#refuse("memory-used-up", MEMORY_RETRY_MS);
      return false;
    }
    if (this.#forward(now)) {
      return false;
    }
    if (steering.losesRequests(now)) {
      this.#giveUp(
        "no-target",
        this.#forwards?.retryAfterMs ?? NO_LINKS_RETRY_MS,
      );
      return false;
    }
    const decision = steering
      .place(this.#placementRequest(), { now, ahead });
    this.#waitsFor = decision.kind === "wait" && decision.for === "homes"
      ? "homes"
      : "capacity";
    switch (decision.kind) {
      case "send":
        this.#warmth = decision.warmth;
        this.#placedVia = decision.via;
        if (this.#mayAttempt(now)) {
          this.#send(decision.target, now);
        }
        return false;
      case "wait":
        return true;
      case "refuse":
        this.#giveUp(decision.reason, decision.retryAfterMs);
        return false;
    }
  }

  /**
   * Whether the planned stop may cut an earlier request on the connection: a response
   * that is ready behind it would be lost.
   */
  get #mayBeCutBehind(): boolean {
    const { plannedStop } = this.#services;
    return plannedStop.hasBegun &&
      (this.#options.isBehindUntil?.(plannedStop.cutsAt) ?? false);
  }

  /** Whether the request may be sent now; gives up if it is a retry that is no longer allowed. */
  #mayAttempt(now: number): boolean {
    if (!this.#isRetryTaken) {
      return true;
    }
    this.#isRetryTaken = false;
    const isAllowed = this.#services.steering.sendRetry(this.service, now);
    if (!isAllowed) {
      this.#giveUp("refused-by-targets", MIN_RETRY_TIME_MS);
    }
    return isAllowed;
  }

  /** Forwards the request if this VM reaches no target; returns false if it is not to be forwarded. */
  #forward(now: number): boolean {
    const { forwarding, steering } = this.#services;
    if (forwarding === undefined || !steering.isCutOff) {
      return false;
    }
    const isFromCaller = this.#options.forwarded === undefined;
    if (!isFromCaller || !(this.#body?.available ?? true)) {
      return false;
    }
    this.#forwards ??= new RequestForwards(forwarding, {
      request: this.request,
      method: this.#req.method!,
      url: this.#req.url!,
      regions: this.#options.caller.regions,
    }, this.#forwardingExchange());
    const peer = this.#forwards.next(now);
    if (peer === undefined) {
      return false;
    }
    if (!this.#mayAttempt(now)) {
      return true;
    }
    this.#beginAttempt(now);
    this.#forwards.start(peer, {
      body: this.#body?.content ?? null,
      info: {
        version: this.version,
        era: this.#era,
        elapsedMs: now - this.startedAt,
        remainingMs: Math.max(1, Math.floor(this.expiresAt - now)),
        attempts: this.#attempts.written,
        caller: this.#callerIdentity,
      },
      started: (attempt) => this.#attempt = attempt,
    });
    return true;
  }

  /** This exchange as the attempts to forward its request use it. */
  #forwardingExchange(): ForwardingExchange {
    return {
      writing: (attempt) => this.#writing(attempt, () => undefined),
      mayBuffer: (attempt, bytes) =>
        this.#attempt !== attempt || this.#response.mayBuffer(bytes),
      beginStream: (attempt, response, firstChunk) =>
        this.#beginStream(attempt, response, firstChunk),
      continueStream: (attempt, chunk) => this.#continueStream(attempt, chunk),
      ended: (attempt, handle) =>
        this.#guarded(() => {
          if (this.#attempt === attempt) {
            this.#attempt = undefined;
            handle(performance.now());
          }
        }),
      responded: (response, body) => this.#handleFinalResponse(response, body),
      didNotRun: () => this.#attempts.didNotRun(),
      requeue: (now) => this.#requeue(now),
      broke: (now) => {
        // The other VM does not say how many of the attempts it has made.
        this.#attempts.mayHaveReached(this.route.maxAttempts);
        this.#handleBroken(now);
      },
      refuse: ({ reason, retryAfterMs }) => this.#refuse(reason, retryAfterMs),
    };
  }

  /** Begins to pass a response on; returns false to pause it. */
  #beginStream(
    attempt: TargetAttempt | ForwardAttempt,
    response: TargetResponse,
    firstChunk: Buffer,
  ): boolean {
    if (this.#attempt !== attempt) {
      return true;
    }
    return this.#guarded(() => {
      if (!this.#response.writeHead(response)) {
        this.#replyLocally("broken");
        return true;
      }
      this.#transition("stream");
      // This response has been partly sent, so the earlier error response must not follow.
      this.#failedResponse = undefined;
      return this.#writeChunk(attempt, firstChunk);
    }) ?? true;
  }

  #continueStream(
    attempt: TargetAttempt | ForwardAttempt,
    chunk: Buffer,
  ): boolean {
    if (this.#attempt !== attempt || this.#phase !== "streaming") {
      return true;
    }
    return this.#guarded(() => this.#writeChunk(attempt, chunk)) ?? true;
  }

  #writeChunk(
    attempt: TargetAttempt | ForwardAttempt,
    chunk: Buffer,
  ): boolean {
    return this.#response.writeChunk(chunk, () => attempt.resume());
  }

  /** While the caller does not take more, the target is paused and free for others. */
  #pauseStream(attempt: TargetAttempt): false {
    this.#guarded(() => {
      const now = performance.now();
      reportWorkDone(this.#services, attempt, this.#report(now));
      this.#services.queue.placeWaiting(this.service, now);
    });
    return false;
  }

  #reportEnd(attempt: TargetAttempt, end: TargetAttemptEnd, now: number): void {
    this.#lastAttempt = summaryOf(attempt, end, now);
    this.#services.attemptEnded(end.kind);
    reportAttempt(this.#services, attempt, { ...this.#report(now), end });
  }

  #report(now: number): WorkReport {
    return {
      now,
      request: this.request.requestId,
      requestKind: this.route.name,
      object: this.object,
      warmth: this.#warmth,
      fingerprints: this.#fingerprints,
      run: this.#run,
    };
  }

  #handleAttemptEnd(end: TargetAttemptEnd, now: number): void {
    switch (end.kind) {
      case "answered":
        this.#handleResponse(end.response, end.body, now);
        return;
      case "not-run":
        this.#attempts.didNotRun();
        this.#clearRefusal(end.response, now);
        this.#retry(now);
        return;
      case "unsendable":
        this.#replyLocally("malformed");
        return;
      case "unreachable":
        this.#attempts.didNotConnect();
        if (this.#attempts.hasTooManyFailedConnects) {
          this.#refuse("no-target", MIN_RETRY_TIME_MS);
          return;
        }
        this.#requeue(now);
        return;
      case "broke":
        this.#handleBroken(now);
        return;
      case "abandoned":
        return;
    }
  }

  #handleResponse(
    response: TargetResponse,
    body: readonly Buffer[],
    now: number,
  ): void {
    if (
      response.status >= 500 && this.#phase !== "streaming" &&
      this.route.repeat === "idempotent"
    ) {
      this.#failedResponse = { response, body };
      this.#attempts.failed();
      this.#retry(now);
      return;
    }
    this.#handleFinalResponse(response, body);
  }

  #handleFinalResponse(
    response: TargetResponse,
    body: readonly Buffer[],
  ): void {
    if (this.#phase === "streaming") {
      this.#response.end();
      this.#awaitDelivery();
    } else {
      this.#deliver(response, body);
    }
  }

  #handleBroken(now: number): void {
    if (this.#phase === "streaming" || this.route.repeat === "at-most-once") {
      this.#replyLocally("broken");
      return;
    }
    this.#attempts.failed();
    if (this.#services.suspects.isSuspect(this.#fingerprints, now)) {
      this.#giveUp("broken", undefined);
    } else {
      this.#retry(now);
    }
  }

  /** Allows the target that refused the request once more, where others would refuse it as well. */
  #clearRefusal(response: TargetResponse, now: number): void {
    const target = this.#lastAttempt?.target;
    const { steering } = this.#services;
    if (
      target !== undefined && isRoomRefusal(response) &&
      steering.mayTryAgain(this.service, now)
    ) {
      this.#attempts.tried.delete(target);
    }
  }

  /** Retries the request if that is allowed and can still finish in time. */
  #retry(now: number): void {
    const { steering } = this.#services;
    const isAllowed = this.#attempts.written < this.route.maxAttempts &&
      this.expiresAt - now > MIN_RETRY_TIME_MS &&
      (this.#body?.available ?? true) &&
      steering.takeRetry(this.service, now, {
        priority: this.priority,
        routePriority: this.route.priority,
        objectiveAt: this.objectiveAt,
      });
    if (isAllowed) {
      this.#isRetryTaken = true;
      this.#requeue(now);
    } else {
      this.#giveUp("refused-by-targets", MIN_RETRY_TIME_MS);
    }
  }

  /** Stops trying: the caller gets the latest error response of a target, or a refusal. */
  #giveUp(reason: LocalReplyReason, retryAfterMs: number | undefined): void {
    if (this.#failedResponse !== undefined) {
      this.#deliver(this.#failedResponse.response, this.#failedResponse.body);
    } else {
      this.#refuse(reason, retryAfterMs);
    }
  }

  #requeue(now: number): void {
    this.#response.discard(sizeOf(this.#failedResponse?.body));
    if (this.#transition("queue")) {
      this.#services.queue.add(this, now);
    }
  }

  #beginAttempt(now: number): void {
    this.#transition("send");
    this.#response.reserve();
    this.#firstSentAt ??= now;
  }

  #send(target: TargetId, now: number): void {
    const { steering } = this.#services;
    this.#attempts.tried.add(target);
    this.#beginAttempt(now);
    steering.sent(target, now);
    this.#run = this.#services.targets.runOf(target);
    startAttempt(this, this.#services, {
      target,
      request: this.request,
      method: this.#req.method!,
      url: this.#req.url!,
      body: this.#body?.content ?? null,
      leftMs: Math.max(1, Math.floor(this.expiresAt - now)),
      account: this.account,
      started: (attempt) => this.#attempt = attempt,
    });
  }

  #deliver(response: TargetResponse, body: readonly Buffer[]): void {
    if (this.#phase === "done" || this.#phase === "delivering") {
      return;
    }
    this.#response.sendComplete(response, body);
    this.#awaitDelivery();
  }

  /** Ends the exchange once the network has taken the response: what is ready is delivered, however late. */
  #awaitDelivery(): void {
    this.#dropBody();
    this.#services.wheel.delete(this);
    this.#transition("deliver");
    this.#response.whenDelivered(() =>
      this.#guarded(() => {
        if (this.#transition("end")) {
          this.#finish("answered");
        }
      })
    );
  }

  #dropBody(): void {
    this.#body?.destroy();
    this.#bodyHold.release();
  }

  /** Cuts a response that has begun, so that it does not look complete. */
  #cut(end: GatewayExchangeEnd): void {
    if (this.#transition("end")) {
      this.#response.destroy();
      this.#finish(end);
    }
  }

  /** Refuses the request, which promises that it did not run; replies `broken` if it may have run. */
  #refuse(reason: LocalReplyReason, retryAfterMs: number | undefined): void {
    if (this.#attempts.mayHaveRun) {
      this.#replyLocally("broken");
    } else {
      this.#replyLocally(reason, retryAfterMs);
    }
  }

  #replyLocally(reason: LocalReplyReason, retryAfterMs?: number): void {
    if (this.#phase === "streaming" || this.#phase === "delivering") {
      this.#cut("broken");
      return;
    }
    if (!this.#transition("end")) {
      return;
    }
    this.#retryAfterMs = retryAfterMs;
    const leavesBodyUnread = this.#body !== undefined && !this.#body.complete;
    this.#response.replyLocally(this.#reasonForPeer(reason), {
      retryAfterMs,
      leavesBodyUnread,
    });
    this.#finish(reason);
  }

  /** A VM that forwarded the request must not forward it once more if targets here refused it. */
  #reasonForPeer(reason: LocalReplyReason): LocalReplyReason {
    const { forwarded } = this.#options;
    const hasReachedTargets = forwarded !== undefined &&
      this.#attempts.written > forwarded.attempts;
    return hasReachedTargets && reason === "no-target"
      ? "refused-by-targets"
      : reason;
  }

  /**
   * Moves to the next phase; returns false if the current phase does not allow the
   * step. Every phase but `streaming` abandons the current attempt: otherwise its
   * target would keep working for no caller, and the end of the attempt would be
   * mistaken for that of a later one.
   */
  #transition(step: ExchangeStep): boolean {
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

  /** Cleans up and reports the end, after the final response was written. */
  #finish(end: GatewayExchangeEnd): void {
    if (this.#isCountedForQuota && !this.#attempts.mayHaveRun) {
      this.#options.caller.refundQuota();
    }
    if (this.#isRetryTaken) {
      this.#isRetryTaken = false;
      this.#services.steering.releaseRetry(this.service);
    }
    this.#services.wheel.delete(this);
    this.#services.queue.remove(this);
    this.#dropBody();
    this.#response.close();
    this.#services.ended(this, end);
  }

  /**
   * Runs an event handler so that an exception ends only this exchange. Thrown
   * from a socket event, it would end the process and reset the connections of all
   * other callers.
   */
  #guarded<T>(work: () => T): T | undefined {
    try {
      return work();
    } catch (err) {
      this.#handleFault(err);
      return undefined;
    }
  }

  #handleFault(err: unknown): void {
    this.#logFault(
      err instanceof Error ? err.stack ?? err.message : messageOf(err),
    );
    try {
      this.#replyLocally("broken");
    } catch (secondErr) {
      // The response header was already written, so no error can be sent: close the connection.
      this.#logFault(messageOf(secondErr));
      this.#response.destroy();
      this.#finish("broken");
    }
  }

  #logFault(reason: string): void {
    const request = this.request.requestId;
    this.#services.log.write("exchange failed", { request, reason });
  }
}

function sizeOf(body: readonly Buffer[] = []): number {
  return body.reduce((sum, { length }) => sum + length, 0);
}
