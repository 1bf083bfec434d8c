/**
 * Exhaustive exploration of a model to its bounds, by `xstate/graph`.
 *
 * A model wraps production cores: its state holds one core's state for each
 * process, the table's rows, the messages in flight and what the properties
 * have to remember. Every order of its events is explored.
 *
 * @module
 */

import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import { Interner } from "./interner.ts";

/** A step of a model, named so that a trace can be read. */
export interface ModelEvent {
  readonly type: string;
}

/** A finite model. States are plain JSON and are never changed in place. */
export interface Model<State extends object, Event extends ModelEvent> {
  readonly name: string;
  /** What bounds the exploration: processes, losses, crashes and the like. */
  readonly bounds: Readonly<Record<string, number>>;
  readonly initial: State;
  /** The events that may come in this state; none once the bounds are reached. */
  events(state: State): readonly Event[];
  next(state: State, event: Event): State;
  /** Safety properties by name; each holds in every state. */
  readonly properties: Readonly<Record<string, (state: State) => boolean>>;
}

/** A property that does not hold, with the shortest way there. */
export interface Violation<State, Event> {
  readonly property: string;
  readonly trace: readonly Event[];
  readonly state: State;
}

/** What an exploration found. */
export interface Exploration<State, Event> {
  readonly model: string;
  readonly bounds: Readonly<Record<string, number>>;
  readonly states: number;
  readonly transitions: number;
  readonly violation: Violation<State, Event> | undefined;
}

/** More than any model here needs; one that outgrows it fails instead of running for hours. */
const MAX_STATES = 2_000_000;

/** Where a state was first reached from. */
interface Origin<Event> {
  readonly event: Event;
  readonly from: string;
}

/**
 * Explores every state of the model, breadth first, and stops at the first
 * violation of the properties named by `only`. Throws when the model outgrows
 * the limit.
 */
export function explore<State extends object, Event extends ModelEvent>(
  model: Model<State, Event>,
  only: readonly string[] = Object.keys(model.properties),
): Exploration<State, Event> {
  const interner = new Interner();
  const properties = only.map((name) => propertyOf(model, name));
  const root = interner.nameOf(model.initial);
  const origins = new Map<string, Origin<Event> | undefined>();
  origins.set(root, undefined);
  let latest = model.initial;
  let transitions = 0;
  let violation: Violation<State, Event> | undefined;

  function traceTo(name: string): Event[] {
    const trace: Event[] = [];
    let origin = origins.get(name);
    while (origin !== undefined) {
      trace.unshift(origin.event);
      origin = origins.get(origin.from);
    }
    return trace;
  }

  function check(state: State): void {
    const broken = properties.find(({ holds }) => !holds(state));
    if (broken !== undefined) {
      const trace = traceTo(interner.nameOf(state));
      violation = { property: broken.name, trace, state };
    }
  }

  /** Whether the event leads to a state that was not reached before. */
  function isNew(from: State, event: Event): boolean {
    transitions += 1;
    latest = model.next(from, event);
    const name = interner.nameOf(latest);
    if (origins.has(name)) {
      return false;
    }
    origins.set(name, { event, from: interner.nameOf(from) });
    if (violation === undefined) {
      check(latest);
    }
    return true;
  }

  check(model.initial);
  // The filter goes over each transition once and lets through those that reach
  // a new state; the library's queue holds every transition that it is given,
  // and most of its time went into shifting those that led nowhere new.
  const logic = fromTransition(
    (_state: State, _event: Event) => latest,
    model.initial,
  );
  getAdjacencyMap(logic, {
    limit: MAX_STATES,
    events: ({ context }) =>
      violation === undefined ? model.events(context) : [],
    filterEvents: ({ context }, event) => isNew(context, event),
    serializeEvent: (event) => interner.nameOf(event),
    serializeState: ({ context }) => interner.nameOf(context),
  });
  const { name, bounds } = model;
  const states = origins.size;
  return { model: name, bounds, states, transitions, violation };
}

function propertyOf<State extends object, Event extends ModelEvent>(
  model: Model<State, Event>,
  name: string,
): { readonly name: string; readonly holds: (state: State) => boolean } {
  const holds = model.properties[name];
  if (holds === undefined) {
    throw new Error(`Cannot check ${model.name}: no property "${name}"`);
  }
  return { name, holds };
}
