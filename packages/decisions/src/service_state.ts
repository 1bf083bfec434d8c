/**
 * One service as this VM knows it: its targets, its waiting requests and what
 * its requests usually take.
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

/** Memory of the demand that plans are made from. Shares of callers move with
 * their cached look-ups, over seconds; faster changes are the lending's. */
const DEMAND_MS = 10_000;

/** A class of requests within one service. */
export interface ClassState {
  readonly policy: ClassPolicy;
  /** Place in `ServiceState.classes`. */
  readonly index: number;
  readonly waiting: FairQueue;
  /** What its requests take from dispatch to end, in milliseconds. */
  readonly time: Estimator;
  /** Share of the slots kept for better classes. */
  reservedAbove: number;
  /** Attempts running. */
  inUse: number;
  /** Ends of the list of attempts that may be hedged, oldest first. */
  hedgeHead: RequestState | undefined;
  hedgeTail: RequestState | undefined;
}

/** A peer's standing question. */
export interface StandingAsk {
  readonly from: VmId;
  readonly region: RegionId;
  slots: number;
  readonly rank: number;
  /** Expected waits there, of its best rank and of all, in ms. */
  rankWaitMs: number;
  waitMs: number;
  readonly expiresAt: number;
}

/** What this VM has asked its peers. */
export interface AskState {
  /** Slots last asked for; 0: no question stands. */
  slots: number;
  at: number;
}

/** All that belongs to one service. */
export class ServiceState {
  /** Targets where this VM may use slots, in no order. */
  held: TargetState[] = [];
  /** All known targets. */
  readonly targets = new Set<TargetState>();
  /** Sum of slots that may be used, of targets that are open. */
  heldSlots = 0;
  /** Attempts running. */
  inUse = 0;
  /** Requests waiting, of all classes. */
  waiting = 0;
  /** Best rank first. */
  classes: ClassState[] = [];
  /** What any of its requests takes. */
  readonly time = new Estimator();
  readonly budget = new RetryBudget();
  readonly inUseBy = new Map<CallerId, number>();
  readonly asks = new Map<VmId, StandingAsk>();
  readonly asked: AskState = { slots: 0, at: Number.NEGATIVE_INFINITY };
  readonly askedAfar: AskState = { slots: 0, at: Number.NEGATIVE_INFINITY };
  /** Slots that its requests keep busy or wait for, smoothed. */
  demand = 0;
  #demandAt = Number.NEGATIVE_INFINITY;
  /** Where the last search for a target ended. */
  turn = 0;

  readonly id: ServiceId;

  constructor(id: ServiceId) {
    this.id = id;
  }

  /** Counts again what may be used, after slots or lists changed. */
  recount(): void {
    this.held = [];
    this.heldSlots = 0;
    for (const target of this.targets) {
      if (!target.open || target.held <= 0) continue;
      this.held.push(target);
      this.heldSlots += target.held;
    }
  }

  /** Slots of a target were taken or given. */
  changeHeld(target: TargetState, slots: number): void {
    if (!target.open) return;
    this.heldSlots += slots;
    const at = this.held.indexOf(target);
    if (target.held > 0 && at < 0) this.held.push(target);
    if (target.held <= 0 && at >= 0) this.held.splice(at, 1);
  }

  /** Takes over the classes of a policy; waiting requests must have left. */
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

  /** Smooths the demand up to now. */
  measure(now: number): void {
    const slots = this.inUse + this.waiting;
    const weight = 1 - Math.exp((this.#demandAt - now) / DEMAND_MS);
    this.demand += weight * (slots - this.demand);
    this.#demandAt = now;
  }

  /** Slots that one caller may hold while others wait. */
  callerLimit = Number.POSITIVE_INFINITY;

  /** Whether a caller holds its share. */
  isOverShare(caller: CallerId): boolean {
    if (this.inUse === 0) return false;
    return (this.inUseBy.get(caller) ?? 0) >= this.callerLimit;
  }

  /** Waiting requests of a class but those of its longest caller, if that one
   * holds its share of slots already. */
  fairlyWaiting(cls: ClassState): number {
    const { size } = cls.waiting;
    if (size === 0) return 0;
    const longest = cls.waiting.longest()!;
    return this.isOverShare(longest.caller) ? size - longest.size : size;
  }

  /** Fairly waiting requests of this rank or a better one. */
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

  /** Time that the slots held take for a number of requests, in ms. */
  workMs(requests: number): number {
    return requests * this.time.mean / Math.max(1, this.heldSlots);
  }
}
