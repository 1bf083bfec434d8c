/**
 * What a target's health and load endpoints say: the truth, an old truth, or
 * a lie, by switch.
 *
 * @module
 */

import type { TargetSwitches } from "./switches.ts";

/** State of a target at one time. */
export interface TargetState {
  readonly at: number;
  readonly inFlight: number;
  readonly status: "ok" | "cold" | "draining";
}

/** Longest lag that can be served; older states are forgotten. */
const MAX_LAG_MS = 60_000;
/** States are kept this far apart at least, which bounds the memory. */
const RESOLUTION_MS = 50;

/** Remembers the state of a target, so that old states can be served. */
export class Reports {
  #states: TargetState[] = [];

  /** Keeps a state, where the last one is old enough. */
  record(state: TargetState): void {
    const last = this.#states[this.#states.length - 1];
    if (last !== undefined && state.at - last.at < RESOLUTION_MS) {
      return;
    }
    this.#states.push(state);
    if (this.#states.length > MAX_LAG_MS / RESOLUTION_MS) {
      this.#states.shift();
    }
  }

  /** What the health endpoint answers, or undefined where it fails. */
  health(
    now: TargetState,
    switches: TargetSwitches,
  ): { status: string } | undefined {
    switch (switches.health) {
      case "always-ok":
        return { status: "ok" };
      case "always-failing":
        return undefined;
      case "truth":
        return { status: this.#lagging(now, switches).status };
    }
  }

  /** What the load endpoint answers. */
  load(
    now: TargetState,
    switches: TargetSwitches,
    slots: number,
  ): { inFlight: number; slots: number } {
    switch (switches.load) {
      case "always-idle":
        return { inFlight: 0, slots };
      case "always-full":
        return { inFlight: slots, slots };
      case "truth":
        return { inFlight: this.#lagging(now, switches).inFlight, slots };
    }
  }

  #lagging(now: TargetState, { reportLagMs }: TargetSwitches): TargetState {
    if (reportLagMs === 0) {
      return now;
    }
    const until = now.at - reportLagMs;
    return this.#states.findLast(({ at }) => at <= until) ??
      this.#states[0] ?? now;
  }
}
