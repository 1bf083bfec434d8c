/**
 * One request as the decisions see it, from its arrival to its last attempt's
 * end.
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
  /** When its wait ends without a slot. */
  giveUpAt: number;
  /** Where it waits, while it waits. */
  queue: CallerQueue | undefined;
  previous: RequestState | undefined;
  next: RequestState | undefined;
  /** Attempts that have not ended: one, or two while hedged. */
  running: Attempt[];
  /** Attempts started so far. */
  attempts: number;
  /** An attempt may have run it, so that "not run" may not be said. */
  mayHaveRun: boolean;
  /** Its caller has its answer, or has gone, or an answer has begun. */
  settled: boolean;
  /** Target of the last failed attempt, not to be tried next. */
  avoid: TargetState | undefined;
  /** Neighbours in the list of attempts that may be hedged. */
  hedgePrevious: RequestState | undefined;
  hedgeNext: RequestState | undefined;
}
