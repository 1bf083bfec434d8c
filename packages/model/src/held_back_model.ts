/**
 * The model of held-back requests: one request crashes each target that runs
 * it, another shares targets with it now and then, and two VMs tell each other
 * late, in any order and twice.
 *
 * @module
 */

import type {
  Fingerprint,
  HeldBack,
  HeldBackMessage,
} from "@poplarthread/coordination";
import { id, type TargetId } from "@poplarthread/ids";
import type { Model } from "./explore.ts";

/** The class under test: the production one, or a mutant of it. */
export type HeldBackCore = { readonly HeldBack: typeof HeldBack };

/** What bounds the model. */
export interface HeldBackBounds {
  readonly vms: number;
  /** Times that the crashing request is sent. */
  readonly sendings: number;
  /** Times that the other request runs on a target of its own and completes. */
  readonly completions: number;
  /** Messages that come twice. */
  readonly repeats: number;
}

/** What one VM took in, in order. Its table is built from it. */
type Input =
  | {
    readonly kind: "died";
    readonly target: TargetId;
    readonly inFlight: readonly Fingerprint[];
  }
  | { readonly kind: "completed" }
  | { readonly kind: "heard"; readonly message: HeldBackMessage };

interface Mailed {
  readonly to: number;
  readonly message: HeldBackMessage;
}

/** A state of the model. */
export interface HeldBackState {
  readonly inputs: readonly (readonly Input[])[];
  readonly mail: readonly Mailed[];
  /** Targets that died, and on how many of them the other request was too. */
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
/** Far enough apart that no two deaths count as one event of a rack or zone. */
const STEP_MS = 5_000;

/** Builds the model around the class. */
export function heldBackModel(
  bounds: HeldBackBounds,
  core: HeldBackCore,
): Model<HeldBackState, HeldBackEvent> {
  /** The table after these inputs, and what the last of them has the peers told. */
  function replay(inputs: readonly Input[]) {
    const table = new core.HeldBack();
    let news: readonly HeldBackMessage[] = [];
    inputs.forEach((input, index) => {
      news = take(table, input, index * STEP_MS);
    });
    return { table, news };
  }

  function verdict(inputs: readonly Input[], fingerprint: Fingerprint): string {
    const { table } = replay(inputs);
    return table.verdict(fingerprint, inputs.length * STEP_MS).kind;
  }

  function put(state: HeldBackState, vm: number, input: Input): HeldBackState {
    const mine = [...state.inputs[vm]!, input];
    const { news } = replay(mine);
    const others = state.inputs.map((_, other) => other)
      .filter((other) => other !== vm);
    const mail = news.flatMap((message) =>
      others.map((to) => ({ to, message }))
    );
    return {
      ...state,
      inputs: state.inputs.with(vm, mine),
      mail: [...state.mail, ...mail],
    };
  }

  function next(state: HeldBackState, event: HeldBackEvent): HeldBackState {
    switch (event.type) {
      case "crash-target": {
        const target = id<TargetId>(`target-${state.deaths}`);
        const inFlight = event.isShared ? [CULPRIT, OTHER] : [CULPRIT];
        const after = put(state, event.vm, { kind: "died", target, inFlight });
        const shared = state.shared + (event.isShared ? 1 : 0);
        return { ...after, deaths: state.deaths + 1, shared };
      }
      case "complete": {
        const after = put(state, event.vm, { kind: "completed" });
        return { ...after, completions: state.completions + 1 };
      }
      case "deliver": {
        const { to, message } = state.mail[event.mailed]!;
        const after = put(state, to, { kind: "heard", message });
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
      "who knows of two deaths holds the culprit back": ({ inputs }) =>
        inputs.every((mine) =>
          deathsKnown(mine) < 2 || verdict(mine, CULPRIT) === "held-back"
        ),
      "the culprit is free again nowhere once all is told": (state) =>
        state.deaths < 2 || state.mail.length > 0 ||
        state.inputs.every((mine) => verdict(mine, CULPRIT) === "held-back"),
      "one shared target holds nobody else back": ({ inputs, shared }) =>
        shared > 1 ||
        inputs.every((mine) => verdict(mine, OTHER) !== "held-back"),
      "who knows of a completion never holds that request back": (
        { inputs },
      ) =>
        inputs.every((mine) =>
          !isCompletionKnown(mine) || verdict(mine, OTHER) === "free"
        ),
    },
  };
}

function take(
  table: HeldBack,
  input: Input,
  now: number,
): readonly HeldBackMessage[] {
  switch (input.kind) {
    case "died":
      return table.targetDied(input.target, input.inFlight, now);
    case "completed":
      return table.completed(OTHER, now);
    case "heard":
      table.hear(input.message, now);
      return [];
  }
}

function deathsKnown(inputs: readonly Input[]): number {
  const targets = inputs.flatMap((input) => {
    if (input.kind === "died") {
      return [input.target];
    }
    const isDeath = input.kind === "heard" &&
      input.message.kind === "coincided" &&
      input.message.fingerprint === CULPRIT;
    return isDeath ? [(input.message as { target: TargetId }).target] : [];
  });
  return new Set(targets).size;
}

/** A completion counts from when the VM had reason to note it: after a coincidence. */
function isCompletionKnown(inputs: readonly Input[]): boolean {
  const suspectedAt = inputs.findIndex((input) =>
    input.kind === "died" && input.inFlight.includes(OTHER) ||
    input.kind === "heard" && input.message.fingerprint === OTHER
  );
  const isCompletion = (input: Input): boolean =>
    input.kind === "completed" ||
    (input.kind === "heard" && input.message.kind === "completed");
  return suspectedAt >= 0 && inputs.slice(suspectedAt).some(isCompletion);
}
