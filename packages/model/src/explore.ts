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
const MAX_TRANSITIONS = 3_000_000;

/** Where a state was first reached from. */
interface Origin<Event> {
  readonly event: Event;
  readonly from: string;
}

/**
 * Explores every state of the model, breadth first, and stops at the first
 * violation. Throws when the model outgrows the limit.
 */
export function explore<State extends object, Event extends ModelEvent>(
  model: Model<State, Event>,
): Exploration<State, Event> {
  const keys = new WeakMap<object, string>();
  const origins = new Map<string, Origin<Event>>();
  const properties = Object.entries(model.properties);
  let violation: Violation<State, Event> | undefined;

  function keyOf(state: State): string {
    const known = keys.get(state);
    if (known !== undefined) {
      return known;
    }
    const key = JSON.stringify(state);
    keys.set(state, key);
    return key;
  }

  function traceTo(state: State): Event[] {
    const trace: Event[] = [];
    let origin = origins.get(keyOf(state));
    while (origin !== undefined) {
      trace.unshift(origin.event);
      origin = origins.get(origin.from);
    }
    return trace;
  }

  function check(state: State): void {
    const broken = properties.find(([, holds]) => !holds(state));
    if (broken !== undefined) {
      violation = { property: broken[0], trace: traceTo(state), state };
    }
  }

  function nextEvents(state: State): readonly Event[] {
    if (violation === undefined) {
      check(state);
    }
    return violation === undefined ? model.events(state) : [];
  }

  const logic = fromTransition(
    (state: State, event: Event) => model.next(state, event),
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    limit: MAX_TRANSITIONS,
    events: (snapshot) => nextEvents(snapshot.context),
    serializeEvent: JSON.stringify,
    serializeState: (snapshot, event, before) => {
      const key = keyOf(snapshot.context);
      if (event !== undefined && before !== undefined && !origins.has(key)) {
        const from = keyOf(before.context);
        if (key !== keyOf(model.initial)) {
          origins.set(key, { event, from });
        }
      }
      return key;
    },
  });
  const found = Object.values(map);
  const transitions = found.reduce(
    (sum, { transitions }) => sum + Object.keys(transitions).length,
    0,
  );
  const { name, bounds } = model;
  return {
    model: name,
    bounds,
    states: found.length,
    transitions,
    violation,
  };
}
