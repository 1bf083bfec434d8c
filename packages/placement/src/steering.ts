/**
 * Traffic steering of one VM: decides whether a request is sent to a target, and to
 * which one, waits in this VM's queue, or is refused.
 *
 * Does no I/O and reads no clock: the current time is passed in. Times are
 * milliseconds of one monotonic clock.
 *
 * @module
 */

import type { ServiceId, TargetId, VmId } from "@poplarthread/ids";
import {
  type Candidate,
  type Choice,
  choose,
  DEFAULT_WEIGHTS,
  MAX_POSITION,
  minCostFromMaxPosition,
  type PlacementWeights,
} from "./choose.ts";
import { DrainRate } from "./drain_rate.ts";
import { FleetRetryBudget, type RetryBound } from "./fleet_retry_budget.ts";
import { KindTimes } from "./kind_times.ts";
import type {
  AttemptResult,
  PlacementDecision,
  PlacementRefusal,
  PlacementRequest,
  Warmth,
} from "./placement.ts";
import { RoundTrips } from "./round_trips.ts";
import { ServiceTimes } from "./service_times.ts";
import type { Location, SteeredTarget } from "./target.ts";
import { TargetHealth } from "./target_health.ts";
import { TargetIndex } from "./target_index.ts";
import type { ReportedLimit } from "./target_limits.ts";
import { TargetLoad } from "./target_load.ts";
import type { TargetOwner } from "./target_owners.ts";
import { TargetRates } from "./target_rates.ts";
import { type HashedPair, WarmObjects } from "./warm_objects.ts";

/** Configuration of {@link Steering}. */
export interface SteeringOptions {
  readonly vm: VmId;
  readonly location: Location;
  readonly retries: RetryBound;
  readonly weights?: PlacementWeights;
  /**
   * Called when the other VMs should be notified that a target is warm for an
   * object.
   */
  onWarmPair?(pair: HashedPair): void;
  /**
   * Number of targets, in rendezvous order, that are compared before all of them
   * are; defaults to {@link INITIAL_CANDIDATES}.
   */
  readonly initialCandidates?: number;
}

/**
 * All positions up to {@link MAX_POSITION}, from which on the position cost is
 * constant. Unless it is warm, any target after these costs more, so comparing all
 * 576 targets of a large service for each new request, and for each waiting one
 * whenever another request ends, would not change the result.
 */
const INITIAL_CANDIDATES = MAX_POSITION + 1;

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

interface Entry {
  target: SteeredTarget;
  readonly load: TargetLoad;
  readonly health: TargetHealth;
}

/** A target and its position in the rendezvous order of the request's object. */
interface Positioned {
  readonly entry: Entry;
  /** Undefined for requests without an object. */
  readonly position: number | undefined;
}

/**
 * Selects targets for the requests of one VM and tracks what it learns about these
 * targets.
 */
export class Steering {
  readonly roundTrips: RoundTrips;
  readonly #options: SteeringOptions;
  readonly #weights: PlacementWeights;
  readonly #initialCandidates: number;
  readonly #index: TargetIndex<Entry>;
  /** Target ids by hash; messages between VMs name targets by hash. */
  readonly #idsByHash = new Map<number, TargetId>();
  /**
   * Targets that may have pending requests of this VM. Few of several hundred have
   * any at one time.
   */
  readonly #withPendingRequests = new Set<Entry>();
  /** Targets that may be unusable and need probes. */
  readonly #unhealthy = new Set<Entry>();
  readonly #rates: TargetRates;
  readonly #warmObjects = new WarmObjects();
  readonly #serviceTimes = new ServiceTimes();
  readonly #kindTimes = new KindTimes();
  readonly #drainRates = new Map<ServiceId, DrainRate>();
  readonly #retryBudgets = new Map<ServiceId, FleetRetryBudget>();
  #evacuated: ReadonlySet<string> = new Set();

  constructor(options: SteeringOptions) {
    this.#options = options;
    this.#rates = new TargetRates(options.vm);
    this.#weights = options.weights ?? DEFAULT_WEIGHTS;
    this.#initialCandidates = options.initialCandidates ?? INITIAL_CANDIDATES;
    this.#index = new TargetIndex(options.location);
    this.roundTrips = new RoundTrips(options.location);
  }

  /** Sets the reachable VMs, including this one. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#rates.setVms(vms);
    this.#index.setVms(vms);
  }

  /**
   * Sets the number of VMs that share the fleet-wide limits. It exceeds the number
   * of reachable VMs while some may be on the other side of a network partition.
   */
  setFleetSize(vms: number): void {
    this.#rates.setFleetSize(vms);
  }

  /** Sets the zones whose targets receive no requests. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
    this.#index.setEvacuated(zones);
  }

  /** Adds a target or updates a known one. */
  setTarget(target: SteeredTarget): void {
    const entry = this.#index.get(target.id);
    if (entry !== undefined) {
      if (entry.target.region !== target.region) {
        this.#rates.relocated(target.id);
      }
      this.#index.update(entry, target);
      return;
    }
    this.#idsByHash.set(target.hash, target.id);
    this.#index.add({
      target,
      load: new TargetLoad(),
      health: new TargetHealth(),
    });
  }

  /** Removes a target that no longer exists. */
  removeTarget(id: TargetId): void {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      this.#idsByHash.delete(entry.target.hash);
      this.#withPendingRequests.delete(entry);
      this.#unhealthy.delete(entry);
    }
    this.#index.delete(id);
    this.#rates.remove(id);
    this.#warmObjects.removeTarget(id);
  }

  /**
   * Resets what belongs to the target's previous run: its warm objects, its limit
   * and its back-off.
   */
  restarted(id: TargetId): void {
    this.#warmObjects.removeTarget(id);
    this.#rates.restarted(id);
    this.#index.get(id)?.health.restarted();
  }

  /** Number of targets with a limit in force. */
  get limitedTargets(): number {
    return this.#rates.limitedTargets;
  }

  /** Treats the target as cold until `until`. */
  markCold(id: TargetId, until: number): void {
    this.#rates.markCold(id, until);
  }

  /** Records another VM's notification that a target is warm for an object. */
  addWarmPair({ object, target }: HashedPair, now: number): void {
    const id = this.#idsByHash.get(target);
    if (id !== undefined) {
      this.#warmObjects.recordRemoteUse({ object, target: id }, now);
    }
  }

  /** Pairs that are probably warm, for a VM that has just joined. */
  warmPairs(now: number): readonly HashedPair[] {
    return this.#warmObjects.warmPairs(now).flatMap(({ object, target }) => {
      const entry = this.#index.get(target);
      return entry === undefined ? [] : [{ object, target: entry.target.hash }];
    });
  }

  /** Round trip to a target in milliseconds, or 0 for an unknown target. */
  roundTripTo(id: TargetId): number {
    const entry = this.#index.get(id);
    return entry === undefined ? 0 : this.roundTrips.to(entry.target);
  }

  /** Records the arrival of a caller's request for `service`. */
  arrived(service: ServiceId, priority: number, now: number): void {
    this.#retryBudget(service).arrived(now);
    this.#drainRate(service).arrived(priority, now);
  }

  /**
   * Takes one retry from the service's retry budget; false if the budget is used
   * up.
   */
  takeRetry(service: ServiceId, now: number): boolean {
    return this.#retryBudget(service).trySpend(now, this.#rates.totalVms);
  }

  /**
   * Decides what happens to a request now. `ahead` is the number of requests queued
   * before it.
   */
  place(
    request: PlacementRequest,
    { now, ahead }: { now: number; ahead: number },
  ): PlacementDecision {
    const serviceMs = this.#serviceTimes.meanMs(request.service);
    const initial = this.#usable(request, now, this.#initialCandidates);
    if (initial.length === 0) {
      return refusal("no-target", this.#retryAfterMs(request, now));
    }
    const choice = this.#choose(initial, request, now);
    const remainingMs = request.deadlineAt - now;
    const chosen = choice && this.#index.get(choice.target);
    if (choice !== undefined && chosen && this.#hasCapacity(chosen, now)) {
      return choice.expectedMs + serviceMs / 2 > remainingMs
        ? refusal("overload", choice.expectedMs)
        : {
          kind: "send",
          warmth: this.#warmth(choice, request, now),
          ...choice,
        };
    }
    const waitMs = this.#drainRate(request.service)
      .waitMs(request.priority, { now, ahead });
    const waitsUntil = now + waitMs;
    const maxWaitMs = (request.deadlineAt - request.arrivedAt) * MAX_WAIT_SHARE;
    return waitsUntil > request.arrivedAt + maxWaitMs
      ? refusal("overload", waitMs)
      : { kind: "wait" };
  }

  /**
   * Records that a request has been assigned to a target. A call of {@link ended}
   * must follow.
   */
  sent(id: TargetId, now: number): void {
    const entry = this.#index.get(id);
    if (entry === undefined) {
      return;
    }
    entry.load.sent();
    this.#drainRate(entry.target.service).sent(now);
    this.#rates.sent(id, now);
  }

  /** Records that the request has been written to the target's connection. */
  written(id: TargetId, now: number): void {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      entry.health.sent(now);
      this.#withPendingRequests.add(entry);
    }
  }

  /**
   * Records the end of an attempt that was {@link sent}. `writtenAt` is undefined
   * if it was never written to the connection.
   */
  ended(
    id: TargetId,
    result: AttemptResult,
    { now, writtenAt }: { now: number; writtenAt: number | undefined },
  ): void {
    const entry = this.#index.get(id);
    if (entry === undefined) {
      return;
    }
    entry.load.ended();
    if (writtenAt === undefined) {
      return;
    }
    switch (result.kind) {
      case "answered":
        this.#responded(entry, result, { now, writtenAt });
        return;
      case "broke":
        entry.health.connectionBroke(writtenAt, now);
        return;
      case "abandoned":
        entry.health.removePending(writtenAt);
        return;
    }
  }

  /**
   * Applies the rate limit that a target has reported, to this VM or to another
   * one; true if it differs from the known one.
   */
  updateLimit(id: TargetId, limit: ReportedLimit): boolean {
    return this.#index.get(id) !== undefined &&
      this.#rates.updateLimit(id, limit);
  }

  /**
   * The target has refused a request and asked this VM to send nothing until
   * `until`.
   */
  backOff(id: TargetId, until: number): void {
    this.#index.get(id)?.health.backOff(until);
  }

  /** Marks the target unreachable: no connection could be established. */
  markUnreachable(id: TargetId, now: number): void {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      entry.health.markUnreachable(now);
      this.#unhealthy.add(entry);
    }
  }

  /**
   * Marks the target usable after a successful probe. It is cold for the next
   * `coldMs`.
   */
  probeSucceeded(
    id: TargetId,
    { now, coldMs }: { now: number; coldMs: number },
  ): void {
    const entry = this.#index.get(id);
    if (coldMs > 0) {
      this.#rates.markCold(id, now + coldMs);
    }
    entry?.health.probeSucceeded(now);
  }

  /**
   * Checks all targets with pending requests and returns those that have become
   * unresponsive since the last call.
   */
  findUnresponsive(now: number): readonly TargetId[] {
    const unresponsive: TargetId[] = [];
    for (const entry of this.#withPendingRequests) {
      const { target, load, health } = entry;
      if (!health.hasPendingRequests) {
        this.#withPendingRequests.delete(entry);
        continue;
      }
      const serviceMs = this.#serviceTimes.meanMs(target.service);
      const waitMs = load.waitMs(now, { slots: target.slots, serviceMs });
      const longMs = this.#serviceTimes.longMs(target.service);
      if (health.detectUnresponsive(now, { waitMs, longMs })) {
        unresponsive.push(target.id);
        this.#unhealthy.add(entry);
      }
    }
    return unresponsive;
  }

  /** Targets that should be probed now. Schedules the next probe of each. */
  probesDue(now: number): readonly TargetId[] {
    const due: TargetId[] = [];
    for (const entry of this.#unhealthy) {
      const { target, health } = entry;
      if (health.state === "in-use") {
        this.#unhealthy.delete(entry);
      } else if (!target.isLeaving && health.probeDue(now)) {
        due.push(target.id);
      }
    }
    return due;
  }

  #responded(
    entry: Entry,
    result: Extract<AttemptResult, { kind: "answered" }>,
    { now, writtenAt }: { now: number; writtenAt: number },
  ): void {
    const { target, load, health } = entry;
    const { failed, object, requestKind, warmth } = result;
    health.responded(writtenAt, { now, failed });
    if (result.load !== undefined) {
      load.reported(result.load, now);
    }
    if (failed) {
      return;
    }
    const ms = now - writtenAt - this.roundTrips.to(target);
    this.#serviceTimes.recordResponseTime(target.service, ms);
    if (result.load === undefined || result.load.waiting === 0) {
      this.#serviceTimes.recordServiceTime(target.service, ms);
      if (warmth !== "unknown") {
        this.#kindTimes.record(requestKind, ms, warmth === "warm");
      }
    }
    if (object === undefined) {
      return;
    }
    if (this.#warmObjects.recordUse({ object, target: target.id }, now)) {
      this.#options.onWarmPair?.({ object, target: target.hash });
    }
  }

  #isUsable(entry: Entry, request: PlacementRequest, now: number): boolean {
    return this.#isEligible(entry, request) &&
      entry.health.backOffMs(now) === 0 &&
      !request.tried.has(entry.target.id);
  }

  /**
   * Whether the target is usable apart from its back-off and from earlier attempts
   * of the request.
   */
  #isEligible({ target, health }: Entry, request: PlacementRequest): boolean {
    return !target.isLeaving &&
      health.state === "in-use" &&
      !this.#evacuated.has(target.zone) &&
      (request.regions.length === 0 || request.regions.includes(target.region));
  }

  /**
   * Retry-After for a request without a usable target. If all targets are in
   * back-off, it ends with the earliest back-off.
   */
  #retryAfterMs(request: PlacementRequest, now: number): number {
    const backOffs = this.#index.ofService(request.service)
      .filter((entry) => this.#isEligible(entry, request))
      .map(({ health }) => health.backOffMs(now));
    const soonest = Math.min(...backOffs);
    return soonest > 0 && Number.isFinite(soonest)
      ? soonest
      : NO_TARGET_RETRY_AFTER_MS;
  }

  #hasCapacity({ target, load }: Entry, now: number): boolean {
    const maxInFlight = target.slots +
      Math.round(target.slots * MAX_QUEUED_PER_SLOT);
    // The estimate of other VMs' requests decays to fractions of a request.
    // Rounding ignores less than half a request.
    return Math.round(load.inFlight(now)) < maxInFlight;
  }

  /**
   * The first `max` targets that the request may use, in the rendezvous order of
   * its object.
   */
  #usable(
    request: PlacementRequest,
    now: number,
    max: number,
  ): readonly Entry[] {
    const { service, object } = request;
    if (object === undefined) {
      return this.#index.ofService(service)
        .filter((entry) => this.#isUsable(entry, request, now));
    }
    const usable: Entry[] = [];
    for (const entry of this.#index.inOrder(service, object)) {
      if (this.#isUsable(entry, request, now) && usable.push(entry) >= max) {
        break;
      }
    }
    return usable;
  }

  /** The cheapest target; `initial` holds the first usable ones in rendezvous order. */
  #choose(
    initial: readonly Entry[],
    request: PlacementRequest,
    now: number,
  ): Choice | undefined {
    const isComplete = initial.length < this.#initialCandidates ||
      request.object === undefined;
    if (isComplete) {
      return this.#cheapest(
        this.#withPositions(initial, request),
        request,
        now,
      );
    }
    const costParams = {
      weights: this.#weights,
      savedMs: this.#kindTimes.savedMs(request.kind),
    };
    const cheapest = this.#cheapest(
      [
        ...this.#withPositions(initial, request),
        ...this.#warmBeyond(initial, request, now),
      ],
      request,
      now,
    );
    if (cheapest && cheapest.cost <= minCostFromMaxPosition(costParams)) {
      return cheapest;
    }
    const all = this.#usable(request, now, Infinity);
    return this.#cheapest(this.#withPositions(all, request), request, now);
  }

  /** Adds the position in rendezvous order; requests without an object have none. */
  #withPositions(
    usable: readonly Entry[],
    { object }: PlacementRequest,
  ): readonly Positioned[] {
    return usable.map((entry, position) => ({
      entry,
      position: object === undefined ? undefined : position,
    }));
  }

  /**
   * Usable targets after `initial` that are warm for the request's object. They are
   * returned in rendezvous order, so that all VMs break ties alike.
   */
  #warmBeyond(
    initial: readonly Entry[],
    request: PlacementRequest,
    now: number,
  ): readonly Positioned[] {
    const { service } = request;
    const object = request.object!;
    const excluded = new Set(initial);
    const warm: Entry[] = [];
    for (const id of this.#warmObjects.targetsOf(object, now)) {
      const entry = this.#index.get(id);
      const isBeyond = entry?.target.service === service &&
        !excluded.has(entry);
      if (isBeyond && this.#isUsable(entry, request, now)) {
        warm.push(entry);
      }
    }
    return this.#index.sorted(warm, { service, object })
      .map((entry) => ({ entry, position: MAX_POSITION }));
  }

  #cheapest(
    positioned: readonly Positioned[],
    { service, object, kind }: PlacementRequest,
    now: number,
  ): Choice | undefined {
    const serviceMs = this.#serviceTimes.meanMs(service);
    const candidates: Candidate[] = [];
    for (const { entry, position } of positioned) {
      const { target, load, health } = entry;
      if (!this.#rates.allows(target, now)) {
        continue;
      }
      candidates.push({
        target,
        position,
        costs: {
          roundTripMs: this.roundTrips.to(target),
          waitMs: load.waitMs(now, { slots: target.slots, serviceMs }),
          isWarm: object !== undefined &&
            this.#warmObjects.isWarm(object, target.id, now),
          failureShare: health.failureShare(now),
        },
      });
    }
    return choose(candidates, {
      from: this.#options.location,
      weights: this.#weights,
      savedMs: this.#kindTimes.savedMs(kind),
    });
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
    if (this.#warmObjects.isWarm(object, target, now)) {
      return "warm";
    }
    return expectedMs > MAX_MEASURED_WAIT_MS ? "unknown" : "unwarmed";
  }

  #retryBudget(service: ServiceId): FleetRetryBudget {
    let budget = this.#retryBudgets.get(service);
    if (budget === undefined) {
      budget = new FleetRetryBudget(this.#options.retries);
      this.#retryBudgets.set(service, budget);
    }
    return budget;
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

function refusal(
  reason: PlacementRefusal,
  waitMs: number,
): PlacementDecision {
  return {
    kind: "refuse",
    reason,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
  };
}
