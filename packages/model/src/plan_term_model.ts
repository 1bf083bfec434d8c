/**
 * Model of a slot that moves from one VM to another while VMs are partitioned,
 * paused or restarted, and the table is read late or not at all. It covers the
 * terms of plans together with the planner's transition.
 *
 * VM `x` holds the only slot of a target, VM `z` the only slot of another
 * target, and the planner, VM `p`, moves the slot of `x` to itself. Messages may
 * be lost, repeated and delayed; a plan may reach a VM by a late push. Requests
 * take no time in the model: in production the planner's waiting time also
 * includes the duration of the longest request.
 *
 * @module
 */

import type { InstanceId, VmId } from "@poplarthread/ids";
import { termCore } from "@poplarthread/coordination/cores";
import type {
  Sender,
  TermMessage,
  TermState,
} from "@poplarthread/coordination";
import {
  findStoppedVms,
  type Holding,
  MAX_PLAN_TERM_MS,
  nextHoldings,
  type UnresponsiveVm,
} from "@poplarthread/decisions";
import type { Model } from "./explore.ts";

/** The cores under test; each may be a mutant. */
export interface PlanTermCores {
  readonly term: Pick<
    typeof termCore,
    "advanceTerm" | "isTermValid" | "newTerm"
  >;
  readonly silence: { readonly findStoppedVms: typeof findStoppedVms };
  readonly transition: { readonly nextHoldings: typeof nextHoldings };
}

/** The production cores. */
export const PLAN_TERM_CORES: PlanTermCores = {
  term: termCore,
  silence: { findStoppedVms: findStoppedVms },
  transition: { nextHoldings },
};

/** Bounds of the model. */
export interface PlanTermBounds {
  /** Steps of time, each a little longer than a term. */
  readonly steps: number;
  /** Renewal requests that `x` sends. */
  readonly renewals: number;
  /** Reads of the table by `x`, besides the one in flight at the start. */
  readonly reads: number;
  /** Restarts of `z`. */
  readonly restarts: number;
}

type Name = "p" | "x" | "z";
const NAMES: readonly Name[] = ["p", "x", "z"];

interface PlanRecord {
  readonly sequence: number;
  readonly holders: readonly Sender[];
  /** Holdings of the slot that `x` has at the start. */
  readonly rows: readonly Holding[];
}

interface Mail {
  readonly to: Name;
  readonly message: TermMessage;
}

interface Read {
  readonly sequence: number;
  readonly askedAt: number;
}

/** A state of the model: all processes, the messages in flight and the plans written. */
export interface PlanTermWorld {
  /** Steps of time passed. */
  readonly time: number;
  readonly plans: readonly PlanRecord[];
  readonly vms: Readonly<Record<Name, TermState>>;
  /** The newest plan that each VM has confirmed to the planner. */
  readonly confirmed: Readonly<Record<Name, number>>;
  readonly silences: readonly UnresponsiveVm[];
  /** Messages that may arrive, any number of times. */
  readonly mail: readonly Mail[];
  /** The read of the table by `x` that is in flight. */
  readonly read: Read | undefined;
  readonly readsLeft: number;
  readonly restartsLeft: number;
}

/** A step of the model. */
export type PlanTermEvent =
  | { readonly type: "time passes" }
  | { readonly type: "plans" }
  | { readonly type: "asks" }
  | {
    readonly type: "hears of plan";
    readonly vm: Name;
    readonly sequence: number;
  }
  | { readonly type: "gets message"; readonly mail: Mail }
  | { readonly type: "reports"; readonly vm: Name }
  | { readonly type: "starts to read" }
  | { readonly type: "has read" }
  | { readonly type: "restarts" };

/** Duration of one step of time, longer than a term. */
const STEP_MS = 16_000;
const TIMES = { termMs: MAX_PLAN_TERM_MS, retryMs: STEP_MS };

/** Builds the model. Its properties must hold, except for {@link WAITED_OUT}. */
export function planTermModel(
  bounds: PlanTermBounds,
  cores: PlanTermCores = PLAN_TERM_CORES,
): Model<PlanTermWorld, PlanTermEvent> {
  const { advanceTerm, isTermValid, newTerm } = cores.term;

  function advance(
    world: PlanTermWorld,
    vm: Name,
    event: Parameters<typeof advanceTerm>[1],
  ): PlanTermWorld {
    const ctx = { now: world.time * STEP_MS, times: TIMES };
    const { state, effects } = advanceTerm(world.vms[vm], event, ctx);
    const sent = effects.flatMap((effect) =>
      effect.kind === "send"
        ? [{ to: effect.to as string as Name, message: effect.message }]
        : []
    );
    const vms = { ...world.vms, [vm]: state };
    return { ...world, vms, mail: addMail(world.mail, sent) };
  }

  function plan(world: PlanTermWorld): PlanTermWorld {
    const previous = world.plans.at(-1)!;
    const sequence = previous.sequence + 1;
    const confirmed = new Map(
      NAMES.map((name) => [vmOf(name), world.confirmed[name]]),
    );
    const { unresponsive: silences, stopped } = cores.silence.findStoppedVms(
      world.silences,
      {
        holdings: [...previous.rows, rowOf("z")],
        confirmed,
        gone: new Set(),
        now: world.time * STEP_MS,
      },
    );
    const rows = cores.transition.nextHoldings(
      previous.rows,
      new Map([[vmOf("p"), 1]]),
      { total: 1, step: { sequence, confirmed, stopped } },
    );
    if (JSON.stringify(rows) === JSON.stringify(previous.rows)) {
      // Unlike production, leaves out a plan that moves no slot: it would differ in
      // its sequence number only.
      return { ...world, silences };
    }
    const holders = NAMES
      .filter((name) =>
        name === "z" || rows.some(({ vm }) => vm === vmOf(name))
      )
      .map((name) => world.vms[name].self);
    const planned = {
      ...world,
      silences,
      plans: [...world.plans, { sequence, holders, rows }],
      confirmed: { ...world.confirmed, p: sequence },
    };
    const adopted = advance(planned, "p", { kind: "plan", sequence, holders });
    const askedAt = world.time * STEP_MS;
    return advance(adopted, "p", { kind: "read", sequence, askedAt });
  }

  function adoptPlan(world: PlanTermWorld, vm: Name, sequence: number) {
    const { holders } = planOf(world, sequence)!;
    return advance(world, vm, { kind: "plan", sequence, holders });
  }

  function report(world: PlanTermWorld, vm: Name): PlanTermWorld {
    const { self, sequence } = world.vms[vm];
    const { holders } = world.plans.at(-1)!;
    const isNamed = holders.some(({ instance }) => instance === self.instance);
    return isNamed
      ? { ...world, confirmed: { ...world.confirmed, [vm]: sequence } }
      : world;
  }

  function usesSlot(world: PlanTermWorld, name: Name): boolean {
    const term = world.vms[name];
    const rows = planOf(world, term.sequence)?.rows ?? [];
    const row = rows.find(({ vm }) => vm === vmOf(name));
    return (row?.slots ?? 0) > 0 &&
      isTermValid(term, world.time * STEP_MS);
  }

  function initial(): PlanTermWorld {
    const rows = [rowOf("x")];
    const holders = [senderOf("x", 0), senderOf("z", 0)];
    const first = { sequence: 1, holders, rows };
    const world: PlanTermWorld = {
      time: 0,
      plans: [first],
      vms: {
        p: newTerm(senderOf("p", 0)),
        x: newTerm(senderOf("x", 0)),
        z: newTerm(senderOf("z", 0)),
      },
      confirmed: { p: 0, x: 1, z: 1 },
      silences: [],
      mail: [],
      read: { sequence: 1, askedAt: 0 },
      readsLeft: bounds.reads,
      restartsLeft: bounds.restarts,
    };
    return adoptPlan(
      adoptPlan(adoptPlan(world, "p", 1), "x", 1),
      "z",
      1,
    );
  }

  function events(world: PlanTermWorld): readonly PlanTermEvent[] {
    const mayAsk = world.vms.x.requestsSent < bounds.renewals;
    const planArrivals = (["x", "z"] as const).flatMap((vm) =>
      world.plans
        .filter(({ sequence }) => sequence > world.vms[vm].sequence)
        .map((
          { sequence },
        ) => ({ type: "hears of plan", vm, sequence } as const))
    );
    return [
      ...(world.time < bounds.steps ? [{ type: "time passes" } as const] : []),
      { type: "plans" },
      ...(mayAsk ? [{ type: "asks" } as const] : []),
      ...planArrivals,
      ...world.mail.map((mail) => ({ type: "gets message", mail } as const)),
      ...(["x", "z"] as const).map((vm) => ({ type: "reports", vm } as const)),
      ...(world.readsLeft > 0 ? [{ type: "starts to read" } as const] : []),
      ...(world.read === undefined ? [] : [{ type: "has read" } as const]),
      ...(world.restartsLeft > 0 ? [{ type: "restarts" } as const] : []),
    ];
  }

  function next(world: PlanTermWorld, event: PlanTermEvent): PlanTermWorld {
    switch (event.type) {
      case "time passes":
        return { ...world, time: world.time + 1 };
      case "plans":
        return plan(world);
      case "asks":
        return advance(world, "x", { kind: "tick" });
      case "hears of plan":
        return adoptPlan(world, event.vm, event.sequence);
      case "gets message": {
        const { to, message } = event.mail;
        return advance(world, to, { kind: "message", message });
      }
      case "reports":
        return report(world, event.vm);
      case "starts to read": {
        const { sequence } = world.plans.at(-1)!;
        const read = { sequence, askedAt: world.time * STEP_MS };
        return { ...world, read, readsLeft: world.readsLeft - 1 };
      }
      case "has read": {
        const read = world.read!;
        const after = advance(world, "x", { kind: "read", ...read });
        return { ...after, read: undefined };
      }
      case "restarts": {
        const vms = { ...world.vms, z: newTerm(senderOf("z", 1)) };
        return { ...world, vms, restartsLeft: world.restartsLeft - 1 };
      }
    }
  }

  return {
    name: "plan terms",
    bounds: { ...bounds },
    initial: initial(),
    events,
    next,
    properties: {
      [ONE_USER]: (world) => !(usesSlot(world, "x") && usesSlot(world, "p")),
      [ONE_HOLDER]: (world) =>
        world.plans.every(({ rows }) =>
          rows.reduce((sum, { mayHold }) => sum + mayHold, 0) <= 1
        ),
      [WAITED_OUT]: (world) => !(usesSlot(world, "p") && world.confirmed.x < 2),
    },
  };
}

/** No two VMs use a slot at the same time. */
export const ONE_USER = "a slot is used by at most one VM";
/** No plan assigns a slot twice. */
export const ONE_HOLDER = "a plan assigns a slot at most once";
/**
 * Must be violated, which shows that the planner can wait until an unresponsive
 * VM's term has ended.
 */
export const WAITED_OUT = "an unresponsive VM keeps its slot forever";

function vmOf(name: Name): VmId {
  return name as string as VmId;
}

function senderOf(name: Name, restarts: number): Sender {
  return { vm: vmOf(name), instance: `${name}${restarts}` as InstanceId };
}

function rowOf(name: Name): Holding {
  return { vm: vmOf(name), slots: 1, mayHold: 1, loweredIn: 0 };
}

function planOf(world: PlanTermWorld, sequence: number) {
  return world.plans.find((plan) => plan.sequence === sequence);
}

/** Adds messages as a sorted set: each may arrive any number of times. */
function addMail(
  mail: readonly Mail[],
  sent: readonly Mail[],
): readonly Mail[] {
  const byText = new Map(
    [...mail, ...sent].map((entry) => [JSON.stringify(entry), entry]),
  );
  return [...byText.keys()].sort().map((text) => byText.get(text)!);
}
