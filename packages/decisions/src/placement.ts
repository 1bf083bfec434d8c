/**
 * Which target a request goes to.
 *
 * Answers targets with few slots shared by many VMs, and targets that differ:
 * slow, cold, far or failing ones. A VM places only on slots that it holds, so
 * no choice made on lagging figures can push a target over its slots. Among
 * these the one with the least extra time is taken, and only if waiting for a
 * better one would take longer: sent at once to a slow or far target, a request
 * can lose more than it would by waiting a few milliseconds. Without this rule
 * one notices a p99 set by the slowest target of the fleet.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";
import type { ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** Extra time that is never worth a wait: the round trip between two
 * availability zones (3 ms) and the millisecond of a new connection. */
const CHEAP_MS = 5;

/** What placement asks about where targets are. */
export interface Distances {
  /** Round trip to the target beyond what the nearest one costs, in ms;
   * infinite where the link has no room. */
  extraMs(target: TargetState): number;
}

/** The target for `req`, or undefined if it does better to wait. `ahead`
 * requests wait before it. */
export function place(
  service: ServiceState,
  req: RequestState,
  ctx: { distances: Distances; ahead: number; now: number },
): TargetState | undefined {
  const { distances, now } = ctx;
  const { held } = service;
  const mostFail = mostLookDead(service);
  let best: TargetState | undefined;
  let bestExtra = Number.POSITIVE_INFINITY;
  let betterSlots = 0;
  for (let i = 0; i < held.length; i++) {
    const target = held[(service.turn + i) % held.length]!;
    if (target === req.avoid && held.length > 1) continue;
    const standing = target.belief.standing(now, mostFail);
    if (standing !== "usable") {
      if (standing === "failing" && mayProbe(target, req, now)) {
        target.belief.probed(now);
        return target;
      }
      continue;
    }
    const extra = distances.extraMs(target) +
      target.belief.extraMs(service.time.mean, target.cold, now);
    if (extra <= CHEAP_MS) betterSlots += target.held;
    if (target.free <= 0 || extra >= bestExtra) continue;
    if (!mayUseSlot(target, req, now)) continue;
    best = target;
    bestExtra = extra;
  }
  if (best === undefined) return undefined;
  if (bestExtra > CHEAP_MS && betterSlots > 0) {
    const wait = (ctx.ahead + 1) * service.time.mean / betterSlots;
    if (wait < bestExtra) return undefined;
  }
  service.turn = (service.turn + 1) % held.length;
  best.belief.used(now);
  return best;
}

/** Held targets from which on they stand for the service. */
const ENOUGH_HELD = 3;

/**
 * Whether most targets look dead by this VM's own attempts. A VM that holds
 * slots of one or two targets looks at all that are known: judged by these
 * alone, a single dead target is "most", stays in use, fails each request at
 * once, and so draws in more of them than any other.
 */
export function mostLookDead(service: ServiceState): boolean {
  const { held, targets } = service;
  const isEnough = held.length >= ENOUGH_HELD;
  let failing = 0;
  for (const { belief } of isEnough ? held : targets) {
    if (belief.failing) failing++;
  }
  return failing * 2 > (isEnough ? held.length : targets.size);
}

/** A failing target is tried by one request that may be repeated. */
function mayProbe(
  target: TargetState,
  req: RequestState,
  now: number,
): boolean {
  return req.repeat === "idempotent" && req.attempts === 0 &&
    target.inUse === 0 && target.free > 0 && target.belief.mayProbe(now);
}

/** On a borrowed slot a request must end before the loan does: after that the
 * slot is another VM's, and two requests would run on it. */
export function mayUseSlot(
  target: TargetState,
  req: RequestState,
  now: number,
): boolean {
  if (target.owned - target.lent - target.inUse > 0) return true;
  for (const loan of target.loans) {
    if (loan.endsAt >= req.deadlineAt && loan.endsAt > now) return true;
  }
  return false;
}
