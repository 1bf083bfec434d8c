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
import { Admission, type PlacementMoment } from "./admission.ts";
import { Candidates } from "./candidates.ts";
import { DEFAULT_WEIGHTS, type PlacementWeights } from "./choose.ts";
import type { RetryBound } from "./fleet_retry_budget.ts";
import type { HomeSource } from "./homes/home_source.ts";
import type { ObservedLoad } from "./homes/messages.ts";
import { KindTimes } from "./kind_times.ts";
import type {
  AttemptResult,
  PlacementDecision,
  PlacementDemand,
  PlacementRefused,
  PlacementRequest,
} from "./placement.ts";
import { type RetryRequest, type RoomLookup, VmRoom } from "./room/vm_room.ts";
import { RequestHomes } from "./request_homes.ts";
import {
  Retries,
  type RetryCounts,
  type RetryDenial,
  type RetryTotals,
} from "./retries.ts";
import { RoundTrips } from "./round_trips.ts";
import { ServiceTimes } from "./service_times.ts";
import type { Location, SteeredTarget } from "./target.ts";
import { TargetEntries } from "./target_entries.ts";
import { type AttemptTimes, TargetFeedback } from "./target_feedback.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";
import type { ReportedLimit } from "./target_limits.ts";
import type { TargetOwner } from "./target_owners.ts";
import { TargetRates } from "./target_rates.ts";
import {
  type ReachCheck,
  type ReachState,
  TargetReach,
} from "./target_reach.ts";
import { spreadOverZones } from "./zone_spread.ts";
import { type HashedPair, WarmObjects } from "./warm_objects.ts";

/** Configuration of {@link Steering}. */
export interface SteeringOptions {
  readonly vm: VmId;
  readonly location: Location;
  readonly retries: RetryBound;
  /** When the process started, which then has saved up nothing; long ago by default. */
  readonly startedAt?: number;
  readonly weights?: PlacementWeights;
  /**
   * Called when the other VMs should be notified that a target is warm for an
   * object.
   */
  onWarmPair?(pair: HashedPair): void;
  /** What the owner of a service's homes last said of its room. */
  readonly roomOf?: RoomLookup | undefined;
  /**
   * Number of targets, in rendezvous order, that are compared before all of them
   * are; by default as many as can differ in the cost of their position.
   */
  readonly initialCandidates?: number;
  /** Assigned homes of objects; without it, homes follow from the rendezvous order. */
  readonly homes?: HomeSource;
  /** Whether other VMs reach targets; none do by default. */
  othersReachTargets?(): boolean;
  /** Called when this VM begins or ceases to doubt that it reaches targets. */
  onReachChanged?(state: ReachState): void;
  /** Called when a service's retry budget is used up, once in each of its windows. */
  onRetryDenied?(denial: RetryDenial): void;
}

/**
 * Selects targets for the requests of one VM and tracks what it learns about these
 * targets.
 */
export class Steering {
  readonly roundTrips: RoundTrips;
  readonly #known: TargetKnowledge;
  readonly #homes: RequestHomes;
  readonly #admission: Admission;
  readonly #feedback: TargetFeedback;
  readonly #retries: Retries;
  readonly #reach: TargetReach;
  readonly #othersReachTargets: () => boolean;
  /** Number of rounds of reach checks so far, so that each takes other targets. */
  #checkRounds = 0;

  constructor(options: SteeringOptions) {
    const { startedAt = -Infinity } = options;
    this.roundTrips = new RoundTrips(options.location);
    this.#known = {
      entries: new TargetEntries(options.location),
      rates: new TargetRates(options.vm, startedAt),
      warmObjects: new WarmObjects(),
      serviceTimes: new ServiceTimes(),
      kindTimes: new KindTimes(),
      roundTrips: this.roundTrips,
      room: new VmRoom(options.vm, options.roomOf ?? (() => [])),
    };
    this.#retries = new Retries(this.#known, {
      bound: options.retries,
      startedAt,
      onDenied: (denial) => options.onRetryDenied?.(denial),
    });
    this.#homes = new RequestHomes(this.#known, options.homes);
    const candidates = new Candidates(this.#known, {
      homes: this.#homes,
      from: options.location,
      weights: options.weights ?? DEFAULT_WEIGHTS,
      initialCandidates: options.initialCandidates,
    });
    this.#admission = new Admission(this.#known, {
      candidates,
      homes: this.#homes,
    });
    this.#feedback = new TargetFeedback(this.#known, {
      onWarmPair: (pair) => options.onWarmPair?.(pair),
      homes: options.homes,
    });
    this.#reach = new TargetReach((state) => {
      if (this.#isCutOffAlone) {
        this.#feedback.forgetFailures();
      }
      options.onReachChanged?.(state);
    });
    this.#othersReachTargets = () => options.othersReachTargets?.() ?? false;
  }

  /** Whether this VM reaches targets. */
  get reach(): ReachState {
    return this.#reach.state;
  }

  /** Whether this VM reaches no targets at all. */
  get isCutOff(): boolean {
    return this.#reach.isCutOff;
  }

  /** Whether no target would respond to a request that this VM sent now. */
  losesRequests(now: number): boolean {
    return this.#reach.losesRequests(now);
  }

  /** Targets that should be checked now for whether this VM reaches any. */
  reachChecksDue(now: number): readonly TargetId[] {
    const count = this.#reach.takeDueChecks(now);
    if (count === 0) {
      return [];
    }
    this.#checkRounds += 1;
    const picked = spreadOverZones(this.#known.entries.inService(), {
      count,
      round: this.#checkRounds,
      last: this.#reach.recentlyFailed,
    });
    for (let missing = picked.length; missing < count; missing++) {
      this.#reach.checked("failed");
    }
    return picked.map(({ id }) => id);
  }

  /** Records the result of a check of {@link reachChecksDue}. */
  reachChecked(check: ReachCheck): void {
    this.#reach.checked(check);
  }

  /** Sets the reachable VMs, including this one. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#known.rates.setVms(vms);
    this.#known.entries.setVms(vms);
  }

  /**
   * Sets the number of VMs that share the fleet-wide limits. It exceeds the number
   * of reachable VMs while some may be on the other side of a network partition.
   * Undefined while it is not known, after the start.
   */
  setFleetSize(vms: number | undefined): void {
    this.#known.rates.setFleetSize(vms);
  }

  /** Sets the zones whose targets receive no requests. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#known.entries.setEvacuated(zones);
  }

  /** Adds a target or updates a known one. */
  setTarget(target: SteeredTarget): void {
    const { entries, rates } = this.#known;
    const entry = entries.get(target.id);
    if (entry === undefined) {
      entries.add(target);
      return;
    }
    if (entry.target.region !== target.region) {
      rates.relocated(target.id);
    }
    entries.update(entry, target);
  }

  /** Removes a target that no longer exists. */
  removeTarget(id: TargetId): void {
    const { entries, rates, warmObjects } = this.#known;
    const entry = entries.remove(id);
    if (entry !== undefined) {
      this.#feedback.removed(entry);
    }
    rates.remove(id);
    warmObjects.removeTarget(id);
  }

  /**
   * Resets what belongs to the target's previous run: its warm objects, its limit
   * and its back-off.
   */
  restarted(id: TargetId): void {
    this.#known.warmObjects.removeTarget(id);
    this.#known.rates.restarted(id);
    this.#known.entries.get(id)?.health.restarted();
  }

  /** Applies loads that targets have just reported to other VMs. */
  recordPeerLoads(loads: readonly ObservedLoad[], now: number): void {
    const { entries } = this.#known;
    for (const { target, requests, pace } of loads) {
      const id = entries.idOf(target);
      const entry = id === undefined ? undefined : entries.get(id);
      entry?.load.reported({
        running: requests,
        waiting: 0,
        slots: entry.target.slots,
        ...(pace === undefined ? {} : { pace }),
      }, now);
    }
  }

  /** Number of targets with a limit in force. */
  get limitedTargets(): number {
    return this.#known.rates.limitedTargets;
  }

  /** Treats the target as cold until `until`. */
  markCold(id: TargetId, until: number): void {
    this.#known.rates.markCold(id, until);
  }

  /** Records another VM's notification that a target is warm for an object. */
  addWarmPair({ object, target }: HashedPair, now: number): void {
    const id = this.#known.entries.idOf(target);
    if (id !== undefined) {
      this.#known.warmObjects.recordRemoteUse({ object, target: id }, now);
    }
  }

  /** Pairs that are probably warm, for a VM that has just joined. */
  warmPairs(now: number): readonly HashedPair[] {
    return this.#known.warmObjects.warmPairs(now).flatMap(
      ({ object, target }) => {
        const entry = this.#known.entries.get(target);
        return entry === undefined
          ? []
          : [{ object, target: entry.target.hash }];
      },
    );
  }

  /** The target whose id has this hash. */
  targetWithHash(hash: number): TargetId | undefined {
    return this.#known.entries.idOf(hash);
  }

  /** Time in milliseconds that a request of this kind takes on a warm target. */
  warmMs(kind: string): number {
    return this.#known.kindTimes.warmMs(kind);
  }

  /** Round trip to a target in milliseconds, or 0 for an unknown target. */
  roundTripTo(id: TargetId): number {
    const entry = this.#known.entries.get(id);
    return entry === undefined ? 0 : this.roundTrips.to(entry.target);
  }

  /**
   * Records the arrival of a caller's request for `service`. A request that another VM
   * forwarded has raised the retry budget there.
   */
  arrived(
    service: ServiceId,
    priority: number,
    { now, isForwarded = false }: { now: number; isForwarded?: boolean },
  ): void {
    if (!isForwarded) {
      this.#retries.arrived(service, now);
    }
    this.#admission.arrived(service, priority, now);
  }

  /** Records that a request is to be placed: its account's quota allows it. */
  admitted(request: PlacementDemand): void {
    this.#homes.recordDemand(request);
  }

  /**
   * Takes one retry from the service's retry budget; false if too little is left for
   * a request of this priority, or it can't succeed. Call {@link sendRetry} before it
   * is sent, or {@link releaseRetry} if it is not.
   */
  takeRetry(service: ServiceId, now: number, retry: RetryRequest): boolean {
    return this.#retries.take(service, now, retry);
  }

  /** A retry that was taken is about to be sent; false if it is no longer allowed. */
  sendRetry(service: ServiceId, now: number): boolean {
    return this.#retries.send(service, now);
  }

  /** A retry that was taken is not sent. */
  releaseRetry(service: ServiceId): void {
    this.#retries.release(service);
  }

  /** Requests and retries of this VM, by service, for metrics. */
  retryTotals(): ReadonlyMap<ServiceId, RetryTotals> {
    return this.#retries.totals();
  }

  /** How often requests asked for a retry, by service, for metrics. */
  retryCounts(): ReadonlyMap<ServiceId, RetryCounts> {
    return this.#retries.counts();
  }

  /** Whether a target of the service that refused a request may get it again. */
  mayTryAgain(service: ServiceId, now: number): boolean {
    return this.#known.room.mayTryAgain(service, now);
  }

  /** Decisions on services whose room is shared among all VMs. */
  get room(): VmRoom {
    return this.#known.room;
  }

  /**
   * Refuses a new request if the service has no room for it; call it once for each
   * request, before {@link place}.
   */
  checkRoom(
    request: PlacementRequest,
    now: number,
  ): PlacementRefused | undefined {
    return this.#admission.checkRoom(request, now);
  }

  /**
   * Decides what happens to a request now. `ahead` is the number of requests queued
   * before it.
   */
  place(
    request: PlacementRequest,
    moment: PlacementMoment,
  ): PlacementDecision {
    return this.#admission.place(request, moment);
  }

  /**
   * Records that a request has been assigned to a target. A call of {@link ended}
   * must follow.
   */
  sent(id: TargetId, now: number): void {
    const entry = this.#known.entries.get(id);
    if (entry === undefined) {
      return;
    }
    entry.load.sent();
    this.#admission.sent(entry.target.service, now);
    this.#known.rates.sent(id, now);
  }

  /** Records that the request has been written to the target's connection. */
  written(id: TargetId, now: number): void {
    const entry = this.#known.entries.get(id);
    if (entry !== undefined) {
      this.#feedback.written(entry, now);
    }
  }

  /**
   * Records the end of an attempt that was {@link sent}. `writtenAt` is undefined
   * if it was never written to the connection.
   */
  ended(id: TargetId, result: AttemptResult, times: AttemptTimes): void {
    const entry = this.#known.entries.get(id);
    if (entry === undefined) {
      return;
    }
    switch (result.kind) {
      case "answered":
        this.#reach.responded(times.now);
        break;
      case "broke":
        this.#recordFailure(id, times.now);
        break;
      case "abandoned":
        if (entry.health.wasSilent(times)) {
          this.#recordFailure(id, times.now);
        }
        break;
    }
    this.#feedback.ended(entry, result, times);
  }

  /**
   * Applies the rate limit that a target has reported, to this VM or to another
   * one; true if it differs from the known one.
   */
  updateLimit(id: TargetId, limit: ReportedLimit): boolean {
    return this.#known.entries.get(id) !== undefined &&
      this.#known.rates.updateLimit(id, limit);
  }

  /**
   * The target has refused a request and asked this VM to send nothing until
   * `until`.
   */
  backOff(id: TargetId, until: number): void {
    this.#known.entries.get(id)?.health.backOff(until);
  }

  /** Marks the target unreachable: no connection could be established. */
  markUnreachable(id: TargetId, now: number): void {
    const entry = this.#known.entries.get(id);
    if (entry === undefined) {
      return;
    }
    this.#recordFailure(id, now);
    if (!this.#isCutOffAlone) {
      this.#feedback.markUnreachable(entry, now);
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
    const entry = this.#known.entries.get(id);
    this.#reach.proven();
    if (coldMs > 0) {
      this.#known.rates.markCold(id, now + coldMs);
    }
    entry?.health.probeSucceeded(now);
  }

  /** Records that the probe of a target that is out of use failed. */
  probeFailed(id: TargetId, now: number): void {
    this.#reach.probeFailed(id, { now, known: this.#countTried(now) });
  }

  /**
   * Checks all targets with pending requests and returns those that have become
   * unresponsive since the last call.
   */
  findUnresponsive(now: number): readonly TargetId[] {
    if (this.#isCutOffAlone) {
      return [];
    }
    const unresponsive = this.#feedback.findUnresponsive(now);
    unresponsive.forEach((id) => this.#recordFailure(id, now));
    return unresponsive;
  }

  /** Targets that should be probed now. Schedules the next probe of each. */
  probesDue(now: number): readonly TargetId[] {
    return this.#feedback.probesDue(now);
  }

  /** Whether failures say nothing about targets: this VM reaches none, and others do. */
  get #isCutOffAlone(): boolean {
    return this.isCutOff && this.#othersReachTargets();
  }

  #recordFailure(id: TargetId, now: number): void {
    this.#reach.failed(id, { now, known: this.#countTried(now) });
  }

  /** Number of targets that may get requests now or have failed; the others show nothing of this VM's links. */
  #countTried(now: number): number {
    const { recentlyFailed } = this.#reach;
    const { entries, rates } = this.#known;
    const tried = entries.all().filter((entry) =>
      recentlyFailed.has(entry.target.id) ||
      (entries.isInUse(entry, now) && rates.isWithinLimit(entry.target, now))
    );
    return Math.max(1, tried.length);
  }
}
