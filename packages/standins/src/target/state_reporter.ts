/**
 * The health and load that a target's endpoints report: the actual state, an
 * outdated state or a false one, depending on the target's switches.
 *
 * @module
 */

import type { TargetSwitches } from "./switches.ts";

/** State of a target at one point in time. */
export interface TargetState {
  readonly at: number;
  readonly inFlight: number;
  readonly status: "ok" | "cold" | "draining";
}

/** Longest lag that can be simulated; older states are discarded. */
const MAX_LAG_MS = 60_000;
/** Shortest interval between two recorded states; bounds the memory used. */
const MIN_STATE_INTERVAL_MS = 50;

/** Records the states of a target, so that outdated ones can be reported. */
export class StateReporter {
  #states: TargetState[] = [];

  /** Records a state unless the last one is less than {@link MIN_STATE_INTERVAL_MS} old. */
  record(state: TargetState): void {
    const last = this.#states[this.#states.length - 1];
    if (last !== undefined && state.at - last.at < MIN_STATE_INTERVAL_MS) {
      return;
    }
    this.#states.push(state);
    if (this.#states.length > MAX_LAG_MS / MIN_STATE_INTERVAL_MS) {
      this.#states.shift();
    }
  }

  /** Returns the body of the health endpoint, or undefined if the endpoint must fail. */
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
        return { status: this.#laggedState(now, switches).status };
    }
  }

  /** Returns the body of the load endpoint. */
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
        return { inFlight: this.#laggedState(now, switches).inFlight, slots };
    }
  }

  #laggedState(now: TargetState, { reportLagMs }: TargetSwitches): TargetState {
    if (reportLagMs === 0) {
      return now;
    }
    const asOf = now.at - reportLagMs;
    return this.#states.findLast(({ at }) => at <= asOf) ??
      this.#states[0] ?? now;
  }
}
