/**
 * Model of reports on held-back requests. One request, the culprit, crashes each
 * target that runs it; a popular one shares targets with it and succeeds elsewhere.
 * VMs repeat to each other what they know; any report may be lost, and VMs restart
 * and forget. Time stands still: no entry expires.
 *
 * @module
 */

import {
  DEFAULT_HELD_BACK_POLICY,
  type Fingerprint,
  type HeldBack,
  type HeldBackPolicy,
  type HeldBackReport,
  type TargetRun,
  targetRun,
} from "@poplarthread/coordination";
import { id, type TargetId } from "@poplarthread/ids";
import type { Model } from "./explore.ts";
import type { HeldBackCore } from "./held_back_model.ts";

/** Bounds of the model. */
export interface HeldBackReportsBounds {
  readonly vms: number;
  /** Number of times that the culprit is sent. */
  readonly sendings: number;
  /** Number of times that the popular request succeeds. */
  readonly completions: number;
  readonly restarts: number;
  /** Copies of the culprit that are sent at once, each to a target of its own. */
  readonly copies: number;
}

/** An input of one VM. Its table is rebuilt from all its inputs in order. */
type Input =
  | {
    readonly kind: "crashed";
    readonly run: TargetRun;
    readonly inFlight: readonly Fingerprint[];
  }
  | { readonly kind: "completed" }
  | { readonly kind: "reported"; readonly report: HeldBackReport };

/** A state of the model. */
export interface HeldBackReportsState {
  readonly inputs: readonly (readonly Input[])[];
  /** The VMs of the latest step, if it was a report. */
  readonly latest: { readonly from: number; readonly to: number } | null;
  readonly crashes: number;
  readonly shared: number;
  readonly completions: number;
  readonly restarts: number;
}

/** A step of the model. */
export type HeldBackReportsEvent =
  | {
    readonly type: "crash-target";
    readonly vm: number;
    readonly isShared: boolean;
  }
  | { readonly type: "complete"; readonly vm: number }
  | { readonly type: "report"; readonly from: number; readonly to: number }
  | { readonly type: "restart"; readonly vm: number };

const CULPRIT = "culprit" as Fingerprint;
const POPULAR = "popular" as Fingerprint;
const MIN_CRASHES = 3;
const POLICY: HeldBackPolicy = {
  ...DEFAULT_HELD_BACK_POLICY,
  minCrashes: MIN_CRASHES,
  firstHoldMs: 60_000,
  completionMs: 10_000,
  maxCrashesInBurst: Infinity,
};
/** Room of the gateway's reports to other zones. */
const MAX_CRASHES = 8;
const NOW = 0;

/** Builds the model with the class under test. */
export function heldBackReportsModel(
  bounds: HeldBackReportsBounds,
  core: HeldBackCore,
): Model<HeldBackReportsState, HeldBackReportsEvent> {
  function tableOf(inputs: readonly Input[]): HeldBack {
    const table = new core.HeldBack(POLICY);
    inputs.forEach((input) => applyInput(table, input));
    return table;
  }

  function isHeldBack(
    inputs: readonly Input[],
    fingerprint: Fingerprint,
  ): boolean {
    return tableOf(inputs).verdict(fingerprint, NOW).kind === "held-back";
  }

  function holdMs(inputs: readonly Input[]): number {
    const verdict = tableOf(inputs).verdict(CULPRIT, NOW);
    return verdict.kind === "held-back" ? verdict.retryAfterMs : 0;
  }

  function add(
    state: HeldBackReportsState,
    vm: number,
    inputs: readonly Input[],
  ): HeldBackReportsState {
    const all = [...state.inputs[vm]!, ...inputs];
    return { ...state, inputs: state.inputs.with(vm, all), latest: null };
  }

  function next(
    state: HeldBackReportsState,
    event: HeldBackReportsEvent,
  ): HeldBackReportsState {
    switch (event.type) {
      case "crash-target": {
        const inFlight = event.isShared ? [CULPRIT, POPULAR] : [CULPRIT];
        const crashes = Array.from(
          { length: bounds.copies },
          (_, copy): Input => ({
            kind: "crashed",
            run: targetRun(id<TargetId>(`target-${state.crashes}-${copy}`)),
            // The popular request shares one of the targets.
            inFlight: copy === 0 ? inFlight : [CULPRIT],
          }),
        );
        const after = add(state, event.vm, crashes);
        const shared = state.shared + (event.isShared ? 1 : 0);
        return { ...after, crashes: state.crashes + 1, shared };
      }
      case "complete": {
        const after = add(state, event.vm, [{ kind: "completed" }]);
        return { ...after, completions: state.completions + 1 };
      }
      case "report": {
        const { from, to } = event;
        const reports = tableOf(state.inputs[from]!).reports(NOW, MAX_CRASHES);
        const known = new Set(
          state.inputs[to]!.map((one) => JSON.stringify(one)),
        );
        const news = reports
          .map((report): Input => ({ kind: "reported", report }))
          .filter((input) => !known.has(JSON.stringify(input)));
        return { ...add(state, to, news), latest: { from, to } };
      }
      case "restart":
        return {
          ...state,
          inputs: state.inputs.with(event.vm, []),
          latest: null,
          restarts: state.restarts + 1,
        };
    }
  }

  function eventsOf(
    { inputs, crashes, completions, restarts }: HeldBackReportsState,
  ): readonly HeldBackReportsEvent[] {
    return inputs.flatMap((vmInputs, vm): HeldBackReportsEvent[] => [
      ...(crashes < bounds.sendings && !isHeldBack(vmInputs, CULPRIT)
        ? [true, false].map((isShared) => ({
          type: "crash-target" as const,
          vm,
          isShared,
        }))
        : []),
      ...(completions < bounds.completions && !isHeldBack(vmInputs, POPULAR)
        ? [{ type: "complete" as const, vm }]
        : []),
      ...(restarts < bounds.restarts ? [{ type: "restart" as const, vm }] : []),
      ...inputs.flatMap((_, to) =>
        to === vm ? [] : [{ type: "report" as const, from: vm, to }]
      ),
    ]);
  }

  return {
    name: "reports on held-back requests",
    bounds: { ...bounds },
    initial: {
      inputs: Array.from({ length: bounds.vms }, () => []),
      latest: null,
      crashes: 0,
      shared: 0,
      completions: 0,
      restarts: 0,
    },
    events: eventsOf,
    next,
    properties: {
      "a VM that knows of three crashes holds the culprit back": ({ inputs }) =>
        inputs.every((vmInputs) =>
          knownCrashes(vmInputs, CULPRIT).size < MIN_CRASHES ||
          isHeldBack(vmInputs, CULPRIT)
        ),
      "one report tells all that its sender knows of the culprit": (
        { inputs, latest },
      ) =>
        latest === null ||
        knownCrashes(inputs[latest.from]!, CULPRIT).size > MIN_CRASHES ||
        isSubset(
          knownCrashes(inputs[latest.from]!, CULPRIT),
          knownCrashes(inputs[latest.to]!, CULPRIT),
        ),
      "after one report the culprit is held back as long as by its sender": (
        { inputs, latest },
      ) =>
        latest === null ||
        holdMs(inputs[latest.to]!) >= holdMs(inputs[latest.from]!),
      "one report of a VM that knows of a crash tells that the popular request succeeded":
        ({ inputs, latest }) =>
          latest === null || !isCleared(inputs[latest.from]!) ||
          knownCrashes(inputs[latest.from]!, POPULAR).size === 0 ||
          !isHeldBack(inputs[latest.to]!, POPULAR),
      "no other request is held back for two shared targets": (
        { inputs, shared },
      ) =>
        shared > 2 ||
        inputs.every((vmInputs) => !isHeldBack(vmInputs, POPULAR)),
      "a VM that knows of a success never holds that request back": (
        { inputs },
      ) =>
        inputs.every((vmInputs) =>
          !isCleared(vmInputs) || !isHeldBack(vmInputs, POPULAR)
        ),
    },
  };
}

function applyInput(table: HeldBack, input: Input): void {
  switch (input.kind) {
    case "crashed":
      table.targetCrashed(input.run, input.inFlight, NOW);
      return;
    case "completed":
      table.completed(POPULAR, NOW);
      return;
    case "reported":
      table.merge(input.report, NOW);
      return;
  }
}

function knownCrashes(
  inputs: readonly Input[],
  fingerprint: Fingerprint,
): ReadonlySet<TargetRun> {
  return new Set(inputs.flatMap((input) => {
    switch (input.kind) {
      case "crashed":
        return input.inFlight.includes(fingerprint) ? [input.run] : [];
      case "completed":
        return [];
      case "reported":
        return input.report.fingerprint === fingerprint
          ? input.report.crashes.map(({ run }) => run)
          : [];
    }
  }));
}

/** Whether the VM knows that the popular request succeeded. */
function isCleared(inputs: readonly Input[]): boolean {
  return inputs.some((input) =>
    input.kind === "completed" ||
    (input.kind === "reported" && input.report.fingerprint === POPULAR &&
      input.report.completedAgeMs !== undefined)
  );
}

function isSubset<T>(some: ReadonlySet<T>, all: ReadonlySet<T>): boolean {
  return [...some].every((one) => all.has(one));
}
