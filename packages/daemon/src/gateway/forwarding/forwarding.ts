/**
 * Forwards requests to other VMs while this one reaches no target.
 *
 * Callers keep the address of a VM for seconds after look-ups have ceased to return it.
 * Without forwarding, a VM that is cut off from the targets would refuse them all
 * meanwhile.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { VmId } from "@poplarthread/ids";
import type { RoundTrips } from "@poplarthread/placement";
import type { ConnectionSource } from "../connections.ts";
import type { EventLog } from "../events.ts";
import type { CallerRequest, Dialect, Member } from "../ports.ts";
import {
  TargetAttempt,
  type TargetAttemptEnd,
  type TargetAttemptOwner,
} from "../target_attempt.ts";
import {
  encodeForwarded,
  FORWARDED_HEADER,
  type ForwardedRequest,
  withoutHeader,
} from "./forwarded_request.ts";
import { PeerChoice, type PeerDemand } from "./peer_choice.ts";

/** An attempt to have another VM serve a request. */
export type ForwardAttempt = TargetAttempt<VmId>;

/** A VM that sends no response for this long may be dead, or its connections are. */
const UNRESPONSIVE_MS = 1_300;

/** Dependencies of {@link Forwarding}. */
export interface ForwardingOptions {
  readonly self: Member;
  /** Port on which all VMs accept forwarded requests. */
  readonly port: number;
  readonly dialect: Dialect;
  readonly log: EventLog;
  readonly roundTrips: RoundTrips;
  readonly connections: ConnectionSource<VmId>;
  /** Other VMs that are up and reach targets. */
  peers(): readonly Member[];
  /** When a VM sent its last heartbeat; -Infinity if it is down. */
  lastSeenAt(vm: VmId): number;
  /** Called once per attempt. */
  attemptEnded(end: TargetAttemptEnd["kind"]): void;
}

/** A request to forward. */
export interface RequestToForward {
  readonly request: CallerRequest;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  readonly body: Buffer | Readable | null;
  readonly info: Omit<ForwardedRequest, "credential">;
  /** Called with the attempt before anything is sent; its events may occur before {@link Forwarding.start} returns. */
  started(attempt: ForwardAttempt): void;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Forwarding {
  readonly #options: ForwardingOptions;
  readonly #choice: PeerChoice;
  /** When each VM last responded. */
  readonly #respondedAt = new Map<VmId, number>();

  constructor(options: ForwardingOptions) {
    this.#options = options;
    this.#choice = new PeerChoice(
      options.self,
      (vm) => options.lastSeenAt(vm),
    );
  }

  /** The VM to forward a request to; undefined if no other one reaches targets. */
  peerFor(demand: PeerDemand, now: number): Member | undefined {
    return this.#choice.next(this.#options.peers(), demand, now);
  }

  /** Forwards a request to `peer`; `owner` receives the attempt's events. */
  start(
    owner: TargetAttemptOwner<VmId>,
    peer: Member,
    { request, method, url, body, info, started }: RequestToForward,
  ): void {
    const { connections, dialect, roundTrips, port } = this.#options;
    const connection = connections.take({
      id: peer.vm,
      address: `${peer.peerAddress.split(":")[0]}:${port}`,
      roundTripMs: roundTrips.to(peer),
    }, request.requestId);
    const attempt = new TargetAttempt<VmId>(owner, {
      target: peer.vm,
      requestId: request.requestId,
      connection,
      dialect,
    });
    started(attempt);
    const { credential } = request;
    connection.dispatch({
      path: url,
      method: method as Dispatcher.HttpMethod,
      headers: [
        ...withoutHeader(request.rawHeaders, FORWARDED_HEADER),
        FORWARDED_HEADER,
        encodeForwarded({ ...info, credential }),
      ],
      body,
    }, attempt);
  }

  /** Handles the end of an attempt: its connection, its VM, and the log. */
  ended(attempt: ForwardAttempt, end: TargetAttemptEnd, now: number): void {
    const { connections, log, attemptEnded } = this.#options;
    attemptEnded(end.kind);
    const { target: vm, connection, startedAt, response } = attempt;
    switch (end.kind) {
      case "answered":
      case "not-run":
        this.#respondedAt.set(vm, now);
        connections.release(connection);
        return;
      case "broke":
      case "unreachable":
        connections.drop(connection);
        this.#choice.backOff(vm, now);
        log.write("request not forwarded", {
          request: attempt.requestId,
          peer: vm,
          end: end.kind,
          durationMs: Math.round(now - startedAt),
          reason: end.err.message,
        });
        return;
      case "unsendable":
        connections.drop(connection);
        return;
      case "abandoned":
        connections.drop(connection);
        if (
          response === undefined && this.#isUnresponsive(vm, startedAt, now)
        ) {
          connections.remove(vm);
          this.#choice.backOff(vm, now);
        }
        return;
    }
  }

  #isUnresponsive(vm: VmId, sentAt: number, now: number): boolean {
    const respondedAt = this.#respondedAt.get(vm) ?? -Infinity;
    return respondedAt < sentAt && now - sentAt > UNRESPONSIVE_MS;
  }
}
