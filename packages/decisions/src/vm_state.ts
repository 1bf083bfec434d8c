/**
 * State of one VM's decisions: lists, slots, waiting and running requests.
 *
 * @module
 */

import type {
  RegionId,
  RequestId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Drains, TargetEntry, VmEntry } from "./event.ts";
import { GiveUpHeap } from "./give_up_heap.ts";
import { dropExpiredLoans } from "./lending.ts";
import type { Allotment, LinkAllotment, Plan } from "./plan.ts";
import type { Policy } from "./policy.ts";
import { allotLinks, distanceMs, linksFrom, type LinkState } from "./remote.ts";
import type { RequestState } from "./request_state.ts";
import { RetryAfter } from "./retry_after.ts";
import { ServiceState } from "./service_state.ts";
import { TargetState } from "./target_state.ts";

/** A slot that stays occupied for a short time after its attempt was aborted. */
interface Lingering {
  readonly target: TargetState;
  readonly until: number;
}

/** State of one VM, and its updates by lists and plans. */
export class VmState {
  readonly self: VmId;
  policy: Policy;
  region = "" as RegionId;
  zone = "" as ZoneId;
  readonly services = new Map<ServiceId, ServiceState>();
  readonly targets = new Map<TargetId, TargetState>();
  readonly requests = new Map<RequestId, RequestState>();
  readonly giveUps = new GiveUpHeap();
  readonly retryAfter: RetryAfter;
  links = new Map<RegionId, LinkState>();
  /** Live VMs of this region, except this one. */
  neighbours: VmId[] = [];
  /** Live VMs of other regions. */
  remote = new Map<RegionId, VmId[]>();
  plan: Plan | undefined;
  planEndsAt = Number.POSITIVE_INFINITY;
  /** The plan expired: its slots may have been reassigned. */
  expired = false;
  /** Sequence of a plan not yet confirmed: more slots may still be in use than
   * it allots. */
  unconfirmedPlan: number | undefined;
  readonly lostRegions = new Set<RegionId>();
  lingering: Lingering[] = [];
  #drains: Drains | undefined;
  #vms: readonly VmEntry[] = [];

  constructor(self: VmId, opts: { policy: Policy; rng: RandomGenerator }) {
    this.self = self;
    this.policy = opts.policy;
    this.retryAfter = new RetryAfter(opts.rng);
    this.setPolicy(opts.policy);
  }

  setPolicy(policy: Policy): void {
    this.policy = policy;
    for (const { id } of policy.services) {
      const service = this.services.get(id) ?? new ServiceState(id);
      this.services.set(id, service);
      service.setClasses(policy.classes);
    }
    this.#setLinks();
  }

  setVms(vms: readonly VmEntry[]): void {
    this.#vms = vms;
    this.neighbours = [];
    this.remote = new Map();
    const self = vms.find((entry) => entry.vm === this.self);
    if (self !== undefined) {
      this.region = self.region;
      this.zone = self.zone;
    }
    for (const { vm, region, live } of this.#vms) {
      if (vm === this.self || !live) continue;
      if (region === this.region) this.neighbours.push(vm);
      else this.remote.set(region, [...this.remote.get(region) ?? [], vm]);
    }
    this.#setLinks();
  }

  setTargets(entries: readonly TargetEntry[]): void {
    const named = new Set<TargetId>();
    for (const entry of entries) {
      named.add(entry.target);
      const target = this.targets.get(entry.target) ?? this.#addTarget(entry);
      if (target === undefined) continue;
      target.leaving ||= entry.leaving;
      target.cold = entry.cold ?? false;
    }
    for (const target of this.targets.values()) {
      if (!named.has(target.id)) target.leaving = true;
      else if (target.leaving && !isLeaving(entries, target.id)) {
        if (target.gone) this.#resetInstance(target);
      }
      target.gone = !named.has(target.id);
    }
    this.#applyDrains();
    this.#applySlots();
  }

  setDrains(drains: Drains): void {
    this.#drains = drains;
    this.#applyDrains();
    this.recountAll();
  }

  setPlan(plan: Plan, now: number, validMs = plan.ttlMs): void {
    this.planEndsAt = now + validMs;
    this.expired = false;
    const isNew = plan.sequence !== this.plan?.sequence;
    this.plan = plan;
    if (isNew) this.unconfirmedPlan = plan.sequence;
    if (validMs <= 0) this.expire();
    else this.#applySlots();
    this.#setLinks();
  }

  setLost(region: RegionId, lost: boolean): void {
    if (lost) this.lostRegions.add(region);
    else this.lostRegions.delete(region);
    this.#applySlots();
    this.#setLinks();
  }

  /** Stops using a plan that expired without a renewal. */
  expire(): void {
    this.expired = true;
    for (const target of this.targets.values()) target.owned = 0;
    this.recountAll();
  }

  /** Whether no more slots are in use than the plan allots, loans included. */
  get withinPlan(): boolean {
    for (const target of this.targets.values()) {
      if (target.inUse > target.held) return false;
    }
    return true;
  }

  /** Extra time of a target due to its location, in ms. */
  extraMs(target: TargetState): number {
    return distanceMs(target, this, this.links);
  }

  linkTo(target: TargetState): LinkState | undefined {
    if (target.region === this.region) return undefined;
    return this.links.get(target.region);
  }

  recountAll(): void {
    for (const service of this.services.values()) service.recountHeld();
  }

  dropExpiredLoans(now: number): void {
    for (const target of this.targets.values()) {
      if (target.loans.length === 0) continue;
      if (!dropExpiredLoans(target, now)) continue;
      this.services.get(target.service)!.recountHeld();
    }
  }

  #addTarget(entry: TargetEntry): TargetState | undefined {
    const service = this.services.get(entry.service);
    if (service === undefined) return undefined;
    const target = new TargetState(entry);
    this.targets.set(target.id, target);
    service.targets.add(target);
    return target;
  }

  /** A target that had left the list and is named again is a new instance. */
  #resetInstance(target: TargetState): void {
    target.leaving = false;
    target.cold = true;
  }

  #applyDrains(): void {
    const drains = this.#drains;
    if (drains === undefined) return;
    const zones = new Set(drains.zones);
    const targets = new Set(drains.targets);
    for (const target of this.targets.values()) {
      target.drained = zones.has(target.zone) || targets.has(target.id);
    }
  }

  /** Allotments in force: the plan's, or those of its fallback while a region
   * is lost. */
  #allotments(): readonly Allotment[] {
    return this.#fallback()?.allotments ?? this.plan?.allotments ?? [];
  }

  #linkAllotments(): readonly LinkAllotment[] {
    return this.#fallback()?.links ?? this.plan?.links ?? [];
  }

  #fallback() {
    if (this.lostRegions.size !== 1) return undefined;
    return this.plan?.fallbacks.find(({ lost }) => this.lostRegions.has(lost));
  }

  #applySlots(): void {
    if (this.expired) return;
    for (const target of this.targets.values()) target.owned = 0;
    for (const allotment of this.#allotments()) {
      if (allotment.vm !== this.self) continue;
      const target = this.targets.get(allotment.target);
      if (target !== undefined) target.owned = allotment.slots;
    }
    this.recountAll();
  }

  #setLinks(): void {
    this.links = linksFrom(this.policy, this.region, this.links);
    allotLinks(
      this.links,
      this.#linkAllotments().filter(({ vm }) => vm === this.self),
    );
  }
}

function isLeaving(entries: readonly TargetEntry[], id: TargetId): boolean {
  return entries.some((entry) => entry.target === id && entry.leaving);
}
