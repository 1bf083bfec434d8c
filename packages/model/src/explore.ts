/**
 * Exhaustive exploration of a model within its bounds, with `xstate/graph`.
 *
 * A model wraps production cores: its state holds the state of one core per
 * process, the table's rows, the messages in flight and the history that the
 * properties need. All orders of its events are explored.
 *
 * @module
 */

import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import { Interner } from "./interner.ts";

/** A step of a model; `type` identifies it in a trace. */
export interface ModelEvent {
  readonly type: string;
}

/** A finite model. States are plain, immutable JSON values. */
export interface Model<State extends object, Event extends ModelEvent> {
  readonly name: string;
  /** Bounds of the exploration, such as the numbers of processes, losses and crashes. */
  readonly bounds: Readonly<Record<string, number>>;
  readonly initial: State;
  /** The events that may occur in this state; none once the bounds are reached. */
  events(state: State): readonly Event[];
  next(state: State, event: Event): State;
  /** Safety properties by name; each must hold in every state. */
  readonly properties: Readonly<Record<string, (state: State) => boolean>>;
}

/** A violated property, with a shortest trace to the state that violates it. */
export interface Violation<State, Event> {
  readonly property: string;
  readonly trace: readonly Event[];
  readonly state: State;
}

/** The result of an exploration. */
export interface Exploration<State, Event> {
  readonly model: string;
  readonly bounds: Readonly<Record<string, number>>;
  readonly states: number;
  readonly transitions: number;
  readonly violation: Violation<State, Event> | undefined;
}

/**
 * Limit of an exploration, above the size of every model here; a model that
 * exceeds it fails instead of running for hours.
 */
const MAX_STATES = 2_000_000;

/** How a state was first reached. */
interface Predecessor<Event> {
  readonly event: Event;
  readonly from: string;
}

/**
 * Explores all states of the model breadth first, and stops at the first
 * violation of one of the properties named by `only`. Throws if the model has
 * more than {@link MAX_STATES} states.
 */
export function explore<State extends object, Event extends ModelEvent>(
  model: Model<State, Event>,
  only: readonly string[] = Object.keys(model.properties),
): Exploration<State, Event> {
  const interner = new Interner();
  const properties = only.map((name) => propertyOf(model, name));
  const root = interner.idOf(model.initial);
  const predecessors = new Map<string, Predecessor<Event> | undefined>();
  predecessors.set(root, undefined);
  let latestState = model.initial;
  let transitions = 0;
  let violation: Violation<State, Event> | undefined;

  function traceTo(id: string): Event[] {
    const trace: Event[] = [];
    let predecessor = predecessors.get(id);
    while (predecessor !== undefined) {
      trace.unshift(predecessor.event);
      predecessor = predecessors.get(predecessor.from);
    }
    return trace;
  }

  function check(state: State): void {
    const violated = properties.find(({ holds }) => !holds(state));
    if (violated !== undefined) {
      const trace = traceTo(interner.idOf(state));
      violation = { property: violated.name, trace, state };
    }
  }

  /** Applies the event; returns whether it leads to a state that was not reached before. */
  function visit(from: State, event: Event): boolean {
    transitions += 1;
    latestState = model.next(from, event);
    const id = interner.idOf(latestState);
    if (predecessors.has(id)) {
      return false;
    }
    predecessors.set(id, { event, from: interner.idOf(from) });
    if (violation === undefined) {
      check(latestState);
    }
    return true;
  }

  check(model.initial);
  // The filter is called once per transition and accepts only those that reach a
  // new state. The library queues every accepted transition, and without the
  // filter it spends most of its time dequeuing those that lead to known states.
  const logic = fromTransition(
    (_state: State, _event: Event) => latestState,
    model.initial,
  );
  getAdjacencyMap(logic, {
    limit: MAX_STATES,
    events: ({ context }) =>
      violation === undefined ? model.events(context) : [],
    filterEvents: ({ context }, event) => visit(context, event),
    serializeEvent: (event) => interner.idOf(event),
    serializeState: ({ context }) => interner.idOf(context),
  });
  const { name, bounds } = model;
  const states = predecessors.size;
  return { model: name, bounds, states, transitions, violation };
}

function propertyOf<State extends object, Event extends ModelEvent>(
  model: Model<State, Event>,
  name: string,
): { readonly name: string; readonly holds: (state: State) => boolean } {
  const holds = model.properties[name];
  if (holds === undefined) {
    throw new Error(`Cannot check model ${model.name}: no property "${name}"`);
  }
  return { name, holds };
}
