/**
 * A second attempt beside a slow first one.
 *
 * Answers a target that stalls or has gone silent: its requests would wait until
 * their deadline, long before enough answers are missing to stop using it. An
 * idempotent request that takes far longer than usual is sent to a second
 * target, and the first answer wins. Unbounded, hedges double the load just when
 * targets are slow because they are busy; so they need an idle slot, an empty
 * queue and a token of the retry budget.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";
import type { ClassState } from "./service_state.ts";

/** Deviations above the mean at which a request counts as late: the slowest
 * 2 % of exponential times, the slowest 1 % of narrower ones. */
const LATE_DEVIATIONS = 4;

/** How long a request of a class may take before it counts as late, in ms. */
export function lateAfterMs(cls: ClassState): number {
  return cls.time.mean + LATE_DEVIATIONS * cls.time.deviation;
}

/** Starts to watch a request, behind those sent before it. */
export function watch(req: RequestState): void {
  const cls = req.class;
  req.hedgePrevious = cls.hedgeTail;
  req.hedgeNext = undefined;
  if (cls.hedgeTail === undefined) cls.hedgeHead = req;
  else cls.hedgeTail.hedgeNext = req;
  cls.hedgeTail = req;
}

/** Stops watching it. */
export function unwatch(req: RequestState): void {
  const cls = req.class;
  if (!isWatched(req)) return;
  if (req.hedgePrevious === undefined) cls.hedgeHead = req.hedgeNext;
  else req.hedgePrevious.hedgeNext = req.hedgeNext;
  if (req.hedgeNext === undefined) cls.hedgeTail = req.hedgePrevious;
  else req.hedgeNext.hedgePrevious = req.hedgePrevious;
  req.hedgePrevious = undefined;
  req.hedgeNext = undefined;
}

function isWatched(req: RequestState): boolean {
  return req.hedgePrevious !== undefined || req.class.hedgeHead === req;
}

/** The oldest watched request of a class, if it is late; else undefined. */
export function lateRequest(
  cls: ClassState,
  now: number,
): RequestState | undefined {
  const req = cls.hedgeHead;
  if (req === undefined) return undefined;
  return lateAt(req) <= now ? req : undefined;
}

/** When a watched request becomes late. */
export function lateAt(req: RequestState): number {
  const started = req.running[0]?.startedAt ?? req.arrivedAt;
  return started + lateAfterMs(req.class);
}
