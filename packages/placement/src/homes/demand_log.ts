/**
 * Counts what callers ask of one VM, and what it observes of targets, until its next
 * report.
 *
 * @module
 */

import type { HomeRequest } from "./home_source.ts";
import type {
  DemandReport,
  ObjectDemand,
  PriorityDemand,
  TargetObservation,
} from "./messages.ts";

interface WorkCount {
  requests: number;
  workMs: number;
}

interface PriorityCount extends WorkCount {
  refused: number;
}

interface ResponseCount {
  responses: number;
  paced: number;
  pace: number;
}

/** A response of a target. */
export interface ObservedResponse {
  readonly target: number;
  /** Undefined if the target doesn't state it. */
  readonly pace: number | undefined;
  /** Requests that run or wait there; undefined if the target doesn't state them. */
  readonly requests?: number | undefined;
}

/** The parts of a report that are counted here. */
export type CountedDemand = Pick<
  DemandReport,
  "objects" | "priorities" | "targets"
>;

/** See the module comment. */
export class DemandLog {
  #objects = new Map<number, WorkCount>();
  #priorities = new Map<number, PriorityCount>();
  #targets = new Map<number, ResponseCount>();

  /** Counts a caller's request. */
  recordDemand({ object, workMs }: HomeRequest, priority: number): void {
    const counted = this.#objects.get(object);
    if (counted === undefined) {
      this.#objects.set(object, { requests: 1, workMs });
    } else {
      counted.requests += 1;
      counted.workMs += workMs;
    }
    const ofPriority = this.#priorityOf(priority);
    ofPriority.requests += 1;
    ofPriority.workMs += workMs;
  }

  /** Counts a request that was refused for lack of room. */
  recordRefusal(priority: number): void {
    this.#priorityOf(priority).refused += 1;
  }

  /** Counts a target's response. */
  recordResponse({ target, pace }: ObservedResponse): void {
    let counted = this.#targets.get(target);
    if (counted === undefined) {
      counted = { responses: 0, paced: 0, pace: 0 };
      this.#targets.set(target, counted);
    }
    counted.responses += 1;
    if (pace !== undefined) {
      counted.paced += 1;
      counted.pace += pace;
    }
  }

  /** Removes and returns what was counted. */
  take(homesOf: (object: number) => readonly number[]): CountedDemand {
    const objects = [...this.#objects].map(([object, counted]) =>
      objectDemand(object, counted, homesOf(object))
    );
    const priorities = [...this.#priorities].map(([priority, counted]) =>
      priorityDemand(priority, counted)
    );
    const targets = [...this.#targets].map(([target, counted]) =>
      observation(target, counted)
    );
    this.#objects = new Map();
    this.#priorities = new Map();
    this.#targets = new Map();
    return { objects, priorities, targets };
  }

  #priorityOf(priority: number): PriorityCount {
    let counted = this.#priorities.get(priority);
    if (counted === undefined) {
      counted = { requests: 0, workMs: 0, refused: 0 };
      this.#priorities.set(priority, counted);
    }
    return counted;
  }
}

function objectDemand(
  object: number,
  { requests, workMs }: WorkCount,
  targets: readonly number[],
): ObjectDemand {
  return { object, targets, requests, workMs: Math.round(workMs / requests) };
}

function priorityDemand(
  priority: number,
  { requests, refused, workMs }: PriorityCount,
): PriorityDemand {
  return {
    priority,
    requests,
    refused,
    workMs: requests === 0 ? 0 : Math.round(workMs / requests),
  };
}

function observation(
  target: number,
  { responses, paced, pace }: ResponseCount,
): TargetObservation {
  return {
    target,
    pace: paced === 0 ? undefined : toHundredths(pace / paced),
    requests: responses,
  };
}

/** Keeps messages short. */
function toHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
