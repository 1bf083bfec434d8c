/**
 * Whether a request is sent now, waits in this VM's queue, or is refused.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import type { Candidates } from "./candidates.ts";
import type { Choice } from "./choose.ts";
import { DrainRate } from "./drain_rate.ts";
import type {
  PlacedVia,
  PlacementDecision,
  PlacementRefusal,
  PlacementRefused,
  PlacementRequest,
  Warmth,
} from "./placement.ts";
import type { RequestHomes } from "./request_homes.ts";
import type { SteeredEntry } from "./target_entries.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";

/**
 * Requests that may wait at a target, as a multiple of its slots. A request that
 * waits there can't be moved to another target or let a more urgent one pass, and a
 * full target refuses requests. With none waiting there, a slot would be idle for
 * one round trip.
 */
const MAX_QUEUED_PER_SLOT = 2 / 3;
/**
 * Response times of requests with a longer expected wait for a slot are not used as
 * samples.
 */
const MAX_MEASURED_WAIT_MS = 60;
/**
 * Share of a request's total time that it may wait in this VM's queue. The expected
 * wait is an estimate that more urgent requests can invalidate; a request refused
 * halfway can still succeed if the caller retries it.
 */
const MAX_WAIT_SHARE = 0.5;
/** Shortest Retry-After: about one warm service time. */
const MIN_RETRY_AFTER_MS = 100;
/**
 * Retry-After when no target is usable: the target list usually changes within this
 * time.
 */
const NO_TARGET_RETRY_AFTER_MS = 500;

/** When a placement is decided. */
export interface PlacementMoment {
  readonly now: number;
  /** Number of requests queued before the one to place. */
  readonly ahead: number;
}

/** Dependencies of {@link Admission}. */
export interface AdmissionOptions {
  readonly candidates: Candidates;
  readonly homes: RequestHomes;
}

/** Decides whether requests are sent, wait or are refused. */
export class Admission {
  readonly #known: TargetKnowledge;
  readonly #candidates: Candidates;
  readonly #homes: RequestHomes;
  readonly #drainRates = new Map<ServiceId, DrainRate>();

  constructor(
    known: TargetKnowledge,
    { candidates, homes }: AdmissionOptions,
  ) {
    this.#known = known;
    this.#candidates = candidates;
    this.#homes = homes;
  }

  /** Records the arrival of a caller's request. */
  arrived(service: ServiceId, priority: number, now: number): void {
    this.#drainRate(service).arrived(priority, now);
    this.#known.room.arrived(service, priority, now);
  }

  /**
   * Refuses a new request if the service has no room for it; call it once for each
   * request, before it is placed.
   */
  checkRoom(
    request: PlacementRequest,
    now: number,
  ): PlacementRefused | undefined {
    const runMs = this.#known.serviceTimes.meanMs(request.service);
    const decision = this.#known.room.admit(request, {
      slackRuns: (objectiveOf(request) - now) / runMs - 1,
      isInTime: () => this.#isInTime(request, now),
      now,
    });
    if (decision.kind === "admit") {
      return undefined;
    }
    this.#homes.recordRefusal(request);
    const { cause, retryAfterMs } = decision;
    return { ...refusal("overload", retryAfterMs), cause };
  }

  /** Whether a response is expected within the latency objective. */
  #isInTime(request: PlacementRequest, now: number): boolean {
    const compared = this.#candidates.cheapestFor(request, now);
    const expectedMs = compared.kind === "compared"
      ? compared.choice?.expectedMs ?? 0
      : 0;
    const runMs = this.#known.serviceTimes.meanMs(request.service);
    return now + expectedMs + runMs <= objectiveOf(request);
  }

  /** Records that a request was assigned to a target. */
  sent(service: ServiceId, now: number): void {
    this.#drainRate(service).sent(now);
  }

  /** Decides what happens to a request now. */
  place(
    request: PlacementRequest,
    moment: PlacementMoment,
  ): PlacementDecision {
    const { now } = moment;
    const compared = this.#candidates.cheapestFor(request, now);
    switch (compared.kind) {
      case "none":
        return refusal("no-target", this.#retryAfterMs(request, now));
      case "pending":
        return { kind: "wait", for: "homes" };
      case "compared":
        break;
    }
    const { choice } = compared;
    const chosen = choice && this.#known.entries.get(choice.target);
    return choice !== undefined && chosen &&
        this.#hasCapacity(chosen, request, now)
      ? this.#send({ ...choice, via: compared.via }, request, now)
      : this.#wait(request, moment);
  }

  #send(
    choice: Choice & { readonly via: PlacedVia | undefined },
    request: PlacementRequest,
    now: number,
  ): PlacementDecision {
    const serviceMs = this.#known.serviceTimes.meanMs(request.service);
    const remainingMs = request.deadlineAt - now;
    return choice.expectedMs + serviceMs / 2 > remainingMs
      ? this.#refuse(request, choice.expectedMs, now)
      : {
        kind: "send",
        warmth: this.#warmth(choice, request, now),
        ...choice,
      };
  }

  #wait(
    request: PlacementRequest,
    { now, ahead }: PlacementMoment,
  ): PlacementDecision {
    const waitMs = this.#drainRate(request.service)
      .waitMs(request.priority, { now, ahead });
    const waitsUntil = now + waitMs;
    const maxWaitMs = (request.deadlineAt - request.arrivedAt) * MAX_WAIT_SHARE;
    return waitsUntil > request.arrivedAt + maxWaitMs
      ? this.#refuse(request, waitMs, now)
      : { kind: "wait", for: "capacity" };
  }

  /** Refuses a request for lack of room. */
  #refuse(
    request: PlacementRequest,
    waitMs: number,
    now: number,
  ): PlacementRefused {
    this.#homes.recordRefusal(request);
    const returnMs = this.#known.room.refusedLater(request, now);
    return refusal("overload", returnMs ?? waitMs);
  }

  #hasCapacity(
    { target, load }: SteeredEntry,
    { kind, priority: rank, routePriority: priority = rank }: PlacementRequest,
    now: number,
  ): boolean {
    const maxInFlight = target.slots +
      Math.round(target.slots * MAX_QUEUED_PER_SLOT);
    const places = this.#known.room
      .placesAt(target, { kind, priority, maxInFlight, now });
    // The estimate of other VMs' requests decays to fractions of a request.
    // Rounding ignores less than half a request.
    return Math.round(load.inFlight(now)) < places;
  }

  /**
   * Retry-After for a request without a usable target. If all targets are in
   * back-off, it ends with the earliest back-off.
   */
  #retryAfterMs(request: PlacementRequest, now: number): number {
    const soonest = this.#known.entries.minBackOffMs(request, now);
    return soonest > 0 && Number.isFinite(soonest)
      ? soonest
      : NO_TARGET_RETRY_AFTER_MS;
  }

  /**
   * Unknown if the request is expected to wait, as its response time would include
   * the wait.
   */
  #warmth(
    { target, expectedMs }: Choice,
    { object }: PlacementRequest,
    now: number,
  ): Warmth {
    if (object === undefined) {
      return "unknown";
    }
    if (this.#known.warmObjects.isWarm(object, target, now)) {
      return "warm";
    }
    return expectedMs > MAX_MEASURED_WAIT_MS ? "unknown" : "unwarmed";
  }

  #drainRate(service: ServiceId): DrainRate {
    let drain = this.#drainRates.get(service);
    if (drain === undefined) {
      drain = new DrainRate();
      this.#drainRates.set(service, drain);
    }
    return drain;
  }
}

/** When the latency objective expires; with the deadline where there is none. */
function objectiveOf({ objectiveAt, deadlineAt }: PlacementRequest): number {
  return objectiveAt ?? deadlineAt;
}

function refusal(
  reason: PlacementRefusal,
  waitMs: number,
): PlacementRefused {
  return {
    kind: "refuse",
    reason,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
  };
}
