/**
 * Steers the requests of one VM: which target gets a request, which request
 * waits, and which is refused at once.
 *
 * Pure: it takes the time as an argument and opens no socket. Times are
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
  leastCostBehind,
  MOST_POSITION,
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
import type { Place, SteeredTarget } from "./target.ts";
import { TargetBelief } from "./target_belief.ts";
import { TargetIndex } from "./target_index.ts";
import type { NamedLimit } from "./target_limits.ts";
import { TargetLoad } from "./target_load.ts";
import type { TargetOwner } from "./target_owners.ts";
import { TargetRates } from "./target_rates.ts";
import { type HashedPair, WarmObjects } from "./warm_objects.ts";

/** What a VM steers by besides its targets. */
export interface SteeringOptions {
  readonly vm: VmId;
  readonly place: Place;
  readonly retries: RetryBound;
  readonly weights?: PlacementWeights;
  /** Told of a target that is warm for an object, for the other VMs. */
  warmed?(pair: HashedPair): void;
  /** How many targets of the agreed order are weighed before all are; {@link WEIGHS_FIRST} if left out. */
  readonly weighsFirst?: number;
}

/**
 * Those up to the position from which all are alike. Whatever is behind them costs
 * more, unless it is warm: weighing all 576 targets of a large service for each
 * request, and for each that waits at each end of another, only confirmed that.
 */
const WEIGHS_FIRST = MOST_POSITION + 1;

/**
 * Requests that may wait at a target, as a multiple of its slots. A wait there
 * cannot be taken back for a more urgent request or a target that gets free, and a
 * full target refuses; with none waiting, a slot would stand idle for a round trip.
 */
const QUEUE_PER_SLOT = 2 / 3;
/** A request that was expected to wait longer for a slot says nothing about times, in milliseconds. */
const MEASURED_WAIT_MS = 60;
/**
 * Share of its time that a request may wait here. The expected wait is a guess
 * that more urgent requests can prove wrong; a request that is refused at half of
 * its time can still be served when it comes back.
 */
const MOST_WAIT_SHARE = 0.5;
/** Shortest Retry-After, in milliseconds: about one warm service time. */
const RETRY_AFTER_LEAST_MS = 100;
/** Retry-After where no target may be used, in milliseconds: the list of targets changes within about this time. */
const RETRY_AFTER_NO_TARGET_MS = 500;

interface Entry {
  target: SteeredTarget;
  readonly load: TargetLoad;
  readonly belief: TargetBelief;
}

/** A target with its position in the agreed order of a request's object. */
interface Positioned {
  readonly entry: Entry;
  /** Undefined where requests are all alike. */
  readonly position: number | undefined;
}

/** See the module's comment. */
export class Steering {
  readonly roundTrips: RoundTrips;
  readonly #options: SteeringOptions;
  readonly #weights: PlacementWeights;
  readonly #weighsFirst: number;
  readonly #index: TargetIndex<Entry>;
  /** Ids of the targets by their hashes, as other VMs name them. */
  readonly #ids = new Map<number, TargetId>();
  /** Targets that may have requests of this VM without an answer. Of hundreds, few have any at a time. */
  readonly #awaited = new Set<Entry>();
  /** Targets that may be out, to be probed. */
  readonly #out = new Set<Entry>();
  readonly #rates: TargetRates;
  readonly #warm = new WarmObjects();
  readonly #times = new ServiceTimes();
  readonly #kinds = new KindTimes();
  readonly #drains = new Map<ServiceId, DrainRate>();
  readonly #budgets = new Map<ServiceId, FleetRetryBudget>();
  #evacuated: ReadonlySet<string> = new Set();

  constructor(options: SteeringOptions) {
    this.#options = options;
    this.#rates = new TargetRates(options.vm);
    this.#weights = options.weights ?? DEFAULT_WEIGHTS;
    this.#weighsFirst = options.weighsFirst ?? WEIGHS_FIRST;
    this.#index = new TargetIndex(options.place);
    this.roundTrips = new RoundTrips(options.place);
  }

  /** The VMs that take part, this one among them. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#rates.setVms(vms);
    this.#index.setVms(vms);
  }

  /** Number of VMs that share the limits of all VMs together; more than those that take part, while some may be behind a cut. */
  setFleetSize(vms: number): void {
    this.#rates.setFleetSize(vms);
  }

  /** Zones whose targets get nothing. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
    this.#index.setEvacuated(zones);
  }

  /** Adds a target, or takes in what has changed about it. */
  setTarget(target: SteeredTarget): void {
    const entry = this.#index.get(target.id);
    if (entry !== undefined) {
      if (entry.target.region !== target.region) {
        this.#rates.moved(target.id);
      }
      this.#index.update(entry, target);
      return;
    }
    this.#ids.set(target.hash, target.id);
    this.#index.add({
      target,
      load: new TargetLoad(),
      belief: new TargetBelief(),
    });
  }

  /** The target is gone. */
  removeTarget(id: TargetId): void {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      this.#ids.delete(entry.target.hash);
      this.#awaited.delete(entry);
      this.#out.delete(entry);
    }
    this.#index.delete(id);
    this.#rates.forget(id);
    this.#warm.forget(id);
  }

  /** The target has started anew: it keeps nothing warm, has named no limit and asked for no rest. */
  restarted(id: TargetId): void {
    this.#warm.forget(id);
    this.#rates.restarted(id);
    this.#index.get(id)?.belief.restarted();
  }

  /** Targets that have a limit. */
  get limitedTargets(): number {
    return this.#rates.limited;
  }

  /** The target is cold until `until`. */
  markCold(id: TargetId, until: number): void {
    this.#rates.markCold(id, until);
  }

  /** Another VM tells that a target is warm for an object. */
  heardWarm({ object, target }: HashedPair, now: number): void {
    const id = this.#ids.get(target);
    if (id !== undefined) {
      this.#warm.heard({ object, target: id }, now);
    }
  }

  /** Pairs that are likely warm, for a VM that knows none. */
  warmPairs(now: number): readonly HashedPair[] {
    return this.#warm.all(now).flatMap(({ object, target }) => {
      const entry = this.#index.get(target);
      return entry === undefined ? [] : [{ object, target: entry.target.hash }];
    });
  }

  /** Round trip to a target, in milliseconds; 0 where it is not known. */
  roundTripTo(id: TargetId): number {
    const entry = this.#index.get(id);
    return entry === undefined ? 0 : this.roundTrips.to(entry.target);
  }

  /** A caller's request for `service` came. */
  arrived(service: ServiceId, priority: number, now: number): void {
    this.#budget(service).arrived(now);
    this.#drain(service).arrived(priority, now);
  }

  /** Whether a request may be sent once more; if so, that is counted. */
  spendRetry(service: ServiceId, now: number): boolean {
    return this.#budget(service).spend(now, this.#rates.allVms);
  }

  /** Decides what happens to a request now. `ahead` requests wait before it. */
  place(
    request: PlacementRequest,
    { now, ahead }: { now: number; ahead: number },
  ): PlacementDecision {
    const serviceMs = this.#times.mean(request.service);
    const first = this.#usable(request, now, this.#weighsFirst);
    if (first.length === 0) {
      return refuse("no-target", this.#usableInMs(request, now));
    }
    const choice = this.#choose(first, request, now);
    const left = request.answerBy - now;
    const chosen = choice && this.#index.get(choice.target);
    if (choice !== undefined && chosen && this.#hasRoom(chosen, now)) {
      return choice.expectedMs + serviceMs / 2 > left
        ? refuse("overload", choice.expectedMs)
        : {
          kind: "send",
          warmth: this.#warmth(choice, request, now),
          ...choice,
        };
    }
    const waitMs = this.#drain(request.service)
      .waitMs(request.priority, { now, ahead });
    const waitsUntil = now + waitMs;
    const mostWaitMs = (request.answerBy - request.arrivedAt) * MOST_WAIT_SHARE;
    return waitsUntil > request.arrivedAt + mostWaitMs
      ? refuse("overload", waitMs)
      : { kind: "wait" };
  }

  /** A request is sent to a target; {@link ended} follows. */
  sent(id: TargetId, now: number): void {
    const entry = this.#index.get(id);
    if (entry === undefined) {
      return;
    }
    entry.load.sent();
    this.#drain(entry.target.service).sent(now);
    this.#rates.sent(id, now);
  }

  /** The request was written to the target's connection. */
  written(id: TargetId, now: number): void {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      entry.belief.sent(now);
      this.#awaited.add(entry);
    }
  }

  /** An attempt ended that was {@link sent}, and written at `writtenAt` if ever. */
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
        this.#answered(entry, result, { now, writtenAt });
        return;
      case "broke":
        entry.belief.broke(writtenAt, now);
        return;
      case "abandoned":
        entry.belief.dropped(writtenAt);
        return;
    }
  }

  /** A target says whether it has a limit, in an answer or to another VM; true if that is news. */
  limitNamed(id: TargetId, limit: NamedLimit): boolean {
    return this.#index.get(id) !== undefined &&
      this.#rates.limitNamed(id, limit);
  }

  /** The target has turned a request away and wants nothing from this VM until then. */
  rests(id: TargetId, until: number): void {
    this.#index.get(id)?.belief.rest(until);
  }

  /** No connection to the target came about. */
  unreachable(id: TargetId, now: number): void {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      entry.belief.unreachable(now);
      this.#out.add(entry);
    }
  }

  /** A probe found the target healthy, and cold for `coldMs`. */
  probeAnswered(
    id: TargetId,
    { now, coldMs }: { now: number; coldMs: number },
  ): void {
    const entry = this.#index.get(id);
    if (coldMs > 0) {
      this.#rates.markCold(id, now + coldMs);
    }
    entry?.belief.probeAnswered(now);
  }

  /** Targets that have fallen silent since the last call. */
  checkSilence(now: number): readonly TargetId[] {
    const silent: TargetId[] = [];
    for (const entry of this.#awaited) {
      const { target, load, belief } = entry;
      if (!belief.isAwaited) {
        this.#awaited.delete(entry);
        continue;
      }
      const serviceMs = this.#times.mean(target.service);
      const waitMs = load.waitMs(now, { slots: target.slots, serviceMs });
      const longMs = this.#times.long(target.service);
      if (belief.check(now, { waitMs, longMs })) {
        silent.push(target.id);
        this.#out.add(entry);
      }
    }
    return silent;
  }

  /** Targets of which a probe is due. */
  probesDue(now: number): readonly TargetId[] {
    const due: TargetId[] = [];
    for (const entry of this.#out) {
      const { target, belief } = entry;
      if (belief.standing === "in-use") {
        this.#out.delete(entry);
      } else if (!target.leaving && belief.probeDue(now)) {
        due.push(target.id);
      }
    }
    return due;
  }

  #answered(
    entry: Entry,
    result: Extract<AttemptResult, { kind: "answered" }>,
    { now, writtenAt }: { now: number; writtenAt: number },
  ): void {
    const { target, load, belief } = entry;
    const { failed, object, requestKind, warmth } = result;
    belief.answered(writtenAt, { now, failed });
    if (result.load !== undefined) {
      load.reported(result.load, now);
    }
    if (failed) {
      return;
    }
    const ms = now - writtenAt - this.roundTrips.to(target);
    this.#times.answered(target.service, ms);
    if (result.load === undefined || result.load.waiting === 0) {
      this.#times.measured(target.service, ms);
      if (warmth !== "unknown") {
        this.#kinds.measured(requestKind, ms, warmth === "warm");
      }
    }
    if (object === undefined) {
      return;
    }
    if (this.#warm.used({ object, target: target.id }, now)) {
      this.#options.warmed?.({ object, target: target.hash });
    }
  }

  #isUsable(entry: Entry, request: PlacementRequest, now: number): boolean {
    return this.#isInUse(entry, request) &&
      entry.belief.restMs(now) === 0 &&
      !request.tried.has(entry.target.id);
  }

  /** Whether it may be used, but for the requests that it had already and its rest. */
  #isInUse({ target, belief }: Entry, request: PlacementRequest): boolean {
    return !target.leaving &&
      belief.standing === "in-use" &&
      !this.#evacuated.has(target.zone) &&
      (request.regions.length === 0 || request.regions.includes(target.region));
  }

  /** When its caller had better come again, in milliseconds: where all targets rest, at the end of the first rest. */
  #usableInMs(request: PlacementRequest, now: number): number {
    const rests = this.#index.ofService(request.service)
      .filter((entry) => this.#isInUse(entry, request))
      .map(({ belief }) => belief.restMs(now));
    const soonest = Math.min(...rests);
    return soonest > 0 && Number.isFinite(soonest)
      ? soonest
      : RETRY_AFTER_NO_TARGET_MS;
  }

  #hasRoom({ target, load }: Entry, now: number): boolean {
    const most = target.slots + Math.round(target.slots * QUEUE_PER_SLOT);
    // What a report says of other VMs fades to fractions of a request: less than
    // half of one takes no place.
    return Math.round(load.inFlight(now)) < most;
  }

  /** The first `most` targets that a request may use, in the agreed order of its object. */
  #usable(
    request: PlacementRequest,
    now: number,
    most: number,
  ): readonly Entry[] {
    const { service, object } = request;
    if (object === undefined) {
      return this.#index.ofService(service)
        .filter((entry) => this.#isUsable(entry, request, now));
    }
    const usable: Entry[] = [];
    for (const entry of this.#index.inOrder(service, object)) {
      if (this.#isUsable(entry, request, now) && usable.push(entry) >= most) {
        break;
      }
    }
    return usable;
  }

  /** The cheapest target, where `first` are the first that may be used. */
  #choose(
    first: readonly Entry[],
    request: PlacementRequest,
    now: number,
  ): Choice | undefined {
    const isAll = first.length < this.#weighsFirst ||
      request.object === undefined;
    if (isAll) {
      return this.#cheapest(this.#inOrder(first, request), request, now);
    }
    const basis = {
      weights: this.#weights,
      savedMs: this.#kinds.savedMs(request.kind),
    };
    const near = this.#cheapest(
      [
        ...this.#inOrder(first, request),
        ...this.#warmBehind(first, request, now),
      ],
      request,
      now,
    );
    if (near && near.cost <= leastCostBehind(basis)) {
      return near;
    }
    const all = this.#usable(request, now, Infinity);
    return this.#cheapest(this.#inOrder(all, request), request, now);
  }

  /** Targets with their positions; requests without an object have none. */
  #inOrder(
    usable: readonly Entry[],
    { object }: PlacementRequest,
  ): readonly Positioned[] {
    return usable.map((entry, position) => ({
      entry,
      position: object === undefined ? undefined : position,
    }));
  }

  /** Targets behind `first` that are warm for the request's object, in the agreed order, which breaks ties alike on all VMs. */
  #warmBehind(
    first: readonly Entry[],
    request: PlacementRequest,
    now: number,
  ): readonly Positioned[] {
    const { service } = request;
    const object = request.object!;
    const near = new Set(first);
    const warm: Entry[] = [];
    for (const id of this.#warm.targetsOf(object, now)) {
      const entry = this.#index.get(id);
      const isBehind = entry?.target.service === service && !near.has(entry);
      if (isBehind && this.#isUsable(entry, request, now)) {
        warm.push(entry);
      }
    }
    return this.#index.sorted(warm, { service, object })
      .map((entry) => ({ entry, position: MOST_POSITION }));
  }

  #cheapest(
    positioned: readonly Positioned[],
    { service, object, kind }: PlacementRequest,
    now: number,
  ): Choice | undefined {
    const serviceMs = this.#times.mean(service);
    const candidates: Candidate[] = [];
    for (const { entry, position } of positioned) {
      const { target, load, belief } = entry;
      if (!this.#rates.takes(target, now)) {
        continue;
      }
      candidates.push({
        target,
        position,
        price: {
          roundTripMs: this.roundTrips.to(target),
          waitMs: load.waitMs(now, { slots: target.slots, serviceMs }),
          isWarm: object !== undefined &&
            this.#warm.isWarm(object, target.id, now),
          failureShare: belief.failureShare(now),
        },
      });
    }
    return choose(candidates, {
      from: this.#options.place,
      weights: this.#weights,
      savedMs: this.#kinds.savedMs(kind),
    });
  }

  /** Unknown where the request may wait: its time would not be that of its work. */
  #warmth(
    { target, expectedMs }: Choice,
    { object }: PlacementRequest,
    now: number,
  ): Warmth {
    if (object === undefined) {
      return "unknown";
    }
    if (this.#warm.isWarm(object, target, now)) {
      return "warm";
    }
    return expectedMs > MEASURED_WAIT_MS ? "unknown" : "unwarmed";
  }

  #budget(service: ServiceId): FleetRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new FleetRetryBudget(this.#options.retries);
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #drain(service: ServiceId): DrainRate {
    let drain = this.#drains.get(service);
    if (drain === undefined) {
      drain = new DrainRate();
      this.#drains.set(service, drain);
    }
    return drain;
  }
}

function refuse(
  reason: PlacementRefusal,
  waitMs: number,
): PlacementDecision {
  return {
    kind: "refuse",
    reason,
    retryAfterMs: Math.max(RETRY_AFTER_LEAST_MS, waitMs),
  };
}
