/**
 * Model of the lease, alone or together with the configuration. VMs contend for
 * the lease, and each VM that holds it by its own clock writes plans for the
 * configuration revision it knows. A call may be delayed for any time, which is
 * how a paused VM appears to the table.
 *
 * @module
 */

import type { inForce, leaseCore } from "@poplarthread/coordination/cores";
import type { InForce, Json } from "@poplarthread/coordination";
import { id, type InstanceId, type OperationId } from "@poplarthread/ids";
import type { Model } from "./explore.ts";
import { rowAt, type Rows } from "./table_model.ts";
import {
  applyTableEvent,
  type Delivery,
  isTableEvent,
  newWorld,
  orphanCall,
  sendCall,
  type TableEvent,
  tableEvents,
  type TableWorld,
} from "./table_world.ts";

/** The core under test: the production one, or a mutant of it. */
export type LeaseCore = typeof leaseCore;
/** The part of the configuration core that a fenced write uses. */
export type InForceCore = Pick<typeof inForce, "stillInForce">;

/** Bounds of the model. */
export interface LeaseBounds {
  readonly contenders: number;
  /** Ticks of the clock; a lease lasts {@link DURATION_TICKS} of them. */
  readonly ticks: number;
  readonly losses: number;
  /** Calls that read, acquire or renew, in total. */
  readonly calls: number;
  /** Crashes in total; each VM restarts as a new instance. */
  readonly crashes: number;
  /** Planned stops in total. */
  readonly stops: number;
  /** Plans sent to the table in total. */
  readonly plans: number;
  /** Changes of the configuration; with 0 the model has no configuration. */
  readonly revisions: number;
}

const NAME = "planner";
/** Duration of the lease in ticks. */
const DURATION_TICKS = 2;
const PLAN_KEY = "plan/current";
const IN_FORCE_KEY = "config/in-force";

interface Plan {
  readonly token: number;
  readonly revision: number;
}

interface Contender {
  readonly core: leaseCore.LeaseState;
  /** The lease step in flight; `startedAt` is when it was sent. */
  readonly step: leaseCore.LeaseStep | null;
  readonly startedAt: number;
  /** Number of restarts. */
  readonly restarts: number;
  /** The configuration revision that this VM knows. */
  readonly known: number;
}

/** A state of the model. */
export interface LeaseModelState {
  readonly now: number;
  readonly world: TableWorld;
  readonly contenders: readonly Contender[];
  /** Events that may still occur. */
  readonly left: Pick<
    LeaseBounds,
    "calls" | "crashes" | "stops" | "plans" | "revisions"
  >;
  /** The instance that acquired the lease under each token. */
  readonly owners: Readonly<Record<number, string>>;
  /** Whether two instances acquired the lease under the same token. */
  readonly isTokenReused: boolean;
  /** Whether a plan was ever replaced by one written under a lower token. */
  readonly isPlanOutdated: boolean;
  /** Whether a plan was ever replaced by one for a lower revision. */
  readonly isPlanForOldRevision: boolean;
}

/** A step of the model. */
export type LeaseModelEvent =
  | TableEvent
  | { readonly type: "tick" }
  | { readonly type: "change-configuration" }
  | { readonly type: "step"; readonly contender: number }
  | { readonly type: "plan"; readonly contender: number }
  | { readonly type: "learn"; readonly contender: number }
  | { readonly type: "stop"; readonly contender: number }
  | { readonly type: "crash"; readonly contender: number };

/** Builds the model around the cores. */
export function leaseModel(
  bounds: LeaseBounds,
  core: LeaseCore,
  configuration: InForceCore,
): Model<LeaseModelState, LeaseModelEvent> {
  function newCore(index: number, restarts: number): leaseCore.LeaseState {
    const instance = id<InstanceId>(`vm${index}-${restarts}`);
    return core.newLease({ name: NAME, instance, durationMs: DURATION_TICKS });
  }

  function updateContender(
    state: LeaseModelState,
    index: number,
    changes: Partial<Contender>,
  ): LeaseModelState {
    const contender = { ...state.contenders[index]!, ...changes };
    return { ...state, contenders: state.contenders.with(index, contender) };
  }

  function sendStep(
    state: LeaseModelState,
    index: number,
    step: leaseCore.LeaseStep | undefined,
  ): LeaseModelState {
    if (step === undefined) {
      return state;
    }
    const world = sendCall(state.world, String(index), step);
    const sent = { step, startedAt: state.now };
    return updateContender({ ...state, world }, index, sent);
  }

  function sendPlan(state: LeaseModelState, index: number): LeaseModelState {
    const { core: lease, known } = state.contenders[index]!;
    const token = core.heldToken(lease, state.now)!;
    const plan: Plan = { token, revision: known };
    const conditions = bounds.revisions === 0
      ? []
      : [configuration.stillInForce(inForceAt(known))];
    const writes = [{ key: PLAN_KEY, value: plan as unknown as Json }];
    const transaction = core.fencedTransaction(NAME, {
      token,
      writes,
      conditions,
    });
    const call = { kind: "transact", transaction } as const;
    // No process awaits the response, so the call may take effect at any time or never.
    const orphans = [...state.world.orphans, call];
    const world = { ...state.world, orphans };
    const left = { ...state.left, plans: state.left.plans - 1 };
    return { ...state, world, left };
  }

  function deliver(
    state: LeaseModelState,
    { process, outcome }: Delivery,
  ): LeaseModelState {
    const index = Number(process);
    const { core: lease, step, startedAt } = state.contenders[index]!;
    const times = { startedAt, receivedAt: state.now };
    const event = leaseEvent(step!, times, outcome);
    const after = core.advanceLease(lease, event);
    return updateContender(state, index, {
      core: after,
      step: null,
      startedAt: 0,
    });
  }

  function stop(state: LeaseModelState, index: number): LeaseModelState {
    const { core: lease } = state.contenders[index]!;
    const left = { ...state.left, stops: state.left.stops - 1 };
    const { state: stopped, release } = core.stopLease(lease);
    const after = updateContender({ ...state, left }, index, { core: stopped });
    return sendStep(after, index, release);
  }

  function crash(state: LeaseModelState, index: number): LeaseModelState {
    const restarts = state.contenders[index]!.restarts + 1;
    const world = orphanCall(state.world, String(index));
    const left = { ...state.left, crashes: state.left.crashes - 1 };
    const restarted = {
      core: newCore(index, restarts),
      step: null,
      startedAt: 0,
    };
    return updateContender({ ...state, world, left }, index, {
      ...restarted,
      restarts,
    });
  }

  function next(
    state: LeaseModelState,
    event: LeaseModelEvent,
  ): LeaseModelState {
    if (isTableEvent(event)) {
      const { world, delivery } = applyTableEvent(state.world, event);
      const after = recordHistory({ ...state, world }, state);
      return delivery === undefined ? after : deliver(after, delivery);
    }
    switch (event.type) {
      case "tick":
        return { ...state, now: state.now + 1 };
      case "change-configuration": {
        const revision = state.world.rows[IN_FORCE_KEY]!.version + 1;
        const row = rowOfRevision(revision);
        const rows = { ...state.world.rows, [IN_FORCE_KEY]: row };
        const left = { ...state.left, revisions: state.left.revisions - 1 };
        return { ...state, left, world: { ...state.world, rows } };
      }
      case "step": {
        const { core: lease } = state.contenders[event.contender]!;
        const step = core.nextLeaseStep(lease, state.now);
        const left = { ...state.left, calls: state.left.calls - 1 };
        return sendStep({ ...state, left }, event.contender, step);
      }
      case "plan":
        return sendPlan(state, event.contender);
      case "learn": {
        const known = state.world.rows[IN_FORCE_KEY]!.version;
        return updateContender(state, event.contender, { known });
      }
      case "stop":
        return stop(state, event.contender);
      case "crash":
        return crash(state, event.contender);
    }
  }

  function eventsOf(state: LeaseModelState): readonly LeaseModelEvent[] {
    const events: LeaseModelEvent[] = [...tableEvents(state.world)];
    if (state.now < bounds.ticks) {
      events.push({ type: "tick" });
    }
    if (state.left.revisions > 0) {
      events.push({ type: "change-configuration" });
    }
    state.contenders.forEach((contender, index) => {
      events.push(...contenderEvents(state, contender, index));
    });
    return events;
  }

  function contenderEvents(
    state: LeaseModelState,
    { core: lease, step, known }: Contender,
    index: number,
  ): readonly LeaseModelEvent[] {
    const events: LeaseModelEvent[] = [];
    const isStopped = lease.status.kind === "stopped";
    if (step === null && !isStopped) {
      if (state.left.calls > 0) {
        events.push({ type: "step", contender: index });
      }
      if (state.left.stops > 0) {
        events.push({ type: "stop", contender: index });
      }
    }
    const isHeld = core.heldToken(lease, state.now) !== undefined;
    if (isHeld && state.left.plans > 0) {
      events.push({ type: "plan", contender: index });
    }
    if (known < (state.world.rows[IN_FORCE_KEY]?.version ?? 0)) {
      events.push({ type: "learn", contender: index });
    }
    if (state.left.crashes > 0 && !isStopped) {
      events.push({ type: "crash", contender: index });
    }
    return events;
  }

  const { calls, crashes, stops, plans, revisions } = bounds;
  const rows: Rows = revisions === 0
    ? {}
    : { [IN_FORCE_KEY]: rowOfRevision(1) };
  return {
    name: revisions === 0 ? "lease" : "lease and configuration",
    bounds: { ...bounds },
    initial: {
      now: 0,
      world: { ...newWorld(bounds.losses), rows },
      contenders: Array.from({ length: bounds.contenders }, (_, index) => ({
        core: newCore(index, 0),
        step: null,
        startedAt: 0,
        restarts: 0,
        known: revisions === 0 ? 0 : 1,
      })),
      left: { calls, crashes, stops, plans, revisions },
      owners: {},
      isTokenReused: false,
      isPlanOutdated: false,
      isPlanForOldRevision: false,
    },
    events: eventsOf,
    next,
    properties: {
      "two instances never acquire the lease under one token": (state) =>
        !state.isTokenReused,
      "no plan replaces one written under a higher token": (state) =>
        !state.isPlanOutdated,
      "no plan replaces one for a higher revision": (state) =>
        !state.isPlanForOldRevision,
      "two VMs with equal clocks never hold the lease at once": (state) =>
        state.contenders.filter((contender) =>
          core.heldToken(contender.core, state.now) !== undefined
        ).length <= 1,
    },
  };
}

function inForceAt(revision: number): InForce<Json> {
  return { revision, operationId: id<OperationId>("op"), value: null };
}

function rowOfRevision(revision: number) {
  const value = inForceAt(revision) as unknown as Json;
  return { key: IN_FORCE_KEY, version: revision, value };
}

function leaseEvent(
  step: leaseCore.LeaseStep,
  times: { readonly startedAt: number; readonly receivedAt: number },
  outcome: Delivery["outcome"],
): leaseCore.LeaseEvent {
  switch (outcome.kind) {
    case "rows": {
      const [lease, beat] = outcome.rows;
      const rows = { lease: lease!, beat: beat! };
      return { kind: "rows", rows, receivedAt: times.receivedAt };
    }
    case "result": {
      const sent = step as Extract<leaseCore.LeaseStep, { kind: "transact" }>;
      const { startedAt } = times;
      return { kind: "result", step: sent, result: outcome.result, startedAt };
    }
    case "failed":
      return outcome;
  }
}

function currentPlan(state: LeaseModelState): Plan | null {
  return rowAt(state.world.rows, PLAN_KEY).value as unknown as Plan | null;
}

/** Records, for the properties, what a change of the table shows. */
function recordHistory(
  after: LeaseModelState,
  before: LeaseModelState,
): LeaseModelState {
  const lease = rowAt(after.world.rows, `lease/${NAME}`);
  const holder = (lease.value as { holder?: string } | null)?.holder;
  const owner = after.owners[lease.version];
  const owners = holder === undefined || holder === null
    ? after.owners
    : { ...after.owners, [lease.version]: holder };
  const old = currentPlan(before);
  const plan = currentPlan(after);
  return {
    ...after,
    owners,
    isTokenReused: after.isTokenReused ||
      (owner !== undefined && holder !== undefined && owner !== holder),
    isPlanOutdated: after.isPlanOutdated ||
      (plan !== null && old !== null && plan.token < old.token),
    isPlanForOldRevision: after.isPlanForOldRevision ||
      (plan !== null && old !== null && plan.revision < old.revision),
  };
}
