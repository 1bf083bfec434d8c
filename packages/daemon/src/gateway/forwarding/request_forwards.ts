/**
 * Forwards one request, to one VM after the other if the first ones cannot serve it.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { RegionId, VmId } from "@poplarthread/ids";
import type { Member } from "../ports.ts";
import type { TargetAttemptOwner } from "../target_attempt.ts";
import type { LocalReplyReason } from "../local_reply.ts";
import type { CallerRequest } from "../ports.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
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

/** See the module comment. */
export class RequestForwards {
  readonly #forwarding: Forwarding;
  readonly #request: ForwardableRequest;
  readonly #tried = new Set<VmId>();
  #latest: VmId | undefined;

  constructor(forwarding: Forwarding, request: ForwardableRequest) {
    this.#forwarding = forwarding;
    this.#request = request;
  }

  /** The VM that the request was last forwarded to; undefined if it was not. */
  get latest(): VmId | undefined {
    return this.#latest;
  }

  /** The VM to forward the request to now; undefined if it is not to be forwarded. */
  next(now: number): Member | undefined {
    const { regions } = this.#request;
    return this.#tried.size >= MAX_FORWARDS
      ? undefined
      : this.#forwarding.peerFor({ regions, tried: this.#tried }, now);
  }

  /** Forwards the request to `peer`. */
  start(owner: TargetAttemptOwner<VmId>, peer: Member, options: {
    readonly body: Buffer | Readable | null;
    readonly info: Omit<ForwardedRequest, "credential">;
    /** Called with the attempt before anything is sent. */
    started(attempt: ForwardAttempt): void;
  }): void {
    this.#tried.add(peer.vm);
    this.#latest = peer.vm;
    this.#forwarding.start(owner, peer, { ...this.#request, ...options });
  }
}

/** Whether another VM may be able to serve a request that one VM replied to itself. */
export function isWorthForwardingAgain(reason: LocalReplyReason): boolean {
  return reason === "not-ready" || reason === "no-target";
}
