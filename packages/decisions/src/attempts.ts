/**
 * Attempts after their dispatch: hedging, their end, what is learned from them,
 * and retries.
 *
 * A request that may have run is sent again only if it is idempotent; one that
 * certainly has not run may always be sent again. Both cost a token of the
 * retry budget. Under overload a request that may have run is not retried: it
 * would take a slot from a request that has not been served at all.
 *
 * @module
 */

import { isOverloaded } from "./admission.ts";
import type { Effect } from "./effect.ts";
import type { AttemptOutcome } from "./event.ts";
import * as hedge from "./hedge.ts";
import { chooseTarget } from "./placement.ts";
import type { Attempt, RequestState } from "./request_state.ts";
import { dequeue, refuse, requeue, start } from "./requests.ts";
import type { ClassState, ServiceState } from "./service_state.ts";
import type { VmState } from "./vm_state.ts";

/** Maximum attempts per request. Together with the retry budget of the service,
 * it keeps a single request that crashes its targets from crashing many. */
const MAX_ATTEMPTS = 3;

/** How long a slot stays occupied after its attempt was aborted, beyond the
 * one-way time to the target: within it the target learns that the connection
 * is closed. A request sent sooner could run beside the cancelled one. */
const LINGER_MS = 5;

/** Processes the end of an attempt. */
export function endAttempt(
  vm: VmState,
  event: { request: RequestState; attempt: number; outcome: AttemptOutcome },
  ctx: { now: number; out: Effect[] },
): void {
  const req = event.request;
  const attempt = req.running.find(({ number }) => number === event.attempt);
  if (attempt === undefined) return;
  req.running = req.running.filter((other) => other !== attempt);
  hedge.unwatch(req);
  freeSlot(vm, req, { attempt, outcome: event.outcome, now: ctx.now });
  const { health, id: target } = attempt.target;
  const wasFailing = health.failing;
  recordOutcome(vm, req, { attempt, outcome: event.outcome, now: ctx.now });
  const { failing } = health;
  if (failing !== wasFailing) {
    ctx.out.push({ kind: "belief-changed", target, failing });
  }
  afterAttempt(vm, req, { attempt, outcome: event.outcome, ...ctx });
  if (req.running.length === 0 && req.settled) vm.requests.delete(req.request);
}

/** Processes the first byte of a response: from now on no other attempt may
 * win. */
export function startResponse(
  req: RequestState,
  attempt: number,
  out: Effect[],
): void {
  req.settled = true;
  hedge.unwatch(req);
  cancelOthers(req, attempt, out);
}

/** Processes the caller's disconnect: nothing more is started for the request. */
export function abandon(vm: VmState, req: RequestState, out: Effect[]): void {
  req.settled = true;
  hedge.unwatch(req);
  if (req.queue !== undefined) dequeue(req);
  cancelOthers(req, 0, out);
  if (req.running.length === 0) vm.requests.delete(req.request);
}

/** Sends late requests of a class to a second target while no requests wait and
 * the retry budget allows it. */
export function hedgeLate(
  vm: VmState,
  cls: ClassState,
  ctx: { now: number; out: Effect[] },
): void {
  for (;;) {
    const req = hedge.lateRequest(cls, ctx.now);
    if (req === undefined) return;
    hedge.unwatch(req);
    if (req.settled || req.service.waiting > 0) continue;
    if (req.attempts >= MAX_ATTEMPTS) continue;
    req.avoid = req.running[0]?.target;
    const target = chooseTarget(req.service, req, {
      distances: vm,
      ahead: 0,
      now: ctx.now,
    });
    if (target === undefined || target === req.avoid) continue;
    if (!req.service.budget.spend()) continue;
    start(vm, req, { target, kind: "hedge", ...ctx });
  }
}

function freeSlot(
  vm: VmState,
  req: RequestState,
  end: { attempt: Attempt; outcome: AttemptOutcome; now: number },
): void {
  const { target } = end.attempt;
  const { service } = req;
  const link = vm.linkTo(target);
  service.inUse--;
  req.class.inUse--;
  if (link !== undefined) link.inUse--;
  const inUse = (service.inUseBy.get(req.caller) ?? 1) - 1;
  if (inUse === 0) service.inUseBy.delete(req.caller);
  else service.inUseBy.set(req.caller, inUse);
  target.idleSince = end.now;
  if (end.outcome !== "cancelled" && end.outcome !== "failed-after-sent") {
    target.inUse--;
    return;
  }
  const oneWayMs = (link?.roundTripMs ?? 0) / 2;
  vm.lingering.push({ target, until: end.now + oneWayMs + LINGER_MS });
}

/** Updates the target's health and the usual times from an attempt. */
function recordOutcome(
  vm: VmState,
  req: RequestState,
  end: { attempt: Attempt; outcome: AttemptOutcome; now: number },
): void {
  const { attempt, now } = end;
  const { health } = attempt.target;
  switch (end.outcome) {
    case "answered": {
      const roundTripMs = vm.linkTo(attempt.target)?.roundTripMs ?? 0;
      const tookMs = Math.max(0.1, now - attempt.startedAt - roundTripMs);
      health.recordResponse(tookMs / req.class.time.mean, now);
      if (!health.slow || mostAreSlow(req.service)) {
        req.class.time.add(tookMs);
        req.service.time.add(tookMs);
      }
      vm.retryAfter.recordServed(now);
      return;
    }
    case "answered-error":
    case "failed-before-sent":
    case "failed-after-sent":
      health.recordFailure(now);
      return;
    case "refused-not-run":
      health.recordRefusal(now);
      return;
    case "leaving":
      attempt.target.leaving = true;
      req.service.recountHeld();
      return;
    case "cancelled": {
      // Its time so far is a lower bound of its full time.
      const ratioSoFar = (now - attempt.startedAt) / req.class.time.mean;
      if (ratioSoFar > health.ratio) health.recordLowerBound(ratioSoFar);
      return;
    }
  }
}

/** Whether most targets are slow. Only then do a slow target's times count as
 * usual: otherwise one slow target of four raised every expected wait of its
 * service. */
function mostAreSlow(service: ServiceState): boolean {
  let slow = 0;
  for (const { health } of service.held) if (health.slow) slow++;
  return 2 * slow > service.held.length;
}

function afterAttempt(
  vm: VmState,
  req: RequestState,
  end: {
    attempt: Attempt;
    outcome: AttemptOutcome;
    now: number;
    out: Effect[];
  },
): void {
  switch (end.outcome) {
    case "answered":
    case "answered-error":
      req.settled = true;
      cancelOthers(req, end.attempt.number, end.out);
      return;
    case "cancelled":
      if (!req.settled && req.running.length === 0) {
        req.mayHaveRun = true;
        refuse(vm, req, { reason: "attempts-failed", ...end });
      }
      return;
    case "failed-after-sent":
      req.mayHaveRun = true;
      retryOrRefuse(vm, req, { costsNoToken: false, ...end });
      return;
    case "failed-before-sent":
    case "refused-not-run":
      retryOrRefuse(vm, req, { costsNoToken: false, ...end });
      return;
    case "leaving":
      retryOrRefuse(vm, req, { costsNoToken: true, ...end });
      return;
  }
}

/** Queues a request again if it may be retried; otherwise ends it. A leaving
 * target costs no token: a drain must not use up the retry budget. */
function retryOrRefuse(
  vm: VmState,
  req: RequestState,
  end: { attempt: Attempt; costsNoToken: boolean; now: number; out: Effect[] },
): void {
  if (req.settled || req.running.length > 0) return;
  if (mayRetry(req, end)) {
    req.avoid = end.attempt.target;
    requeue(vm, req, end.now);
    return;
  }
  refuse(vm, req, { reason: "attempts-failed", now: end.now, out: end.out });
}

function mayRetry(
  req: RequestState,
  end: { costsNoToken: boolean; now: number },
): boolean {
  if (req.mayHaveRun && req.repeat === "at-most-once") return false;
  if (req.deadlineAt - end.now <= req.class.time.mean) return false;
  if (end.costsNoToken) return true;
  if (req.attempts >= MAX_ATTEMPTS) return false;
  if (req.mayHaveRun && isOverloaded(req.service, end.now)) return false;
  return req.service.budget.spend();
}

function cancelOthers(
  req: RequestState,
  winner: number,
  out: Effect[],
): void {
  for (const { number } of req.running) {
    if (number === winner) continue;
    out.push({ kind: "cancel", request: req.request, attempt: number });
  }
}
