/**
 * One VM's decisions while services have less room than their callers ask for.
 *
 * Only services that share their room among all VMs take part; for others nothing
 * is recorded and nothing changes.
 *
 * @module
 */

import type { AccountId, ServiceId, TargetId, VmId } from "@poplarthread/ids";
import { hashText } from "../hash.ts";
import type { RoomShare } from "../homes/messages.ts";
import type { LoadReport } from "../target_load.ts";
import { LocalRoom, tighterShares } from "./local_room.ts";
import { RefusalRates } from "./refusal_rates.ts";
import { placesFor, PrioritiesInUse } from "./reserved_places.ts";
import { RetryReserve } from "./retry_reserve.ts";
import {
  type GateCounts,
  type GateDecision,
  type GateMoment,
  type GateRequest,
  RoomGate,
} from "./room_gate.ts";

/** A request that room is sought for. */
export interface RoomRequest {
  readonly service: ServiceId;
  readonly kind: string;
  readonly priority: number;
  /** Priority of its route; by default that of the request. */
  readonly routePriority?: number;
  readonly object: number | undefined;
  readonly account?: AccountId | undefined;
  /** When the timeout of its caller or of its route expires. */
  readonly deadlineAt: number;
}

/** A retry that a request asks for. */
export interface RetryRequest {
  readonly priority: number;
  /** Priority of its route; by default that of the request. */
  readonly routePriority?: number;
  /** When its latency objective expires. */
  readonly objectiveAt: number;
}

/** Whether a request may be retried, and the share of the budget that it must leave. */
export type RetryTerms =
  | { readonly kind: "hopeless" }
  | { readonly kind: "allowed"; readonly keptShare: number };

/** What the owner of a service's homes last said of its room; none if it has room for all. */
export type RoomLookup = (
  service: ServiceId,
  now: number,
) => readonly RoomShare[];

/** The state of one service. */
class ServiceRoom {
  readonly gate: RoomGate;
  readonly priorities = new PrioritiesInUse();
  readonly refusals = new RefusalRates();
  readonly retries = new RetryReserve();
  readonly local = new LocalRoom();

  constructor(phase: number) {
    this.gate = new RoomGate(phase);
  }
}

/** Share of the time that they have left that callers wait before they return. */
const MAX_RETURN_SHARE = 1 / 3;

const UNRESERVED: RetryTerms = { kind: "allowed", keptShare: 0 };

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class VmRoom {
  readonly #phase: number;
  readonly #roomOf: RoomLookup;
  readonly #services = new Map<ServiceId, ServiceRoom>();

  constructor(vm: VmId, roomOf: RoomLookup) {
    this.#roomOf = roomOf;
    this.#phase = hashText(vm) / 2 ** 32;
  }

  /** Sets the services that share their room among all VMs. */
  setServices(services: ReadonlySet<ServiceId>): void {
    for (const service of this.#services.keys()) {
      if (!services.has(service)) {
        this.#services.delete(service);
      }
    }
    for (const service of services) {
      if (!this.#services.has(service)) {
        this.#services.set(service, new ServiceRoom(this.#phase));
      }
    }
  }

  /** Counters by service, for metrics. */
  counts(): ReadonlyMap<ServiceId, GateCounts> {
    return new Map(
      [...this.#services].map(([name, { gate }]) => [name, gate.counts]),
    );
  }

  /** Records the arrival of a caller's request. */
  arrived(service: ServiceId, priority: number, now: number): void {
    const room = this.#services.get(service);
    room?.local.arrived(priority, now);
  }

  /** Decides whether a new request is admitted. Call it once for each request. */
  admit(
    request: RoomRequest,
    { isInTime, slackRuns, now }: {
      isInTime(): boolean;
      /** How long it may wait and be in time, in runs. */
      readonly slackRuns: number;
      readonly now: number;
    },
  ): GateDecision {
    const room = this.#services.get(request.service);
    const { kind, priority, routePriority = priority } = request;
    room?.priorities.arrived({ kind, priority: routePriority }, now);
    room?.local.offered(request.priority, slackRuns, now);
    const decision = room?.gate.decide(
      { ...gateRequest(request, now), isInTime },
      this.#moment(request, now),
    );
    if (decision?.kind === "refuse") {
      room?.local.refused(request.priority);
    }
    return decision ?? { kind: "admit" };
  }

  /**
   * A request that was admitted is refused after all; returns when it finds room, if
   * the owner has announced that.
   */
  refusedLater(request: RoomRequest, now: number): number | undefined {
    const gate = this.#services.get(request.service)?.gate;
    return gate?.refusedLater(
      gateRequest(request, now),
      this.#moment(request, now),
    );
  }

  /** Requests that may be at a target when one of this kind and priority is sent there. */
  placesAt(
    target: {
      readonly id: TargetId;
      readonly service: ServiceId;
      readonly slots: number;
    },
    { kind, priority, maxInFlight, now }: {
      readonly kind: string;
      readonly priority: number;
      readonly maxInFlight: number;
      readonly now: number;
    },
  ): number {
    const room = this.#services.get(target.service);
    if (room === undefined) {
      return maxInFlight;
    }
    const moreUrgent = room.priorities.moreUrgent({ kind, priority }, now);
    const { slots } = target;
    const places = placesFor(moreUrgent, { slots, maxInFlight });
    const usableShare = room.refusals.usableShare(target.id, now);
    return Math.max(1, Math.round(places * usableShare));
  }

  /**
   * Records a target's response; true if a refusal is not a failure of this target: it
   * refuses no more than others do.
   */
  responded(
    { id, service }: { readonly id: TargetId; readonly service: ServiceId },
    { isRefusal, load, now }: {
      readonly isRefusal: boolean;
      readonly load: LoadReport | undefined;
      readonly now: number;
    },
  ): boolean {
    const room = this.#services.get(service);
    if (room === undefined) {
      return false;
    }
    if (load !== undefined) {
      room.local.reported(load, now);
    }
    room.refusals.responded(id, isRefusal, now);
    return room.refusals.usableShare(id, now) === 1;
  }

  /**
   * Whether a target that refused a request may get it again: the others would
   * refuse it as well, and most of them don't have its object cached.
   */
  mayTryAgain(service: ServiceId, now: number): boolean {
    return this.#services.get(service)?.refusals.isOutOfRoom(now) ?? false;
  }

  /** The terms of a retry that takes about `runMs`. */
  retryTerms(
    service: ServiceId,
    { priority, routePriority = priority, objectiveAt }: RetryRequest,
    { runMs, now }: { readonly runMs: number; readonly now: number },
  ): RetryTerms {
    const room = this.#services.get(service);
    if (room === undefined) {
      return UNRESERVED;
    }
    const isLate = now + runMs > objectiveAt;
    const isScarce = room.refusals.isOutOfRoom(now);
    if (room.refusals.isClosed(now) || isScarce && isLate) {
      return { kind: "hopeless" };
    }
    const moreUrgent = room.priorities
      .moreUrgent({ priority: routePriority }, now);
    const keptShare = room.retries.shareFor(priority, { moreUrgent, now });
    return { kind: "allowed", keptShare };
  }

  /** Records that the budget had no retry left for a request. */
  retryDenied(service: ServiceId, priority: number, now: number): void {
    this.#services.get(service)?.retries.denied(priority, now);
  }

  #moment({ service }: RoomRequest, now: number): GateMoment {
    const announced = this.#roomOf(service, now);
    const local = this.#services.get(service)?.local.shares(now) ?? [];
    return { shares: tighterShares(announced, local), now };
  }
}

function gateRequest(
  request: RoomRequest,
  now: number,
): Omit<GateRequest, "isInTime"> {
  const { priority, account, deadlineAt } = request;
  return {
    priority,
    account,
    repeatKey: repeatKeyOf(request),
    maxReturnMs: Math.max(0, deadlineAt - now) * MAX_RETURN_SHARE,
  };
}

/** A hash by which a caller's repeat of a request is recognized. */
function repeatKeyOf(
  { account, kind, object }: RoomRequest,
): number | undefined {
  return object === undefined
    ? undefined
    : hashText(`${account ?? ""} ${kind} ${object}`);
}
