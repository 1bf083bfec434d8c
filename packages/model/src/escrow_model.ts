/**
 * Model of slot escrow: VMs lend slots to each other and take over slots from
 * each other, while messages are delayed, repeated or lost and VMs restart.
 *
 * A message in flight may be delivered at any time or never, which covers loss,
 * delay and reordering. All VMs share one clock; the property tests cover
 * different clocks.
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
/** Duration of one step of the model's clock. */
const STEP_MS = 1_000;
/** Loans are modelled within one term, and moves to another owner without loans. */
const LOAN_TIMES: EscrowTimes = {
  termMs: 60_000,
  loanMs: 2_000,
  retryMs: 1_000,
};
const MOVE_TIMES: EscrowTimes = { ...LOAN_TIMES, termMs: 2_000 };

/** Bounds of the model. */
export interface EscrowBounds {
  readonly vms: number;
  readonly slots: number;
  /** Steps of the clock. */
  readonly steps: number;
  /** Maximum number of messages in flight at once; messages beyond it are lost. */
  readonly inFlight: number;
  readonly repeats: number;
  readonly restarts: number;
  /** Number of times that a VM starts or stops requesting all slots. */
  readonly wishes: number;
  /** Number of VMs that stay owners under the second plan; 0 for no second plan. */
  readonly stay: number;
}

/** The production behaviour, or one with a deliberate fault. */
export interface EscrowVariant {
  readonly rules: EscrowRules;
  /** Whether a restarted VM keeps its state, although its clock restarts at 0. */
  readonly keepsState: boolean;
}

interface Vm {
  /** Number of restarts. */
  readonly life: number;
  readonly core: EscrowState;
  /** When this instance started: the clock of a process starts at 0 with it. */
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
  /** Time passes, then every VM except the frozen one ticks. */
  | { readonly type: "wait"; readonly frozen: number }
  | { readonly type: "deliver"; readonly at: number; readonly keep: boolean }
  | { readonly type: "wish"; readonly vm: number; readonly slots: number }
  | { readonly type: "read-plan"; readonly vm: number }
  | { readonly type: "restart"; readonly vm: number };

/**
 * Messages left out without a second plan: terms don't matter then, and
 * renewals would only add states.
 */
function isRenewal({ kind }: EscrowMessage): boolean {
  return kind === "renew" || kind === "renewed";
}

/** Builds the model around the core. In its initial state the first plan is settled. */
export function escrowModel(
  bounds: EscrowBounds,
  { rules, keepsState }: EscrowVariant,
): Model<EscrowModelState, EscrowEvent> {
  const times = bounds.stay > 0 ? MOVE_TIMES : LOAN_TIMES;

  function selfOf(vm: number, restarts: number) {
    return {
      vm: id<VmId>(`e${vm}`),
      instance: id<InstanceId>(`e${vm}-${restarts}`),
    };
  }

  function escrowOf(vm: number, restarts: number, core: EscrowState): Escrow {
    return new Escrow({ self: selfOf(vm, restarts), times, rules }, core);
  }

  const instances = Array.from(
    { length: bounds.vms },
    (_, vm) => selfOf(vm, 0),
  );
  const pools = [{ pool: POOL, total: bounds.slots }];
  const first = nextPlan(undefined, {
    owners: instances,
    pools,
    settled: false,
  });
  const second: EscrowPlan | undefined = bounds.stay === 0
    ? undefined
    : nextPlan(first, {
      owners: instances.slice(0, bounds.stay),
      pools,
      settled: true,
    });

  function initialVm(vm: number): Vm {
    const core = initialEscrowState();
    const escrow = escrowOf(vm, 0, core);
    escrow.adopt(first, 0);
    escrow.confirmCurrent(first.epoch, { askedAt: 0, now: 0 });
    return { life: 0, core, startedAt: 0 };
  }

  function performStep(
    state: EscrowModelState,
    index: number,
    step: (escrow: Escrow, now: number) => readonly EscrowEffect[],
  ): EscrowModelState {
    const vm = state.vms[index]!;
    const core = structuredClone(vm.core);
    const effects = step(
      escrowOf(index, vm.life, core),
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
    const index = instances.findIndex(({ vm }) => vm === to);
    return performStep(
      { ...state, network, repeats },
      index,
      (escrow, now) => escrow.receive(message, now),
    );
  }

  function wait(state: EscrowModelState, frozen: number): EscrowModelState {
    let after: EscrowModelState = { ...state, now: state.now + STEP_MS };
    for (let vm = 0; vm < bounds.vms; vm++) {
      if (vm !== frozen) {
        after = performStep(after, vm, (escrow, now) => escrow.tick(now));
      }
    }
    return after;
  }

  function restart(state: EscrowModelState, index: number): EscrowModelState {
    const vm = state.vms[index]!;
    const restarted: Vm = {
      life: vm.life + 1,
      core: keepsState ? vm.core : initialEscrowState(),
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
        return performStep(
          { ...state, wishes: state.wishes - 1 },
          event.vm,
          (escrow, now) => escrow.setWanted(POOL, event.slots, now),
        );
      case "read-plan":
        return performStep(state, event.vm, (escrow, now) => [
          ...escrow.adopt(second!, now),
          ...escrow.confirmCurrent(second!.epoch, { askedAt: now, now }),
        ]);
      case "restart":
        return restart(state, event.vm);
    }
  }

  function events(state: EscrowModelState): readonly EscrowEvent[] {
    const possibleEvents: EscrowEvent[] = [];
    if (state.now < bounds.steps * STEP_MS) {
      for (let frozen = -1; frozen < bounds.vms; frozen++) {
        possibleEvents.push({ type: "wait", frozen });
      }
    }
    state.network.forEach((_, at) => {
      possibleEvents.push({ type: "deliver", at, keep: false });
      if (state.repeats > 0) {
        possibleEvents.push({ type: "deliver", at, keep: true });
      }
    });
    state.vms.forEach((_, index) => {
      if (state.restarts > 0) {
        possibleEvents.push({ type: "restart", vm: index });
      }
      if (second !== undefined) {
        possibleEvents.push({ type: "read-plan", vm: index });
      }
    });
    if (state.wishes > 0) {
      // Only VM 0 requests slots; the others only lend.
      const wanted = state.vms[0]!.core.pools[POOL]?.wanted ?? 0;
      const slots = wanted === 0 ? bounds.slots : 0;
      possibleEvents.push({ type: "wish", vm: 0, slots });
    }
    return possibleEvents;
  }

  function isWithinTotal({ vms, now }: EscrowModelState): boolean {
    const held = vms.map(({ life, core, startedAt }, index) =>
      escrowOf(index, life, core).held(POOL, now - startedAt)
    );
    return held.reduce((a, b) => a + b, 0) <= bounds.slots;
  }

  return {
    name: "escrow",
    bounds: { ...bounds },
    initial: {
      now: 0,
      vms: instances.map((_, vm) => initialVm(vm)),
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
