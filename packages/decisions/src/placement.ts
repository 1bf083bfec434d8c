/**
 * Chooses the target of a request.
 *
 * Targets have few slots that many VMs share, and some are slow, cold, distant
 * or failing. A VM uses only slots that it holds, so no choice based on
 * outdated figures can overload a target. Among these slots it takes the target
 * with the least extra time, but only if waiting for a better one would take
 * longer: sent at once to a slow or distant target, a request can lose more
 * time than by waiting a few milliseconds. Without this rule the slowest target
 * of the fleet would determine p99.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";
import type { ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** Extra time that never justifies a wait: the round trip between two
 * availability zones (3 ms) and the time to open a connection (1 ms). */
const NEGLIGIBLE_MS = 5;

/** Distances to targets. */
export interface Distances {
  /** Round trip to the target beyond that to the nearest one, in ms; infinite
   * where the link is full. */
  extraMs(target: TargetState): number;
}

/** The target for `req`, or undefined if it should wait. `ahead` is the number
 * of requests before it. */
export function chooseTarget(
  service: ServiceState,
  req: RequestState,
  ctx: { distances: Distances; ahead: number; now: number },
): TargetState | undefined {
  const { distances, now } = ctx;
  const { held } = service;
  const mostFailing = mostAreFailing(service);
  let best: TargetState | undefined;
  let bestExtraMs = Number.POSITIVE_INFINITY;
  let betterSlots = 0;
  for (let i = 0; i < held.length; i++) {
    const target = held[(service.searchStart + i) % held.length]!;
    if (target === req.avoid && held.length > 1) continue;
    const state = target.health.stateAt(now, mostFailing);
    if (state !== "usable") {
      if (state === "failing" && mayProbe(target, req, now)) {
        target.health.recordProbe(now);
        return target;
      }
      continue;
    }
    const extraMs = distances.extraMs(target) +
      target.health.extraMs(service.time.mean, target.cold, now);
    if (extraMs <= NEGLIGIBLE_MS) betterSlots += target.held;
    if (target.free <= 0 || extraMs >= bestExtraMs) continue;
    if (!mayUseSlot(target, req, now)) continue;
    best = target;
    bestExtraMs = extraMs;
  }
  if (best === undefined) return undefined;
  if (bestExtraMs > NEGLIGIBLE_MS && betterSlots > 0) {
    const waitMs = (ctx.ahead + 1) * service.time.mean / betterSlots;
    if (waitMs < bestExtraMs) return undefined;
  }
  service.searchStart = (service.searchStart + 1) % held.length;
  best.health.recordDispatch(now);
  return best;
}

/** Number of held targets from which they are representative of the service. */
const MIN_REPRESENTATIVE_TARGETS = 3;

/**
 * Whether most targets fail according to this VM's own attempts. A VM that
 * holds slots of only one or two targets judges by all known targets: judged by
 * the held ones alone, a single dead target would be a majority and stay in
 * use. Since it fails each request at once, it would attract more requests than
 * any other.
 */
export function mostAreFailing(service: ServiceState): boolean {
  const { held, targets } = service;
  const isRepresentative = held.length >= MIN_REPRESENTATIVE_TARGETS;
  let failing = 0;
  for (const { health } of isRepresentative ? held : targets) {
    if (health.failing) failing++;
  }
  return failing * 2 > (isRepresentative ? held.length : targets.size);
}

/** A failing target is probed by one request that may be repeated. */
function mayProbe(
  target: TargetState,
  req: RequestState,
  now: number,
): boolean {
  return req.repeat === "idempotent" && req.attempts === 0 &&
    target.inUse === 0 && target.free > 0 && target.health.mayProbe(now);
}

/** On a borrowed slot a request must end before the loan does: after that
 * another VM may use the slot, and two requests would run on it. */
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
