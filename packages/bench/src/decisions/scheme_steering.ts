/**
 * The production decisions: one `Steering` per VM, connected by messages with
 * the deployment's network delays.
 *
 * @module
 */

import {
  type AttemptOutcome,
  type Confirmation,
  type Drains,
  type Effect,
  type MeasuredDemand,
  nextPlan,
  type Plan,
  Steering,
  type SteeringEvent,
  type TargetEntry,
  type VmEntry,
} from "@poplarthread/decisions";
import { id, type RequestId, type VmId } from "@poplarthread/ids";
import type { JobOutcome } from "./fake_target.ts";
import type { AttemptHandle, BenchRequest, Scheme, World } from "./world.ts";

/** Interval between plans. Each plan also renews the allotments of the one
 * before it. */
const PLAN_MS = 1_000;
/** Time for a plan, a drain or a change of the VM or target list to reach all
 * VMs. */
const PROPAGATION_MS = 500;
/** Subtracted from the duration of a loan to allow for the delay of its
 * message: the borrower must stop using the slots before the lender takes them
 * back. */
const LOAN_MARGIN_MS = 1_000;

interface Node {
  readonly entry: VmEntry;
  readonly steering: Steering;
  readonly requests: Map<RequestId, PendingRequest>;
  tickAt: number;
  appliedSequence: number;
  appliedAt: number;
}

interface PendingRequest {
  readonly req: BenchRequest;
  readonly attempts: Map<number, AttemptHandle>;
}

/** Variations of the scheme for comparison. */
export interface SteeringVariant {
  /** Transforms each plan before it is published. */
  readonly plan?: (plan: Plan) => Plan;
  /** If false, requests to peers for slots are not delivered. */
  readonly lending?: boolean;
}

/** The production steering scheme. */
export class SteeringScheme implements Scheme {
  readonly #world: World;
  readonly #nodes = new Map<VmId, Node>();
  readonly #variant: SteeringVariant;
  #targets: readonly TargetEntry[];
  #vms: readonly VmEntry[];
  plan: Plan | undefined;
  #planAt = 0;
  #stoppedAt: number | undefined;

  constructor(world: World, opts: { seed: number; variant?: SteeringVariant }) {
    this.#world = world;
    this.#variant = opts.variant ?? {};
    this.#targets = world.deployment.targets;
    this.#vms = world.deployment.vms;
    let seed = opts.seed;
    for (const entry of world.vms) {
      this.#nodes.set(entry.vm, {
        entry,
        steering: new Steering({
          self: entry.vm,
          policy: world.deployment.policy,
          seed: seed++,
        }),
        requests: new Map(),
        tickAt: Number.POSITIVE_INFINITY,
        appliedSequence: 0,
        appliedAt: 0,
      });
    }
    this.#deliverToAll({ kind: "vms", vms: this.#vms });
    this.#deliverToAll({ kind: "targets", targets: this.#targets });
    this.#makePlan(0);
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const node = this.#nodes.get(vm.vm)!;
    const request = id<RequestId>(`${req.id}-${req.tries}`);
    node.requests.set(request, { req, attempts: new Map() });
    this.#deliver(node, {
      kind: "arrive",
      request,
      caller: id(req.caller),
      service: req.service,
      class: req.kind.class,
      deadlineMs: req.kind.deadlineMs - (this.#now - req.sentAt),
      repeat: req.kind.repeat,
    });
  }

  targetsChanged(targets: readonly TargetEntry[]): void {
    this.#targets = targets;
    this.#deliverToAllLater({ kind: "targets", targets });
  }

  vmsChanged(vms: readonly VmEntry[]): void {
    this.#vms = vms;
    this.#deliverToAllLater({ kind: "vms", vms });
  }

  drain(drains: Drains): void {
    this.#deliverToAllLater(drains);
  }

  /** Delivers an event to every VM at once, as if each observed it itself. */
  notifyAll(event: SteeringEvent): void {
    this.#deliverToAll(event);
  }

  /** Stops measuring: from now on, demand is passed to planning with a growing
   * age. */
  stopMeasuring(): void {
    this.#stoppedAt = this.#now;
  }

  get #now(): number {
    return this.#world.loop.now;
  }

  #deliverToAllLater(event: SteeringEvent): void {
    this.#world.loop.after(PROPAGATION_MS, () => this.#deliverToAll(event));
  }

  #deliverToAll(event: SteeringEvent): void {
    for (const node of this.#nodes.values()) {
      if (!this.#world.isLost(node.entry.region)) this.#deliver(node, event);
    }
  }

  #makePlan(propagationMs: number): void {
    const plan = nextPlan({
      policy: this.#world.deployment.policy,
      revision: 1,
      vms: this.#vms,
      targets: this.#targets,
      demand: this.#demand(),
      confirmations: this.#confirmations(),
      stopped: new Set(),
      previous: this.plan,
      previousAgeMs: this.#now - this.#planAt,
    });
    this.plan = plan;
    this.#planAt = this.#now;
    const publishedPlan = this.#variant.plan?.(plan) ?? plan;
    const event: SteeringEvent = { kind: "plan", plan: publishedPlan };
    if (propagationMs === 0) this.#deliverToAll(event);
    else this.#deliverToAllLater(event);
    this.#world.loop.after(PLAN_MS, () => this.#makePlan(PROPAGATION_MS));
  }

  #demand(): MeasuredDemand[] {
    const demand: MeasuredDemand[] = [];
    const ageMs = this.#now - (this.#stoppedAt ?? this.#now);
    for (const { entry, steering } of this.#nodes.values()) {
      if (this.#world.isLost(entry.region)) continue;
      for (const view of steering.services()) {
        const { service, demand: slots } = view;
        demand.push({ vm: entry.vm, service, slots, ageMs });
      }
    }
    return demand;
  }

  #confirmations(): Confirmation[] {
    return [...this.#nodes.values()].map((node) => ({
      vm: node.entry.vm,
      sequence: node.appliedSequence,
      ageMs: this.#world.isLost(node.entry.region)
        ? this.#now - node.appliedAt
        : 0,
    }));
  }

  #deliver(node: Node, event: SteeringEvent): void {
    const effects = node.steering.handle(event, this.#now);
    for (const effect of effects) this.#execute(node, effect);
    this.#setTick(node);
  }

  #setTick(node: Node): void {
    const at = node.steering.nextTickAt;
    if (at === undefined || at >= node.tickAt) return;
    node.tickAt = Math.max(at, this.#now + 0.1);
    const due = node.tickAt;
    this.#world.loop.after(due - this.#now, () => {
      if (node.tickAt !== due) return;
      node.tickAt = Number.POSITIVE_INFINITY;
      this.#deliver(node, { kind: "tick" });
    });
  }

  #execute(node: Node, effect: Effect): void {
    switch (effect.kind) {
      case "dispatch":
      case "hedge":
        this.#dispatch(node, effect);
        return;
      case "cancel":
        this.#cancel(node, effect);
        return;
      case "refuse":
        this.#refuse(node, effect);
        return;
      case "ask":
        if (this.#variant.lending === false) return;
        this.#message(node, effect.to, {
          ...effect,
          kind: "asked",
          from: node.entry.vm,
        });
        return;
      case "lend":
        this.#message(node, effect.to, {
          kind: "borrowed",
          from: node.entry.vm,
          target: effect.target,
          slots: effect.slots,
          durationMs: effect.durationMs - LOAN_MARGIN_MS,
        });
        return;
      case "give-back":
        this.#message(node, effect.to, {
          kind: "loan-ended",
          to: node.entry.vm,
          target: effect.target,
          slots: effect.slots,
        });
        return;
      case "plan-applied":
        node.appliedSequence = effect.sequence;
        node.appliedAt = this.#now;
        return;
      case "belief-changed":
        for (const peer of this.#nodes.values()) {
          if (peer === node) continue;
          this.#message(node, peer.entry.vm, {
            kind: "peer-belief",
            from: node.entry.vm,
            target: effect.target,
            failing: effect.failing,
            ageMs: 0,
          });
        }
        return;
    }
  }

  #dispatch(node: Node, effect: Effect & { kind: "dispatch" | "hedge" }): void {
    const pending = node.requests.get(effect.request)!;
    const { attempt, request, target } = effect;
    const done = (outcome: JobOutcome): void => {
      pending.attempts.delete(attempt);
      if (outcome === "answered") this.#served(node, request, pending);
      this.#deliver(node, {
        kind: "ended",
        request,
        attempt,
        outcome: outcomeOf(outcome),
      });
    };
    pending.attempts.set(
      attempt,
      this.#world.send(pending.req, node.entry, { target, done }),
    );
    if (effect.kind === "dispatch") this.#cancelAtDeadline(node, effect);
  }

  /** Cancels an attempt at the request's deadline, like the daemon's timer. */
  #cancelAtDeadline(node: Node, effect: Effect & { kind: "dispatch" }): void {
    const { request, attempt } = effect;
    const pending = node.requests.get(request)!;
    const remainingMs = pending.req.kind.deadlineMs -
      (this.#now - pending.req.sentAt);
    this.#world.loop.after(Math.max(0, remainingMs), () => {
      const handle = pending.attempts.get(attempt);
      if (handle === undefined) return;
      pending.attempts.delete(attempt);
      handle.cancel();
      this.#deliver(node, {
        kind: "ended",
        request,
        attempt,
        outcome: "failed-after-sent",
      });
    });
  }

  #cancel(node: Node, effect: Effect & { kind: "cancel" }): void {
    const { request, attempt } = effect;
    const handle = node.requests.get(request)?.attempts.get(attempt);
    if (handle === undefined) return;
    node.requests.get(request)!.attempts.delete(attempt);
    handle.cancel();
    this.#world.loop.after(0, () => {
      this.#deliver(node, {
        kind: "ended",
        request,
        attempt,
        outcome: "cancelled",
      });
    });
  }

  #served(node: Node, request: RequestId, pending: PendingRequest): void {
    this.#world.respond(pending.req, { kind: "served" });
    node.requests.set(request, pending);
  }

  #refuse(node: Node, effect: Effect & { kind: "refuse" }): void {
    const { req } = node.requests.get(effect.request)!;
    this.#world.respond(
      req,
      effect.notRun
        ? { kind: "refused", retryAfterMs: effect.retryAfterMs }
        : { kind: "unknown" },
    );
  }

  #message(node: Node, to: VmId, event: SteeringEvent): void {
    const peer = this.#nodes.get(to);
    if (peer === undefined) return;
    this.#world.message(
      node.entry,
      peer.entry,
      () => this.#deliver(peer, event),
    );
  }
}

function outcomeOf(outcome: JobOutcome): AttemptOutcome {
  switch (outcome) {
    case "answered":
      return "answered";
    case "leaving":
      return "leaving";
    case "reset":
      return "failed-after-sent";
  }
}
