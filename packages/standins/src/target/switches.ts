/**
 * Options of a target stand-in, and the switches that change its behaviour.
 *
 * @module
 */

import type { Delays } from "../delays.ts";

/** What a target's health endpoint reports. */
export type HealthSwitch = "truth" | "always-ok" | "always-failing";
/** What a target's load endpoint reports. */
export type LoadSwitch = "truth" | "always-idle" | "always-full";

/** Switches that change the behaviour of one target; initially {@link DEFAULT_SWITCHES}. */
export interface TargetSwitches {
  readonly health: HealthSwitch;
  readonly load: LoadSwitch;
  /** Age of the state that the health and load endpoints report. */
  readonly reportLagMs: number;
  /** The target marks each response with `poplarthread-leaving`, but still serves. */
  readonly draining: boolean;
  /** Factor by which work takes longer. */
  readonly slowness: number;
  /** Share of the slots above which work is refused with `poplarthread-not-run`. */
  readonly shedAbove: number;
}

/** Normal behaviour. */
export const DEFAULT_SWITCHES: TargetSwitches = {
  health: "truth",
  load: "truth",
  reportLagMs: 0,
  draining: false,
  slowness: 1,
  shedAbove: 1,
};

/** Options of one target. */
export interface TargetOptions {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Largest number of requests that run at once. */
  readonly slots: number;
  /** Largest number of open connections; further ones are closed immediately. */
  readonly connections: number;
  /** Duration of work if the request does not specify it. */
  readonly workMs: number;
  /** Time after a start during which work takes {@link COLD_SLOWDOWN} times as long. */
  readonly coldMs: number;
  readonly delays: Delays;
}

/** Factor by which work takes longer while the target's caches are cold. */
export const COLD_SLOWDOWN = 3;
/** Time to set up a new connection on the users' targets. */
export const CONNECTION_SETUP_MS = 1;
/** Time between a target's crash and its restart. */
export const RESTART_DELAY_MS = 1_500;

/** Counts of one target. */
export interface TargetCounts {
  /** Requests that began to run. */
  runs: number;
  /** Requests refused with `poplarthread-not-run`. */
  shed: number;
  /** Requests whose connection closed before the response was complete. */
  cancelled: number;
  /** Requests stopped at their deadline. */
  deadlineStops: number;
  /** Requests received without a deadline. */
  withoutDeadline: number;
  crashes: number;
  /** Runs that began after the target should have stopped receiving requests. */
  runsWhileQuiet: number;
  /** Largest number of requests in progress at the same time. */
  mostAtOnce: number;
  /** Connections refused because `connections` were open already. */
  connectionsRefused: number;
}

/** Returns counts that are all zero. */
export function zeroCounts(): TargetCounts {
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
