/**
 * Hedging: a second attempt in parallel with a slow first one.
 *
 * A target may stall or become unresponsive. Its requests would wait until
 * their deadline, since it takes longer than that until enough failures are
 * seen to eject it. An idempotent request that takes far longer than usual is
 * sent to a second target, and the first response wins. Without a limit, hedges
 * double the load exactly when targets are slow because they are busy; so they
 * need an idle slot, an empty queue and a token of the retry budget.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";
import type { ClassState } from "./service_state.ts";

/** Deviations above the mean at which a request counts as late: the slowest 2 %
 * of exponentially distributed times, 1 % of narrower distributions. */
const LATE_AFTER_DEVIATIONS = 4;

/** Time after which a request of a class counts as late, in ms. */
export function lateAfterMs(cls: ClassState): number {
  return cls.time.mean + LATE_AFTER_DEVIATIONS * cls.time.deviation;
}

/** Starts watching a request, after those dispatched earlier. */
export function watch(req: RequestState): void {
  const cls = req.class;
  req.hedgePrevious = cls.hedgeTail;
  req.hedgeNext = undefined;
  if (cls.hedgeTail === undefined) cls.hedgeHead = req;
  else cls.hedgeTail.hedgeNext = req;
  cls.hedgeTail = req;
}

/** Stops watching a request. */
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

/** The oldest watched request of a class if it is late; otherwise undefined. */
export function lateRequest(
  cls: ClassState,
  now: number,
): RequestState | undefined {
  const req = cls.hedgeHead;
  if (req === undefined) return undefined;
  return lateAt(req) <= now ? req : undefined;
}

/** Time at which a watched request becomes late. */
export function lateAt(req: RequestState): number {
  const started = req.running[0]?.startedAt ?? req.arrivedAt;
  return started + lateAfterMs(req.class);
}
