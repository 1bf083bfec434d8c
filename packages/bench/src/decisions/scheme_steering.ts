/**
 * The production decisions, one `Steering` per VM, joined by messages with the
 * delays of the deployment.
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
import type { BenchRequest, Scheme, Sending, World } from "./world.ts";

/** Time between two plans, which also renews them. */
const PLAN_MS = 1_000;
/** Time for a plan or a drain to be known everywhere. */
const SPREAD_MS = 500;
/** Taken off a loan for the message's way, as an escrow would. */
const LOAN_MARGIN_MS = 1_000;

interface Node {
  readonly entry: VmEntry;
  readonly steering: Steering;
  readonly requests: Map<RequestId, Pending>;
  tickAt: number;
  applied: number;
  appliedAt: number;
}

interface Pending {
  readonly req: BenchRequest;
  readonly sendings: Map<number, Sending>;
}

/** How this scheme may be varied for comparison. */
export interface SteeringVariant {
  /** Changes a plan before it is handed out. */
  readonly plan?: (plan: Plan) => Plan;
  /** False: peers' questions are not passed on. */
  readonly lending?: boolean;
}

/** Our scheme. */
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
        applied: 0,
        appliedAt: 0,
      });
    }
    this.#tellAll({ kind: "vms", vms: this.#vms });
    this.#tellAll({ kind: "targets", targets: this.#targets });
    this.#makePlan(0);
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const node = this.#nodes.get(vm.vm)!;
    const request = id<RequestId>(`${req.id}-${req.tries}`);
    node.requests.set(request, { req, sendings: new Map() });
    this.#tell(node, {
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
    this.#later({ kind: "targets", targets });
  }

  vmsChanged(vms: readonly VmEntry[]): void {
    this.#vms = vms;
    this.#later({ kind: "vms", vms });
  }

  drain(drains: Drains): void {
    this.#later(drains);
  }

  /** Tells every VM at once, as each of them sees it for itself. */
  tellEach(event: SteeringEvent): void {
    this.#tellAll(event);
  }

  /** From now on measured demand only grows older. */
  stopMeasuring(): void {
    this.#stoppedAt = this.#now;
  }

  get #now(): number {
    return this.#world.loop.now;
  }

  #later(event: SteeringEvent): void {
    this.#world.loop.after(SPREAD_MS, () => this.#tellAll(event));
  }

  #tellAll(event: SteeringEvent): void {
    for (const node of this.#nodes.values()) {
      if (!this.#world.isLost(node.entry.region)) this.#tell(node, event);
    }
  }

  #makePlan(spreadMs: number): void {
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
    const handedOut = this.#variant.plan?.(plan) ?? plan;
    const event: SteeringEvent = { kind: "plan", plan: handedOut };
    if (spreadMs === 0) this.#tellAll(event);
    else this.#later(event);
    this.#world.loop.after(PLAN_MS, () => this.#makePlan(SPREAD_MS));
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
      sequence: node.applied,
      ageMs: this.#world.isLost(node.entry.region)
        ? this.#now - node.appliedAt
        : 0,
    }));
  }

  #tell(node: Node, event: SteeringEvent): void {
    const effects = node.steering.handle(event, this.#now);
    for (const effect of effects) this.#carryOut(node, effect);
    this.#setTick(node);
  }

  #setTick(node: Node): void {
    const at = node.steering.nextTick;
    if (at === undefined || at >= node.tickAt) return;
    node.tickAt = Math.max(at, this.#now + 0.1);
    const due = node.tickAt;
    this.#world.loop.after(due - this.#now, () => {
      if (node.tickAt !== due) return;
      node.tickAt = Number.POSITIVE_INFINITY;
      this.#tell(node, { kind: "tick" });
    });
  }

  #carryOut(node: Node, effect: Effect): void {
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
        node.applied = effect.sequence;
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
      pending.sendings.delete(attempt);
      if (outcome === "answered") this.#served(node, request, pending);
      this.#tell(node, {
        kind: "ended",
        request,
        attempt,
        outcome: outcomeOf(outcome),
      });
    };
    pending.sendings.set(
      attempt,
      this.#world.send(pending.req, node.entry, { target, done }),
    );
    if (effect.kind === "dispatch") this.#stopAtDeadline(node, effect);
  }

  /** The daemon's timer: an attempt is broken off at the request's deadline. */
  #stopAtDeadline(node: Node, effect: Effect & { kind: "dispatch" }): void {
    const { request, attempt } = effect;
    const pending = node.requests.get(request)!;
    const left = pending.req.kind.deadlineMs - (this.#now - pending.req.sentAt);
    this.#world.loop.after(Math.max(0, left), () => {
      const sending = pending.sendings.get(attempt);
      if (sending === undefined) return;
      pending.sendings.delete(attempt);
      sending.cancel();
      this.#tell(node, {
        kind: "ended",
        request,
        attempt,
        outcome: "failed-after-sent",
      });
    });
  }

  #cancel(node: Node, effect: Effect & { kind: "cancel" }): void {
    const { request, attempt } = effect;
    const sending = node.requests.get(request)?.sendings.get(attempt);
    if (sending === undefined) return;
    node.requests.get(request)!.sendings.delete(attempt);
    sending.cancel();
    this.#world.loop.after(0, () => {
      this.#tell(node, {
        kind: "ended",
        request,
        attempt,
        outcome: "cancelled",
      });
    });
  }

  #served(node: Node, request: RequestId, pending: Pending): void {
    this.#world.answer(pending.req, { kind: "served" });
    node.requests.set(request, pending);
  }

  #refuse(node: Node, effect: Effect & { kind: "refuse" }): void {
    const { req } = node.requests.get(effect.request)!;
    this.#world.answer(
      req,
      effect.notRun
        ? { kind: "refused", retryAfterMs: effect.retryAfterMs }
        : { kind: "unknown" },
    );
  }

  #message(node: Node, to: VmId, event: SteeringEvent): void {
    const peer = this.#nodes.get(to);
    if (peer === undefined) return;
    this.#world.message(node.entry, peer.entry, () => this.#tell(peer, event));
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
