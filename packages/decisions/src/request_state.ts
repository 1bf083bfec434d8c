/**
 * State of one request from its arrival to the end of its last attempt.
 *
 * @module
 */

import type { CallerId, RequestId } from "@poplarthread/ids";
import type { Repeat } from "./event.ts";
import type { CallerQueue } from "./fair_queue.ts";
import type { ClassState, ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** One dispatch of a request. */
export interface Attempt {
  readonly number: number;
  readonly target: TargetState;
  readonly startedAt: number;
}

/** A request between arrival and end. */
export interface RequestState {
  readonly request: RequestId;
  readonly caller: CallerId;
  readonly service: ServiceState;
  readonly class: ClassState;
  readonly repeat: Repeat;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Time at which it is refused if it still waits. */
  giveUpAt: number;
  /** The queue that it waits in, if any. */
  queue: CallerQueue | undefined;
  previous: RequestState | undefined;
  next: RequestState | undefined;
  /** Attempts that have not ended: one, or two while hedged. */
  running: Attempt[];
  /** Attempts started so far. */
  attempts: number;
  /** An attempt may have run it, so it must not be reported as not run. */
  mayHaveRun: boolean;
  /** It was refused, its caller disconnected, or a response has begun. */
  settled: boolean;
  /** Target of the last failed or late attempt, to be avoided next. */
  avoid: TargetState | undefined;
  /** Neighbours in the list of attempts that may be hedged. */
  hedgePrevious: RequestState | undefined;
  hedgeNext: RequestState | undefined;
}
