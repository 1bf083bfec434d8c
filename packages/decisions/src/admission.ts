/**
 * Decides whether a request that finds no free slot may wait, and how long.
 *
 * Without a limit on the wait, a queue that built up in one second of overload
 * takes many seconds to be served. Callers give up while still queued, and
 * slots are spent on responses that nobody reads: p99 stays high long after the
 * load fell, and goodput is far below capacity.
 *
 * @module
 */

import type { CallerId } from "@poplarthread/ids";
import type { FairQueue } from "./fair_queue.ts";
import type { ClassState, ServiceState } from "./service_state.ts";

/** A queue in which the shortest wait exceeds this for half a second or more is
 * a standing queue, not a burst. This is half of the wait limit below, so that
 * a queue kept at that limit still counts as standing. */
const STANDING_THRESHOLD_MS = 100;

/**
 * Maximum wait in a standing queue. After saturation, at 80 % load, a fifth of
 * the capacity is left to drain the queue, so a wait of W takes 5 W to
 * disappear: 200 ms takes one second, half of the 2 s allowed for recovery.
 */
const MAX_STANDING_WAIT_MS = 200;

/**
 * The same for a class that has lower classes. Its queue is served before
 * theirs, by all capacity that its new requests don't need, at least half of
 * the total in the expected mixes: 600 ms drains in little more than a second.
 * With the shorter limit, a first class that fills 92 % of the slots lost 1 %
 * of its requests to random bursts.
 */
const MAX_STANDING_WAIT_UPPER_MS = 600;

/** Decision on a request that finds no free slot. */
export type Admission =
  | { readonly kind: "wait"; readonly giveUpAt: number }
  /** It may wait if the newest request of the caller with the longest queue is
   * refused instead. */
  | { readonly kind: "replace"; readonly giveUpAt: number }
  | { readonly kind: "refuse" };

const REFUSED: Admission = { kind: "refuse" };

/** A request to be admitted. */
export interface Candidate {
  readonly caller: CallerId;
  readonly class: ClassState;
  readonly deadlineAt: number;
}

/** Decides on a request that finds no free slot. */
export function admit(
  service: ServiceState,
  req: Candidate,
  now: number,
): Admission {
  const usableMs = req.deadlineAt - now - req.class.time.mean;
  const maxWaitMs = Math.min(req.class.policy.maxWaitMs, usableMs);
  const limitMs = Math.min(maxWaitMs, standingLimitMs(service, req.class, now));
  const better = waitingInBetterClasses(service, req.class);
  const queue = req.class.waiting;
  if (
    service.waitMs(better + roundRobinPosition(queue, req.caller)) > limitMs
  ) {
    return REFUSED;
  }
  const giveUpAt = now + maxWaitMs;
  if (service.waitMs(better + queue.size) <= limitMs) {
    return { kind: "wait", giveUpAt };
  }
  const longestSize = queue.longest()?.size ?? 0;
  return longestSize > queue.sizeOf(req.caller) + 1
    ? { kind: "replace", giveUpAt }
    : REFUSED;
}

/** Whether requests of the service have been waiting for so long that optional
 * load, such as retries, must not be added. */
export function isOverloaded(service: ServiceState, now: number): boolean {
  if (service.waiting === 0) return false;
  return service.classes.some((cls) => isStanding(cls.waiting, now));
}

function isStanding(queue: FairQueue, now: number): boolean {
  return queue.size > 0 && queue.shortestWaitMs(now) > STANDING_THRESHOLD_MS;
}

function standingLimitMs(
  service: ServiceState,
  cls: ClassState,
  now: number,
): number {
  if (!isStanding(cls.waiting, now)) return Number.POSITIVE_INFINITY;
  const isLast = cls.index === service.classes.length - 1;
  return isLast ? MAX_STANDING_WAIT_MS : MAX_STANDING_WAIT_UPPER_MS;
}

/** Waiting requests of better classes. */
function waitingInBetterClasses(
  service: ServiceState,
  cls: ClassState,
): number {
  let count = 0;
  for (let i = 0; i < cls.index; i++) {
    count += service.fairlyWaiting(service.classes[i]!);
  }
  return count;
}

/** Requests served before a caller's next one under round robin. */
function roundRobinPosition(queue: FairQueue, caller: CallerId): number {
  const own = queue.sizeOf(caller);
  const callers = queue.callers + (own === 0 ? 1 : 0);
  return Math.min(queue.size, (own + 1) * callers - 1);
}
