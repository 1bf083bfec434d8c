/**
 * Public interface of this package: one `Steering` per VM takes events and
 * returns the actions to carry out.
 *
 * @module
 */

import type { ServiceId, TargetId, VmId } from "@poplarthread/ids";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as attempts from "./attempts.ts";
import type { HealthState } from "./target_health.ts";
import type { Effect } from "./effect.ts";
import type { SteeringEvent } from "./event.ts";
import {
  addLoan,
  assignSlots,
  endLoan,
  returnIdle,
  slotRequestDueAt,
} from "./exchange.ts";
import { lateAt } from "./hedge.ts";
import { MAX_BORROWED_IDLE_MS, storeSlotRequest } from "./lending.ts";
import { mostAreFailing } from "./placement.ts";
import type { Policy } from "./policy.ts";
import * as requests from "./requests.ts";
import type { ServiceState } from "./service_state.ts";
import { VmState } from "./vm_state.ts";

/** Settings of one VM's `Steering`. */
export interface SteeringOptions {
  readonly self: VmId;
  readonly policy: Policy;
  /** Seeds the jitter of the Retry-After times. */
  readonly seed: number;
}

/** Operators' view of one target, as this VM sees it. */
export interface TargetView {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly owned: number;
  readonly lent: number;
  readonly borrowed: number;
  readonly inUse: number;
  readonly standing: HealthState | "leaving" | "drained";
  /** Response time relative to the usual one; 1 is usual. */
  readonly ratio: number;
}

/** This VM's view of one service, for operators and the planner. */
export interface ServiceView {
  readonly service: ServiceId;
  readonly heldSlots: number;
  readonly inUse: number;
  readonly waiting: number;
  /** Smoothed number of slots that its requests occupy or wait for; the
   * planner's measured demand. */
  readonly demand: number;
  /** Expected wait of a request that arrives now, in ms. */
  readonly waitMs: number;
}

/** The decision logic of one VM. Deterministic: the same events at the same
 * times give the same effects. */
export class Steering {
  readonly self: VmId;
  readonly #vm: VmState;
  #nextReturnAt = 0;

  constructor(opts: SteeringOptions) {
    this.self = opts.self;
    this.#vm = new VmState(opts.self, {
      policy: opts.policy,
      rng: xoroshiro128plus(opts.seed),
    });
  }

  /** Time at which the next `tick` is due, on the clock of `now`; undefined if
   * none is. A few milliseconds early or late do no harm. */
  get nextTickAt(): number | undefined {
    const vm = this.#vm;
    let at = vm.giveUps.peek()?.giveUpAt ?? Number.POSITIVE_INFINITY;
    if (!vm.expired) at = Math.min(at, vm.planEndsAt);
    for (const service of vm.services.values()) {
      if (service.waiting > 0) at = Math.min(at, slotRequestDueAt(service));
      for (const cls of service.classes) {
        if (cls.hedgeHead !== undefined) {
          at = Math.min(at, lateAt(cls.hedgeHead));
        }
      }
    }
    if (vm.lingering.length > 0) at = Math.min(at, vm.lingering[0]!.until);
    if (this.#hasLoans()) at = Math.min(at, this.#nextReturnAt);
    return Number.isFinite(at) ? at : undefined;
  }

  /** Processes one event. `now` must not decrease. The returned effects must be
   * carried out in their order. */
  handle(event: SteeringEvent, now: number): readonly Effect[] {
    const out: Effect[] = [];
    const ctx = { now, out };
    if (now >= this.#vm.planEndsAt && !this.#vm.expired) this.#vm.expire();
    const service = this.#apply(event, ctx);
    if (service === "all") this.#assignAllSlots(ctx);
    else if (service !== undefined) assignSlots(this.#vm, service, ctx);
    this.#confirmPlan(out);
    return out;
  }

  /** This VM's view of its targets. */
  targets(now: number): TargetView[] {
    const views: TargetView[] = [];
    for (const target of this.#vm.targets.values()) {
      const mostFailing = mostAreFailing(
        this.#vm.services.get(target.service)!,
      );
      let standing: TargetView["standing"] = target.health.stateAt(
        now,
        mostFailing,
      );
      if (target.drained) standing = "drained";
      if (target.leaving) standing = "leaving";
      views.push({
        target: target.id,
        service: target.service,
        owned: target.owned,
        lent: target.lent,
        borrowed: target.borrowed,
        inUse: target.inUse,
        standing,
        ratio: target.health.ratio,
      });
    }
    return views;
  }

  /** This VM's view of its services. */
  services(): ServiceView[] {
    return [...this.#vm.services.values()].map((service) => ({
      service: service.id,
      heldSlots: service.heldSlots,
      inUse: service.inUse,
      waiting: service.waiting,
      demand: service.demand,
      waitMs: service.heldSlots > service.inUse
        ? 0
        : service.waitMs(service.waiting),
    }));
  }

  /** Updates the state; returns the service whose free slots are to be
   * assigned. */
  #apply(
    event: SteeringEvent,
    ctx: { now: number; out: Effect[] },
  ): ServiceState | "all" | undefined {
    const vm = this.#vm;
    const { now, out } = ctx;
    switch (event.kind) {
      case "arrive":
        return requests.arrive(vm, event, ctx);
      case "answering": {
        const req = vm.requests.get(event.request);
        if (req !== undefined) attempts.startResponse(req, event.attempt, out);
        return undefined;
      }
      case "ended": {
        const request = vm.requests.get(event.request);
        if (request === undefined) return undefined;
        const { attempt, outcome } = event;
        attempts.endAttempt(vm, { request, attempt, outcome }, ctx);
        return request.service;
      }
      case "gone": {
        const req = vm.requests.get(event.request);
        if (req === undefined) return undefined;
        attempts.abandon(vm, req, out);
        return req.service;
      }
      case "report":
        vm.targets.get(event.target)?.health
          .recordReport(event.healthy, event.ageMs, now);
        return undefined;
      case "peer-belief":
        vm.targets.get(event.target)?.health.recordPeerReport(event, now);
        return undefined;
      case "target-leaving": {
        const target = vm.targets.get(event.target);
        if (target === undefined) return undefined;
        target.leaving = true;
        const service = vm.services.get(target.service);
        service?.recountHeld();
        return service;
      }
      case "targets":
        vm.setTargets(event.targets);
        return "all";
      case "vms":
        vm.setVms(event.vms);
        return "all";
      case "drains":
        vm.setDrains(event);
        return "all";
      case "plan":
        vm.setPlan(event.plan, now, event.validMs);
        return "all";
      case "region-lost":
        vm.setLost(event.region, event.lost);
        return "all";
      case "policy":
        vm.setPolicy(event.policy);
        return "all";
      case "asked": {
        const service = vm.services.get(event.service);
        if (service !== undefined) storeSlotRequest(service, event, now);
        return service;
      }
      case "borrowed":
        return addLoan(vm, event, ctx);
      case "loan-ended":
        return endLoan(vm, event);
      case "tick":
        this.#tick(ctx);
        return "all";
    }
  }

  #tick(ctx: { now: number; out: Effect[] }): void {
    const vm = this.#vm;
    const { now } = ctx;
    this.#endLingering(now);
    vm.dropExpiredLoans(now);
    for (;;) {
      const req = vm.giveUps.peek();
      if (req === undefined || req.giveUpAt > now) break;
      requests.giveUp(vm, req, ctx);
    }
    for (const service of vm.services.values()) {
      for (const cls of service.classes) attempts.hedgeLate(vm, cls, ctx);
    }
    if (now < this.#nextReturnAt) return;
    this.#nextReturnAt = now + MAX_BORROWED_IDLE_MS;
    returnIdle(vm, ctx);
  }

  #assignAllSlots(ctx: { now: number; out: Effect[] }): void {
    for (const service of this.#vm.services.values()) {
      assignSlots(this.#vm, service, ctx);
    }
  }

  #endLingering(now: number): void {
    const vm = this.#vm;
    if (vm.lingering.length === 0) return;
    for (const { target, until } of vm.lingering) {
      if (until <= now) target.inUse--;
    }
    vm.lingering = vm.lingering.filter(({ until }) => until > now);
  }

  #confirmPlan(out: Effect[]): void {
    const vm = this.#vm;
    if (vm.unconfirmedPlan === undefined || !vm.withinPlan) return;
    out.push({ kind: "plan-applied", sequence: vm.unconfirmedPlan });
    vm.unconfirmedPlan = undefined;
  }

  #hasLoans(): boolean {
    for (const service of this.#vm.services.values()) {
      for (const { loans } of service.held) if (loans.length > 0) return true;
    }
    return false;
  }
}
