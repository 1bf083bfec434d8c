/**
 * Model of how a VM follows the owner of an object's homes. The owner changes the
 * homes, is replaced by another VM or by a new term of its own, and a target leaves,
 * while messages are lost, repeated and arrive in any order.
 *
 * @module
 */

import type { Model } from "./explore.ts";
import {
  arrive,
  changeHomes,
  type HomesCore,
  type HomesState,
  initialState,
  learnOwner,
  LEAVING,
  removeTarget,
  replaceOwner,
  send,
  sendReport,
  sendUpdate,
  STEP_MS,
  type Term,
} from "./homes_world.ts";

/** Bounds of the model. */
export interface HomesBounds {
  /** Steps of time. */
  readonly steps: number;
  /** Changes of the homes by the owners. */
  readonly changes: number;
  readonly updates: number;
  readonly reports: number;
  readonly losses: number;
  readonly repeats: number;
  /** The VM that replaces the owner: another one, or itself in a new term; if any. */
  readonly replacement: "other" | "same" | undefined;
  /** Whether a target leaves. */
  readonly leaves: boolean;
}

/** Properties that {@link homesModel} checks. */
export const SAME_HOMES =
  "a VM that has applied all updates has the owner's homes";
/** See {@link SAME_HOMES}. */
export const NO_RETURN = "a VM never returns to a term that it has left";
/** See {@link SAME_HOMES}. */
export const NO_LOST_HOME = "no owner's home is on a target that has left";
/** See {@link SAME_HOMES}. */
export const COUNTED_ONCE = "no owner counts more requests than were made";
/** Holds if no message is lost and none takes longer than a step of time. */
export const TOLD_FIRST =
  "an owner moves homes only after its VMs told what they use";

/** The properties that hold despite losses and delays of any length. */
export const SAFE_HOMES: readonly string[] = [
  SAME_HOMES,
  NO_RETURN,
  NO_LOST_HOME,
  COUNTED_ONCE,
];

/** A step of the model. */
export type HomesEvent =
  | { readonly type: "time-passes" }
  | { readonly type: "assigns" | "moves" | "updates"; readonly term: number }
  | { readonly type: "is-replaced" | "learns" | "reports" | "target-leaves" }
  | {
    readonly type: "arrives" | "is-lost" | "is-repeated";
    readonly message: number;
  };

/** Builds the model with the functions under test. */
export function homesModel(
  bounds: HomesBounds,
  core: HomesCore,
): Model<HomesState, HomesEvent> {
  return {
    name: "homes",
    bounds: {
      steps: bounds.steps,
      changes: bounds.changes,
      updates: bounds.updates,
      reports: bounds.reports,
      losses: bounds.losses,
      repeats: bounds.repeats,
    },
    initial: initialState(core),
    events: (state) => eventsOf(state, bounds, core),
    next: (state, event) => next(state, event, { bounds, core }),
    properties: {
      [SAME_HOMES]: hasSameHomes,
      [NO_RETURN]: ({ follower: { followed, left } }) =>
        followed.term === undefined || !left.includes(followed.term),
      [NO_LOST_HOME]: ({ hasLeft, terms }) =>
        !hasLeft || terms.every(({ homes }) => !homes.includes(LEAVING)),
      [COUNTED_ONCE]: ({ terms, follower }) =>
        terms.every(({ counted }) => counted <= follower.reports),
      [TOLD_FIRST]: ({ movedUntold }) => !movedUntold,
    },
  };
}

function hasSameHomes({ terms, follower }: HomesState): boolean {
  const { followed, homes } = follower;
  const owner = terms.at(-1)!;
  const isCurrent = followed.owner === owner.vm &&
    followed.term === owner.name && followed.sequence === owner.sequence &&
    owner.sequence > 0;
  return !isCurrent || JSON.stringify(homes) === JSON.stringify(owner.homes);
}

function eventsOf(
  state: HomesState,
  bounds: HomesBounds,
  core: HomesCore,
): readonly HomesEvent[] {
  const events: HomesEvent[] = [];
  const { terms, follower, inFlight } = state;
  if (state.time < bounds.steps && mayTimePass(state, bounds)) {
    events.push({ type: "time-passes" });
  }
  terms.forEach((term, at) => {
    events.push(...ownerEvents(state, { term, at, bounds, core }));
  });
  if (bounds.replacement !== undefined && terms.length === 1) {
    events.push({ type: "is-replaced" });
  }
  if (follower.followed.owner !== terms.at(-1)!.vm) {
    events.push({ type: "learns" });
  }
  if (follower.reports < bounds.reports) {
    events.push({ type: "reports" });
  }
  if (bounds.leaves && !state.hasLeft) {
    events.push({ type: "target-leaves" });
  }
  inFlight.forEach((_, message) => {
    events.push({ type: "arrives", message });
    if (state.losses < bounds.losses) {
      events.push({ type: "is-lost", message });
    }
    if (state.repeats < bounds.repeats) {
      events.push({ type: "is-repeated", message });
    }
  });
  return events;
}

/** Without losses, messages take no longer than a step and the VM reports in time. */
function mayTimePass(state: HomesState, bounds: HomesBounds): boolean {
  const { time, terms, follower, inFlight } = state;
  const hasLearned = follower.followed.owner === terms.at(-1)!.vm;
  return bounds.losses > 0 ||
    hasLearned && follower.earlier === undefined &&
      inFlight.every(({ sentAt }) => sentAt === time);
}

function ownerEvents(
  { time, changes, updates }: HomesState,
  { term, at, bounds, core }: {
    readonly term: Term;
    readonly at: number;
    readonly bounds: HomesBounds;
    readonly core: HomesCore;
  },
): readonly HomesEvent[] {
  const events: HomesEvent[] = [];
  if (changes < bounds.changes) {
    if (term.homes.length === 0) {
      events.push({ type: "assigns", term: at });
    } else if (!core.isRecovering(term.startedAt * STEP_MS, time * STEP_MS)) {
      events.push({ type: "moves", term: at });
    }
  }
  if (updates < bounds.updates) {
    events.push({ type: "updates", term: at });
  }
  return events;
}

/** What the steps of the model need. */
interface Context {
  readonly bounds: HomesBounds;
  readonly core: HomesCore;
}

function next(
  state: HomesState,
  event: HomesEvent,
  context: Context,
): HomesState {
  switch (event.type) {
    case "time-passes":
      return { ...state, time: state.time + 1 };
    case "assigns":
      return changeHomes(state, event.term);
    case "moves":
      return {
        ...changeHomes(state, event.term),
        movedUntold: state.movedUntold || !state.terms[event.term]!.isTold,
      };
    case "updates":
      return sendUpdate(state, event.term);
    case "is-replaced":
      return replaceOwner(state, context.bounds.replacement!);
    case "learns":
      return learnOwner(state, context.core);
    case "reports":
      return sendReport(state);
    case "target-leaves":
      return removeTarget(state, context.core);
    case "arrives":
      return arrive(state, event.message, context.core);
    case "is-lost":
      return {
        ...state,
        losses: state.losses + 1,
        inFlight: state.inFlight.toSpliced(event.message, 1),
      };
    case "is-repeated":
      return send(
        { ...state, repeats: state.repeats + 1 },
        state.inFlight[event.message]!,
      );
  }
}
