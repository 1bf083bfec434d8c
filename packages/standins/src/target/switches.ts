/**
 * How a target stand-in behaves, and its switches.
 *
 * @module
 */

import type { Delays } from "../delays.ts";

/** What a target's health endpoint says. */
export type HealthSwitch = "truth" | "always-ok" | "always-failing";
/** What a target's load endpoint says. */
export type LoadSwitch = "truth" | "always-idle" | "always-full";

/** The switches of one target; all are off at the start. */
export interface TargetSwitches {
  readonly health: HealthSwitch;
  readonly load: LoadSwitch;
  /** Age of what the health and load endpoints say. */
  readonly reportLagMs: number;
  /** The target says on each answer that it is leaving; it still serves. */
  readonly draining: boolean;
  /** Work takes this many times as long. */
  readonly slowness: number;
  /** Share of the slots above which work is refused with the not-run mark. */
  readonly shedAbove: number;
}

/** Every switch off. */
export const NO_SWITCHES: TargetSwitches = {
  health: "truth",
  load: "truth",
  reportLagMs: 0,
  draining: false,
  slowness: 1,
  shedAbove: 1,
};

/** One target, as it is started. */
export interface TargetOptions {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Connections that it accepts; more are closed at once. */
  readonly connections: number;
  /** Time that work takes where the request does not say. */
  readonly workMs: number;
  /** For this long after a start, work takes {@link COLD_FACTOR} times as long. */
  readonly coldMs: number;
  readonly delays: Delays;
}

/** Cold caches: how many times longer work takes. */
export const COLD_FACTOR = 3;
/** Cost of a new connection, as measured by the users on their targets. */
export const NEW_CONNECTION_MS = 1;
/** How long a crashed target is away. */
export const RESTART_MS = 1_500;

/** What one target counted. */
export interface TargetCounts {
  /** Requests that it began to run. */
  runs: number;
  /** Refused with the not-run mark. */
  shed: number;
  /** Cancelled by the other side before the answer was whole. */
  cancelled: number;
  /** Work stopped at its deadline. */
  deadlineStops: number;
  /** Requests that came without a deadline. */
  withoutDeadline: number;
  crashes: number;
  /** Runs that began after the target should have had no new work. */
  runsWhileQuiet: number;
  /** Most requests at work at once. */
  mostAtOnce: number;
  /** Connections refused since there were too many. */
  connectionsRefused: number;
}

/** Counts of a target that did nothing yet. */
export function noCounts(): TargetCounts {
  return {
    runs: 0,
    shed: 0,
    cancelled: 0,
    deadlineStops: 0,
    withoutDeadline: 0,
    crashes: 0,
    runsWhileQuiet: 0,
    mostAtOnce: 0,
    connectionsRefused: 0,
  };
}
