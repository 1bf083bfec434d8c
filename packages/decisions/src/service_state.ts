/**
 * State of one service on this VM: its targets, its waiting requests and the
 * usual time of its requests.
 *
 * @module
 */

import type { CallerId, RegionId, ServiceId, VmId } from "@poplarthread/ids";
import { Estimator } from "./estimator.ts";
import { FairQueue } from "./fair_queue.ts";
import type { ClassPolicy } from "./policy.ts";
import type { RequestState } from "./request_state.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { TargetState } from "./target_state.ts";

/** Time constant for smoothing the demand that plans are made from. Callers
 * move between regions with their cached look-ups, over seconds; faster changes
 * are handled by lending. */
const DEMAND_SMOOTHING_MS = 10_000;

/** A class of requests within one service. */
export interface ClassState {
  readonly policy: ClassPolicy;
  /** Index in `ServiceState.classes`. */
  readonly index: number;
  readonly waiting: FairQueue;
  /** Time of its requests from dispatch to end, in milliseconds. */
  readonly time: Estimator;
  /** Share of the slots reserved for better classes. */
  reservedAbove: number;
  /** Attempts running. */
  inUse: number;
  /** Head and tail of the list of attempts that may be hedged, oldest first. */
  hedgeHead: RequestState | undefined;
  hedgeTail: RequestState | undefined;
}

/** A peer's pending slot request. */
export interface PendingSlotRequest {
  readonly from: VmId;
  readonly region: RegionId;
  slots: number;
  readonly rank: number;
  /** Expected waits there, for its best rank and for all requests, in ms. */
  rankWaitMs: number;
  waitMs: number;
  readonly expiresAt: number;
}

/** This VM's last slot request to its peers. */
export interface SlotRequestState {
  /** Slots last requested; 0 if no request is pending. */
  slots: number;
  at: number;
}

/** State of one service. */
export class ServiceState {
  /** Targets where this VM may use slots, in no particular order. */
  held: TargetState[] = [];
  /** All known targets. */
  readonly targets = new Set<TargetState>();
  /** Total slots that may be used at open targets. */
  heldSlots = 0;
  /** Attempts running. */
  inUse = 0;
  /** Requests waiting, of all classes. */
  waiting = 0;
  /** Best rank first. */
  classes: ClassState[] = [];
  /** Time of its requests of all classes. */
  readonly time = new Estimator();
  readonly budget = new RetryBudget();
  readonly inUseBy = new Map<CallerId, number>();
  readonly slotRequests = new Map<VmId, PendingSlotRequest>();
  readonly requestedNearby: SlotRequestState = {
    slots: 0,
    at: Number.NEGATIVE_INFINITY,
  };
  readonly requestedRemotely: SlotRequestState = {
    slots: 0,
    at: Number.NEGATIVE_INFINITY,
  };
  /** Smoothed number of slots that its requests occupy or wait for. */
  demand = 0;
  #demandAt = Number.NEGATIVE_INFINITY;
  /** Index in `held` at which the next search for a target starts. */
  searchStart = 0;

  readonly id: ServiceId;

  constructor(id: ServiceId) {
    this.id = id;
  }

  /** Recomputes the usable slots after slots or lists changed. */
  recountHeld(): void {
    this.held = [];
    this.heldSlots = 0;
    for (const target of this.targets) {
      if (!target.open || target.held <= 0) continue;
      this.held.push(target);
      this.heldSlots += target.held;
    }
  }

  /** Updates the usable slots after `slots` of a target were added (positive)
   * or removed. */
  changeHeld(target: TargetState, slots: number): void {
    if (!target.open) return;
    this.heldSlots += slots;
    const at = this.held.indexOf(target);
    if (target.held > 0 && at < 0) this.held.push(target);
    if (target.held <= 0 && at >= 0) this.held.splice(at, 1);
  }

  /** Applies the classes of a policy. Waiting requests must have left before. */
  setClasses(policies: readonly ClassPolicy[]): void {
    const byRank = [...policies].sort((a, b) => a.rank - b.rank);
    const old = new Map(this.classes.map((cls) => [cls.policy.id, cls]));
    this.classes = byRank.map((policy, index) => ({
      policy,
      index,
      waiting: old.get(policy.id)?.waiting ?? new FairQueue(),
      time: old.get(policy.id)?.time ?? new Estimator(),
      reservedAbove: byRank
        .filter((better) => better.rank < policy.rank)
        .reduce((sum, better) => sum + better.reservedShare, 0),
      inUse: 0,
      hedgeHead: undefined,
      hedgeTail: undefined,
    }));
  }

  /** Updates the smoothed demand. */
  updateDemand(now: number): void {
    const slots = this.inUse + this.waiting;
    const weight = 1 - Math.exp((this.#demandAt - now) / DEMAND_SMOOTHING_MS);
    this.demand += weight * (slots - this.demand);
    this.#demandAt = now;
  }

  /** Slots that one caller may hold while others wait. */
  callerLimit = Number.POSITIVE_INFINITY;

  /** Whether a caller holds its full share of slots. */
  isOverShare(caller: CallerId): boolean {
    if (this.inUse === 0) return false;
    return (this.inUseBy.get(caller) ?? 0) >= this.callerLimit;
  }

  /** Waiting requests of a class, without those of its longest queue's caller
   * if that caller holds its full share of slots. */
  fairlyWaiting(cls: ClassState): number {
    const { size } = cls.waiting;
    if (size === 0) return 0;
    const longest = cls.waiting.longest()!;
    return this.isOverShare(longest.caller) ? size - longest.size : size;
  }

  /** Waiting requests of this rank or better, counted by {@link fairlyWaiting}. */
  waitingTo(rank: number): number {
    let count = 0;
    for (const cls of this.classes) {
      if (cls.policy.rank <= rank) count += this.fairlyWaiting(cls);
    }
    return count;
  }

  /** Expected wait of a request with `ahead` others before it, in ms. */
  waitMs(ahead: number): number {
    return this.workMs(ahead + 1);
  }

  /** Time in which the held slots serve this number of requests, in ms. */
  workMs(requests: number): number {
    return requests * this.time.mean / Math.max(1, this.heldSlots);
  }
}
