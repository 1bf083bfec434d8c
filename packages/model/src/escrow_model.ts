/**
 * The model of slot escrow: VMs lend each other slots and take over each
 * other's, while messages come late, twice or never and VMs restart.
 *
 * What is in flight may be delivered at any time or not at all, which covers
 * loss, delay and reordering. All VMs read one clock; that clocks differ is
 * played by the property tests.
 *
 * @module
 */

import {
  Escrow,
  type EscrowEffect,
  type EscrowMessage,
  type EscrowPlan,
  type EscrowRules,
  type EscrowState,
  type EscrowTimes,
  initialEscrowState,
  nextPlan,
  type PoolId,
} from "@poplarthread/coordination";
import { id, type InstanceId, type VmId } from "@poplarthread/ids";
import type { Model } from "./explore.ts";

const POOL = id<PoolId>("pool");
/** One step of the model's clock. */
const STEP_MS = 1_000;
/** Loans are played within one term, moves without loans. */
const LOAN_TIMES: EscrowTimes = {
  termMs: 60_000,
  loanMs: 2_000,
  retryMs: 1_000,
};
const MOVE_TIMES: EscrowTimes = { ...LOAN_TIMES, termMs: 2_000 };

/** What bounds the model. */
export interface EscrowBounds {
  readonly vms: number;
  readonly slots: number;
  /** Steps of the clock. */
  readonly steps: number;
  /** Messages in flight at once; what is sent beyond them is lost. */
  readonly inFlight: number;
  readonly repeats: number;
  readonly restarts: number;
  /** Times that a VM starts or ends a wish for all slots. */
  readonly wishes: number;
  /** VMs that stay owners under the second plan; 0 where there is none. */
  readonly stay: number;
}

/** What production runs, or a deliberate fault. */
export interface EscrowVariant {
  readonly rules: EscrowRules;
  /** A restarted VM goes on with what it held, though its clock has started anew. */
  readonly remembers: boolean;
}

interface Vm {
  readonly life: number;
  readonly core: EscrowState;
  /** When this life's clock stood at 0: a process's clock starts with it. */
  readonly startedAt: number;
}

interface Envelope {
  readonly to: VmId;
  readonly message: EscrowMessage;
}

/** A state of the model. */
export interface EscrowModelState {
  readonly now: number;
  readonly vms: readonly Vm[];
  readonly network: readonly Envelope[];
  readonly repeats: number;
  readonly restarts: number;
  readonly wishes: number;
}

/** A step of the model. */
export type EscrowEvent =
  /** Time passes; then every VM ticks, but one that is frozen. */
  | { readonly type: "wait"; readonly frozen: number }
  | { readonly type: "deliver"; readonly at: number; readonly keep: boolean }
  | { readonly type: "wish"; readonly vm: number; readonly slots: number }
  | { readonly type: "read-plan"; readonly vm: number }
  | { readonly type: "restart"; readonly vm: number };

/** Without a second plan nobody's term is in question: renewals only make more states. */
function isRenewal({ kind }: EscrowMessage): boolean {
  return kind === "renew" || kind === "renewed";
}

/** Builds the model around the core. It starts when the first plan is settled. */
export function escrowModel(
  bounds: EscrowBounds,
  { rules, remembers }: EscrowVariant,
): Model<EscrowModelState, EscrowEvent> {
  const times = bounds.stay > 0 ? MOVE_TIMES : LOAN_TIMES;

  function selfOf(vm: number, life: number) {
    return {
      vm: id<VmId>(`e${vm}`),
      instance: id<InstanceId>(`e${vm}-${life}`),
    };
  }

  function coreOf(vm: number, life: number, core: EscrowState): Escrow {
    return new Escrow({ self: selfOf(vm, life), times, rules }, core);
  }

  const everyone = Array.from({ length: bounds.vms }, (_, vm) => selfOf(vm, 0));
  const pools = [{ pool: POOL, total: bounds.slots }];
  const first = nextPlan(undefined, {
    owners: everyone,
    pools,
    settled: false,
  });
  const second: EscrowPlan | undefined = bounds.stay === 0
    ? undefined
    : nextPlan(first, {
      owners: everyone.slice(0, bounds.stay),
      pools,
      settled: true,
    });

  function startedVm(vm: number): Vm {
    const core = initialEscrowState();
    const escrow = coreOf(vm, 0, core);
    escrow.adopt(first, 0);
    escrow.confirmCurrent(first.epoch, { askedAt: 0, now: 0 });
    return { life: 0, core, startedAt: 0 };
  }

  function act(
    state: EscrowModelState,
    index: number,
    step: (escrow: Escrow, now: number) => readonly EscrowEffect[],
  ): EscrowModelState {
    const vm = state.vms[index]!;
    const core = structuredClone(vm.core);
    const effects = step(
      coreOf(index, vm.life, core),
      state.now - vm.startedAt,
    );
    const sent = effects
      .filter((effect) => effect.kind === "send")
      .filter(({ message }) => bounds.stay > 0 || !isRenewal(message))
      .map(({ to, message }): Envelope => ({ to, message }));
    return {
      ...state,
      vms: state.vms.with(index, { ...vm, core }),
      network: [...state.network, ...sent].slice(0, bounds.inFlight),
    };
  }

  function deliver(
    state: EscrowModelState,
    { at, keep }: { at: number; keep: boolean },
  ): EscrowModelState {
    const { to, message } = state.network[at]!;
    const network = keep ? state.network : state.network.toSpliced(at, 1);
    const repeats = state.repeats - (keep ? 1 : 0);
    const index = everyone.findIndex(({ vm }) => vm === to);
    return act(
      { ...state, network, repeats },
      index,
      (escrow, now) => escrow.receive(message, now),
    );
  }

  function wait(state: EscrowModelState, frozen: number): EscrowModelState {
    let after: EscrowModelState = { ...state, now: state.now + STEP_MS };
    for (let vm = 0; vm < bounds.vms; vm++) {
      if (vm !== frozen) {
        after = act(after, vm, (escrow, now) => escrow.tick(now));
      }
    }
    return after;
  }

  function restart(state: EscrowModelState, index: number): EscrowModelState {
    const vm = state.vms[index]!;
    const restarted: Vm = {
      life: vm.life + 1,
      core: remembers ? vm.core : initialEscrowState(),
      startedAt: state.now,
    };
    return {
      ...state,
      vms: state.vms.with(index, restarted),
      restarts: state.restarts - 1,
    };
  }

  function next(
    state: EscrowModelState,
    event: EscrowEvent,
  ): EscrowModelState {
    switch (event.type) {
      case "wait":
        return wait(state, event.frozen);
      case "deliver":
        return deliver(state, event);
      case "wish":
        return act(
          { ...state, wishes: state.wishes - 1 },
          event.vm,
          (escrow, now) => escrow.want(POOL, event.slots, now),
        );
      case "read-plan":
        return act(state, event.vm, (escrow, now) => [
          ...escrow.adopt(second!, now),
          ...escrow.confirmCurrent(second!.epoch, { askedAt: now, now }),
        ]);
      case "restart":
        return restart(state, event.vm);
    }
  }

  function events(state: EscrowModelState): readonly EscrowEvent[] {
    const possible: EscrowEvent[] = [];
    if (state.now < bounds.steps * STEP_MS) {
      for (let frozen = -1; frozen < bounds.vms; frozen++) {
        possible.push({ type: "wait", frozen });
      }
    }
    state.network.forEach((_, at) => {
      possible.push({ type: "deliver", at, keep: false });
      if (state.repeats > 0) {
        possible.push({ type: "deliver", at, keep: true });
      }
    });
    state.vms.forEach((_, index) => {
      if (state.restarts > 0) {
        possible.push({ type: "restart", vm: index });
      }
      if (second !== undefined) {
        possible.push({ type: "read-plan", vm: index });
      }
    });
    if (state.wishes > 0) {
      // One VM lacks slots: the others only lend.
      const wanted = state.vms[0]!.core.pools[POOL]?.wanted ?? 0;
      const slots = wanted === 0 ? bounds.slots : 0;
      possible.push({ type: "wish", vm: 0, slots });
    }
    return possible;
  }

  function isWithinTotal({ vms, now }: EscrowModelState): boolean {
    const held = vms.map(({ life, core, startedAt }, index) =>
      coreOf(index, life, core).held(POOL, now - startedAt)
    );
    return held.reduce((a, b) => a + b, 0) <= bounds.slots;
  }

  return {
    name: "escrow",
    bounds: { ...bounds },
    initial: {
      now: 0,
      vms: everyone.map((_, vm) => startedVm(vm)),
      network: [],
      repeats: bounds.repeats,
      restarts: bounds.restarts,
      wishes: bounds.wishes,
    },
    events,
    next,
    properties: { "slots held never exceed the total": isWithinTotal },
  };
}
