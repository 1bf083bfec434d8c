/**
 * Forwards one request, to one VM after the other if the first ones cannot serve it.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { RegionId, VmId } from "@poplarthread/ids";
import { type LocalReplyReason, promisesNotRun } from "../local_reply.ts";
import type { CallerRequest, Member, TargetResponse } from "../ports.ts";
import type {
  TargetAttemptEnd,
  TargetAttemptOwner,
} from "../target_attempt.ts";
import {
  type ForwardedRequest,
  type PeerReply,
  readPeerReply,
} from "./forwarded_request.ts";
import type { ForwardAttempt, Forwarding } from "./forwarding.ts";

/** VMs that one request is forwarded to at most. */
const MAX_FORWARDS = 3;

/** A request as its exchange knows it. */
export interface ForwardableRequest {
  readonly request: CallerRequest;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  readonly regions: readonly RegionId[];
}

/** The exchange of a forwarded request, as the attempts to forward it use it. */
export interface ForwardingExchange {
  /** Called right before the first byte is sent. Returns false if the request must not be sent. */
  writing(attempt: ForwardAttempt): boolean;
  /** Whether a response of which `bytes` have arrived may be buffered further. */
  mayBuffer(attempt: ForwardAttempt, bytes: number): boolean;
  /** Begins to pass a response on; returns false to pause it. */
  beginStream(
    attempt: ForwardAttempt,
    response: TargetResponse,
    firstChunk: Buffer,
  ): boolean;
  /** Passes on a further chunk; returns false to pause. */
  continueStream(attempt: ForwardAttempt, chunk: Buffer): boolean;
  /** Runs `handle` if the attempt is still the current one, which ends. */
  ended(attempt: ForwardAttempt, handle: (now: number) => void): void;
  /** Another VM has returned a target's response, which is final. */
  responded(response: TargetResponse, body: readonly Buffer[]): void;
  /** Another VM has promised that the request did not run there. */
  didNotRun(): void;
  /** The request is to be placed or forwarded again. */
  requeue(now: number): void;
  /** The request may have run, and no complete response arrived. */
  broke(now: number): void;
  /** The request gets a reply for the reason for which another VM refused it. */
  refuse(reply: PeerReply): void;
}

/** See the module comment. */
export class RequestForwards implements TargetAttemptOwner<VmId> {
  readonly #forwarding: Forwarding;
  readonly #request: ForwardableRequest;
  readonly #exchange: ForwardingExchange;
  readonly #tried = new Set<VmId>();
  #latest: VmId | undefined;
  /** When the caller may come back, as the VM said that refused the request last. */
  #retryAfterMs: number | undefined;

  constructor(
    forwarding: Forwarding,
    request: ForwardableRequest,
    exchange: ForwardingExchange,
  ) {
    this.#forwarding = forwarding;
    this.#request = request;
    this.#exchange = exchange;
  }

  /** The VM that the request was last forwarded to; undefined if it was not. */
  get latest(): VmId | undefined {
    return this.#latest;
  }

  /** When the caller may come back; undefined if no VM has said so. */
  get retryAfterMs(): number | undefined {
    return this.#retryAfterMs;
  }

  /** The VM to forward the request to now; undefined if it is not to be forwarded. */
  next(now: number): Member | undefined {
    const { regions } = this.#request;
    return this.#tried.size >= MAX_FORWARDS
      ? undefined
      : this.#forwarding.peerFor({ regions, tried: this.#tried }, now);
  }

  /** Forwards the request to `peer`. */
  start(peer: Member, options: {
    readonly body: Buffer | Readable | null;
    readonly info: Omit<ForwardedRequest, "credential">;
    /** Called with the attempt before anything is sent. */
    started(attempt: ForwardAttempt): void;
  }): void {
    this.#tried.add(peer.vm);
    this.#latest = peer.vm;
    this.#forwarding.start(this, peer, { ...this.#request, ...options });
  }

  attemptWriting(attempt: ForwardAttempt): boolean {
    return this.#exchange.writing(attempt);
  }

  attemptBuffering(attempt: ForwardAttempt, bytes: number): boolean {
    return this.#exchange.mayBuffer(attempt, bytes);
  }

  attemptStreaming(
    attempt: ForwardAttempt,
    response: TargetResponse,
    firstChunk: Buffer,
  ): boolean {
    return this.#exchange.beginStream(attempt, response, firstChunk);
  }

  attemptChunk(attempt: ForwardAttempt, chunk: Buffer): boolean {
    return this.#exchange.continueStream(attempt, chunk);
  }

  attemptEnded(attempt: ForwardAttempt, end: TargetAttemptEnd): void {
    this.#forwarding.ended(attempt, end, performance.now());
    this.#exchange.ended(attempt, (now) => this.#handleEnd(end, now));
  }

  #handleEnd(end: TargetAttemptEnd, now: number): void {
    switch (end.kind) {
      case "answered":
        this.#handleResponse(end.response, end.body, now);
        return;
      case "not-run":
        this.#handleResponse(end.response, [], now);
        return;
      case "unsendable":
        this.#exchange.refuse({
          reason: "malformed",
          retryAfterMs: undefined,
        });
        return;
      case "unreachable":
        this.#exchange.requeue(now);
        return;
      case "broke":
        this.#exchange.broke(now);
        return;
      case "abandoned":
        return;
    }
  }

  /** Handles what another VM returned: a target's response, or a reply of its own. */
  #handleResponse(
    response: TargetResponse,
    body: readonly Buffer[],
    now: number,
  ): void {
    const reply = readPeerReply(response.rawHeaders);
    if (reply === undefined) {
      this.#exchange.responded(response, body);
      return;
    }
    if (promisesNotRun(reply.reason)) {
      this.#exchange.didNotRun();
    }
    this.#retryAfterMs = reply.retryAfterMs;
    if (isWorthForwardingAgain(reply.reason)) {
      this.#exchange.requeue(now);
    } else {
      this.#exchange.refuse(reply);
    }
  }
}

/**
 * Whether another VM may be able to serve a request that one VM replied to itself. Room is
 * short at all VMs of a region alike: a second offer would rarely succeed, and then take
 * the room of a caller that makes only one.
 */
function isWorthForwardingAgain(reason: LocalReplyReason): boolean {
  return reason === "not-ready" || reason === "no-target" ||
    reason === "leaving";
}
