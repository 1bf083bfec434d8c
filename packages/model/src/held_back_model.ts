/**
 * Model of held-back requests. One request, the culprit, crashes each target
 * that runs it; another request sometimes shares a target with it. The VMs'
 * messages arrive late, in any order and repeatedly.
 *
 * @module
 */

import {
  type Fingerprint,
  type HeldBack,
  type HeldBackMessage,
  type TargetRun,
  targetRun,
} from "@poplarthread/coordination";
import { id, type TargetId } from "@poplarthread/ids";
import type { Model } from "./explore.ts";

/** The class under test: the production one, or a mutant of it. */
export type HeldBackCore = { readonly HeldBack: typeof HeldBack };

/** Bounds of the model. */
export interface HeldBackBounds {
  readonly vms: number;
  /** Number of times that the culprit is sent. */
  readonly sendings: number;
  /** Number of times that the other request runs on a separate target and completes. */
  readonly completions: number;
  /** Number of repeated deliveries of messages. */
  readonly repeats: number;
}

/** An input of one VM. Its table is rebuilt from all its inputs in order. */
type Input =
  | {
    readonly kind: "died";
    readonly target: TargetRun;
    readonly inFlight: readonly Fingerprint[];
  }
  | { readonly kind: "completed" }
  | { readonly kind: "received"; readonly message: HeldBackMessage };

interface Envelope {
  readonly to: number;
  readonly message: HeldBackMessage;
}

/** A state of the model. */
export interface HeldBackState {
  readonly inputs: readonly (readonly Input[])[];
  readonly mail: readonly Envelope[];
  /**
   * Number of targets that crashed; `shared` counts those that also ran the
   * other request.
   */
  readonly deaths: number;
  readonly shared: number;
  readonly completions: number;
  readonly repeats: number;
}

/** A step of the model. */
export type HeldBackEvent =
  | {
    readonly type: "crash-target";
    readonly vm: number;
    readonly isShared: boolean;
  }
  | { readonly type: "complete"; readonly vm: number }
  | {
    readonly type: "deliver";
    readonly mailed: number;
    readonly comesAgain: boolean;
  };

const CULPRIT = "culprit" as Fingerprint;
const OTHER = "other" as Fingerprint;
/**
 * Time between two inputs, long enough that no two crashes count as one failure
 * of a rack or zone.
 */
const STEP_MS = 5_000;

/** Builds the model with the class under test. */
export function heldBackModel(
  bounds: HeldBackBounds,
  core: HeldBackCore,
): Model<HeldBackState, HeldBackEvent> {
  /**
   * Returns the table after these inputs, and the messages to peers that the
   * last one caused.
   */
  function replay(inputs: readonly Input[]) {
    const table = new core.HeldBack();
    let messages: readonly HeldBackMessage[] = [];
    inputs.forEach((input, index) => {
      messages = applyInput(table, input, index * STEP_MS);
    });
    return { table, messages };
  }

  function verdict(inputs: readonly Input[], fingerprint: Fingerprint): string {
    const { table } = replay(inputs);
    return table.verdict(fingerprint, inputs.length * STEP_MS).kind;
  }

  function addInput(
    state: HeldBackState,
    vm: number,
    input: Input,
  ): HeldBackState {
    const vmInputs = [...state.inputs[vm]!, input];
    const { messages } = replay(vmInputs);
    const others = state.inputs.map((_, other) => other)
      .filter((other) => other !== vm);
    const mail = messages.flatMap((message) =>
      others.map((to) => ({ to, message }))
    );
    return {
      ...state,
      inputs: state.inputs.with(vm, vmInputs),
      mail: [...state.mail, ...mail],
    };
  }

  function next(state: HeldBackState, event: HeldBackEvent): HeldBackState {
    switch (event.type) {
      case "crash-target": {
        const target = targetRun(id<TargetId>(`target-${state.deaths}`));
        const inFlight = event.isShared ? [CULPRIT, OTHER] : [CULPRIT];
        const after = addInput(state, event.vm, {
          kind: "died",
          target,
          inFlight,
        });
        const shared = state.shared + (event.isShared ? 1 : 0);
        return { ...after, deaths: state.deaths + 1, shared };
      }
      case "complete": {
        const after = addInput(state, event.vm, { kind: "completed" });
        return { ...after, completions: state.completions + 1 };
      }
      case "deliver": {
        const { to, message } = state.mail[event.mailed]!;
        const after = addInput(state, to, { kind: "received", message });
        const mail = event.comesAgain
          ? state.mail
          : state.mail.filter((_, index) => index !== event.mailed);
        const repeats = state.repeats - (event.comesAgain ? 1 : 0);
        return { ...after, mail, repeats };
      }
    }
  }

  function eventsOf(state: HeldBackState): readonly HeldBackEvent[] {
    const events: HeldBackEvent[] = [];
    state.inputs.forEach((inputs, vm) => {
      const culprit = verdict(inputs, CULPRIT);
      const other = verdict(inputs, OTHER);
      if (state.deaths < bounds.sendings && culprit !== "held-back") {
        events.push({ type: "crash-target", vm, isShared: false });
        const areBothSuspects = culprit === "suspect" && other === "suspect";
        if (other !== "held-back" && !areBothSuspects) {
          events.push({ type: "crash-target", vm, isShared: true });
        }
      }
      if (state.completions < bounds.completions && other !== "held-back") {
        events.push({ type: "complete", vm });
      }
    });
    state.mail.forEach((_, mailed) => {
      events.push({ type: "deliver", mailed, comesAgain: false });
      if (state.repeats > 0) {
        events.push({ type: "deliver", mailed, comesAgain: true });
      }
    });
    return events;
  }

  return {
    name: "held-back requests",
    bounds: { ...bounds },
    initial: {
      inputs: Array.from({ length: bounds.vms }, () => []),
      mail: [],
      deaths: 0,
      shared: 0,
      completions: 0,
      repeats: bounds.repeats,
    },
    events: eventsOf,
    next,
    properties: {
      "a VM that knows of two crashes holds the culprit back": ({ inputs }) =>
        inputs.every((vmInputs) =>
          countKnownCrashes(vmInputs) < 2 ||
          verdict(vmInputs, CULPRIT) === "held-back"
        ),
      "every VM holds the culprit back once all messages have arrived": (
        state,
      ) =>
        state.deaths < 2 || state.mail.length > 0 ||
        state.inputs.every((vmInputs) =>
          verdict(vmInputs, CULPRIT) === "held-back"
        ),
      "no other request is held back for one shared target": (
        { inputs, shared },
      ) =>
        shared > 1 ||
        inputs.every((vmInputs) => verdict(vmInputs, OTHER) !== "held-back"),
      "a VM that knows of a completion never holds that request back": (
        { inputs },
      ) =>
        inputs.every((vmInputs) =>
          !isCompletionKnown(vmInputs) || verdict(vmInputs, OTHER) === "free"
        ),
    },
  };
}

function applyInput(
  table: HeldBack,
  input: Input,
  now: number,
): readonly HeldBackMessage[] {
  switch (input.kind) {
    case "died":
      return table.targetCrashed(input.target, input.inFlight, now);
    case "completed":
      return table.completed(OTHER, now);
    case "received":
      table.receive(input.message, now);
      return [];
  }
}

function countKnownCrashes(inputs: readonly Input[]): number {
  const targets = inputs.flatMap((input) => {
    if (input.kind === "died") {
      return [input.target];
    }
    const isCrash = input.kind === "received" &&
      input.message.kind === "coincided" &&
      input.message.fingerprint === CULPRIT;
    return isCrash ? [(input.message as { target: TargetRun }).target] : [];
  });
  return new Set(targets).size;
}

/**
 * Whether the VM knows of a completion; it records one only for a request that
 * it suspects already.
 */
function isCompletionKnown(inputs: readonly Input[]): boolean {
  const suspectedAt = inputs.findIndex((input) =>
    input.kind === "died" && input.inFlight.includes(OTHER) ||
    input.kind === "received" && input.message.fingerprint === OTHER
  );
  const isCompletion = (input: Input): boolean =>
    input.kind === "completed" ||
    (input.kind === "received" && input.message.kind === "completed");
  return suspectedAt >= 0 && inputs.slice(suspectedAt).some(isCompletion);
}
