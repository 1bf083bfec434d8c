/**
 * The life of a request: let in, waiting, running, tried again, ended.
 *
 * @module
 */

import { admit, isOverloaded } from "./admission.ts";
import type { Effect, RefuseReason } from "./effect.ts";
import type { Arrive, AttemptOutcome } from "./event.ts";
import * as hedge from "./hedge.ts";
import { place } from "./placement.ts";
import type { Attempt, RequestState } from "./request_state.ts";
import type { ClassState, ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";
import type { VmState } from "./vm_state.ts";

/** Attempts of one request. With the retry budget for all requests together,
 * this keeps a single request that breaks its targets from breaking many. */
const MOST_ATTEMPTS = 3;

/** How long a slot stays taken after its attempt broke off, beyond the way to
 * the target: within it the target learns that the connection is closed. A
 * request sent sooner could run beside the one that is being cancelled. */
const LINGER_MS = 5;

/** Callers passed over in one search because they hold their share. */
const MOST_PASSED_OVER = 8;

/** Takes a request in. */
export function arrive(
  vm: VmState,
  event: Arrive,
  ctx: { now: number; out: Effect[] },
): ServiceState | undefined {
  const { now, out } = ctx;
  const service = vm.services.get(event.service);
  const cls = service?.classes.find(({ policy }) => policy.id === event.class);
  if (service === undefined || cls === undefined) {
    refuseArrival(vm, event, { reason: "unknown-route", now, out });
    return undefined;
  }
  if (service.targets.size === 0) {
    refuseArrival(vm, event, { reason: "no-target", now, out });
    return undefined;
  }
  const req = newRequest(event, service, { class: cls, now });
  if (startAtOnce(vm, req, ctx)) return undefined;
  const admission = admit(service, req, now);
  switch (admission.kind) {
    case "refuse":
      refuseArrival(vm, event, { reason: "overload", now, out });
      return undefined;
    case "replace":
      refuseLongest(vm, cls, ctx);
      enqueue(vm, req, { giveUpAt: admission.giveUpAt });
      return service;
    case "wait":
      enqueue(vm, req, { giveUpAt: admission.giveUpAt });
      return service;
  }
}

/** Starts the next waiting request if there is a slot for it. */
export function startNext(
  vm: VmState,
  req: RequestState,
  ctx: { now: number; out: Effect[] },
): boolean {
  const { service } = req;
  const target = place(service, req, {
    distances: vm,
    ahead: Math.max(0, service.waiting - 1),
    now: ctx.now,
  });
  if (target === undefined) return false;
  req.class.waiting.served(ctx.now - req.arrivedAt, ctx.now);
  unqueue(req);
  start(vm, req, { target, kind: "dispatch", ...ctx });
  return true;
}

/**
 * The waiting request whose turn it is, if its class may take a slot: of the
 * best class, but a caller that holds its share goes after all others, of
 * whatever class. Otherwise a caller with requests of a good class could keep
 * everyone else's requests of the next class from ever being served.
 */
export function nextInTurn(
  service: ServiceState,
): RequestState | undefined {
  let overShare: RequestState | undefined;
  for (const cls of service.classes) {
    if (cls.waiting.size === 0) continue;
    if (!mayTakeSlot(service, cls)) break;
    const head = nextCaller(service, cls);
    if (!service.isOverShare(head.caller)) return head;
    overShare ??= head;
  }
  return overShare;
}

/** Ends a wait whose time has come. */
export function giveUp(
  vm: VmState,
  req: RequestState,
  ctx: { now: number; out: Effect[] },
): void {
  unqueue(req);
  finish(vm, req, { reason: "waited-too-long", ...ctx });
}

/** An attempt ended. Returns the service whose slot is free. */
export function ended(
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
  learn(vm, req, { attempt, outcome: event.outcome, now: ctx.now });
  afterAttempt(vm, req, { attempt, outcome: event.outcome, ...ctx });
  if (req.running.length === 0 && req.settled) vm.requests.delete(req.request);
}

/** The first byte of an answer came: no other attempt may answer. */
export function answering(
  req: RequestState,
  attempt: number,
  out: Effect[],
): void {
  req.settled = true;
  hedge.unwatch(req);
  cancelOthers(req, attempt, out);
}

/** The caller went away: nothing more is started for it. */
export function gone(vm: VmState, req: RequestState, out: Effect[]): void {
  req.settled = true;
  hedge.unwatch(req);
  if (req.queue !== undefined) unqueue(req);
  cancelOthers(req, 0, out);
  if (req.running.length === 0) vm.requests.delete(req.request);
}

/** Sends late requests of a class to a second target while that is cheap. */
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
    if (req.attempts >= MOST_ATTEMPTS) continue;
    req.avoid = req.running[0]?.target;
    const target = place(req.service, req, {
      distances: vm,
      ahead: 0,
      now: ctx.now,
    });
    if (target === undefined || target === req.avoid) continue;
    if (!req.service.budget.spend()) continue;
    start(vm, req, { target, kind: "hedge", ...ctx });
  }
}

/** Whether a class may take one more slot, given what is kept for better. */
export function mayTakeSlot(service: ServiceState, cls: ClassState): boolean {
  if (cls.reservedAbove === 0) return true;
  const kept = Math.round(cls.reservedAbove * service.heldSlots);
  if (kept === 0) return true;
  let inUse = 0;
  for (let i = cls.index; i < service.classes.length; i++) {
    inUse += service.classes[i]!.inUse;
  }
  return inUse < service.heldSlots - kept;
}

function startAtOnce(
  vm: VmState,
  req: RequestState,
  ctx: { now: number; out: Effect[] },
): boolean {
  const { service } = req;
  if (service.heldSlots <= service.inUse) return false;
  if (service.waiting > 0) return false;
  if (!mayTakeSlot(service, req.class)) return false;
  const target = place(service, req, { distances: vm, ahead: 0, now: ctx.now });
  if (target === undefined) return false;
  vm.requests.set(req.request, req);
  start(vm, req, { target, kind: "dispatch", ...ctx });
  return true;
}

/** The head of the first caller that is below its share, if one is near. */
function nextCaller(service: ServiceState, cls: ClassState): RequestState {
  const queue = cls.waiting;
  const limit = Math.min(queue.callers, MOST_PASSED_OVER);
  for (let i = 1; i < limit; i++) {
    const head = queue.peek()!;
    if (!service.isOverShare(head.caller)) return head;
    queue.rotate();
  }
  return queue.peek()!;
}

function enqueue(
  vm: VmState,
  req: RequestState,
  ctx: { giveUpAt: number },
): void {
  req.giveUpAt = ctx.giveUpAt;
  vm.requests.set(req.request, req);
  req.class.waiting.push(req);
  req.service.waiting++;
  vm.giveUps.push(req);
}

function enqueueAgain(vm: VmState, req: RequestState, now: number): void {
  req.giveUpAt = Math.min(
    now + req.class.policy.maxWaitMs,
    req.deadlineAt - req.class.time.mean,
  );
  req.class.waiting.pushFront(req);
  req.service.waiting++;
  vm.giveUps.push(req);
}

function unqueue(req: RequestState): void {
  const queue = req.queue?.owner;
  if (queue === undefined) return;
  const isFirst = queue.peek() === req;
  queue.remove(req);
  if (isFirst && queue.sizeOf(req.caller) > 0) queue.rotate();
  req.service.waiting--;
}

function start(
  vm: VmState,
  req: RequestState,
  ctx: {
    target: TargetState;
    kind: "dispatch" | "hedge";
    now: number;
    out: Effect[];
  },
): void {
  const { target, now } = ctx;
  const { service } = req;
  req.attempts++;
  const number = req.attempts;
  req.running.push({ number, target, startedAt: now });
  target.inUse++;
  service.inUse++;
  req.class.inUse++;
  service.inUseBy.set(req.caller, (service.inUseBy.get(req.caller) ?? 0) + 1);
  const link = vm.linkTo(target);
  if (link !== undefined) link.inUse++;
  if (number === 1) service.budget.earn(vm.policy.retryShare);
  if (req.repeat === "idempotent" && ctx.kind === "dispatch") hedge.watch(req);
  ctx.out.push({
    kind: ctx.kind,
    request: req.request,
    target: target.id,
    attempt: number,
  });
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
  const oneWay = (link?.roundTripMs ?? 0) / 2;
  vm.lingering.push({ target, until: end.now + oneWay + LINGER_MS });
}

/** What the attempt says about its target and about usual times. */
function learn(
  vm: VmState,
  req: RequestState,
  end: { attempt: Attempt; outcome: AttemptOutcome; now: number },
): void {
  const { attempt, now } = end;
  const { belief } = attempt.target;
  switch (end.outcome) {
    case "answered": {
      const way = vm.linkTo(attempt.target)?.roundTripMs ?? 0;
      const took = Math.max(0.1, now - attempt.startedAt - way);
      belief.answered(took / req.class.time.mean, now);
      req.class.time.add(took);
      req.service.time.add(took);
      vm.retryAfter.answered(now);
      return;
    }
    case "answered-error":
    case "failed-before-sent":
    case "failed-after-sent":
      belief.failed(now);
      return;
    case "refused-not-run":
      belief.refused(now);
      return;
    case "leaving":
      attempt.target.leaving = true;
      req.service.recount();
      return;
    case "cancelled": {
      // Its time so far is a lower bound of what it would have taken.
      const soFar = (now - attempt.startedAt) / req.class.time.mean;
      if (soFar > belief.ratio) belief.tookAtLeast(soFar);
      return;
    }
  }
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
        finish(vm, req, { reason: "attempts-failed", ...end });
      }
      return;
    case "failed-after-sent":
      req.mayHaveRun = true;
      tryAgain(vm, req, { free: false, ...end });
      return;
    case "failed-before-sent":
    case "refused-not-run":
      tryAgain(vm, req, { free: false, ...end });
      return;
    case "leaving":
      tryAgain(vm, req, { free: true, ...end });
      return;
  }
}

/** Queues a request again, if it may be sent again; else ends it. A target
 * that is leaving costs no token: a drain must not eat the budget. */
function tryAgain(
  vm: VmState,
  req: RequestState,
  end: { attempt: Attempt; free: boolean; now: number; out: Effect[] },
): void {
  if (req.settled || req.running.length > 0) return;
  if (mayTryAgain(req, end)) {
    req.avoid = end.attempt.target;
    enqueueAgain(vm, req, end.now);
    return;
  }
  finish(vm, req, { reason: "attempts-failed", now: end.now, out: end.out });
}

function mayTryAgain(
  req: RequestState,
  end: { free: boolean; now: number },
): boolean {
  if (req.mayHaveRun && req.repeat === "at-most-once") return false;
  if (req.deadlineAt - end.now <= req.class.time.mean) return false;
  if (end.free) return true;
  if (req.attempts >= MOST_ATTEMPTS) return false;
  if (req.mayHaveRun && isOverloaded(req.service, end.now)) return false;
  return req.service.budget.spend();
}

function finish(
  vm: VmState,
  req: RequestState,
  end: { reason: RefuseReason; now: number; out: Effect[] },
): void {
  req.settled = true;
  end.out.push({
    kind: "refuse",
    request: req.request,
    reason: end.reason,
    retryAfterMs: vm.retryAfter.refused(end.now),
    notRun: !req.mayHaveRun,
  });
  if (req.running.length === 0) vm.requests.delete(req.request);
}

function refuseArrival(
  vm: VmState,
  event: Arrive,
  ctx: { reason: RefuseReason; now: number; out: Effect[] },
): void {
  ctx.out.push({
    kind: "refuse",
    request: event.request,
    reason: ctx.reason,
    retryAfterMs: vm.retryAfter.refused(ctx.now),
    notRun: true,
  });
}

function refuseLongest(
  vm: VmState,
  cls: ClassState,
  ctx: { now: number; out: Effect[] },
): void {
  const newest = cls.waiting.longest()?.tail;
  if (newest === undefined) return;
  unqueue(newest);
  finish(vm, newest, { reason: "overload", ...ctx });
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

function newRequest(
  event: Arrive,
  service: ServiceState,
  ctx: { class: ClassState; now: number },
): RequestState {
  return {
    request: event.request,
    caller: event.caller,
    service,
    class: ctx.class,
    repeat: event.repeat,
    arrivedAt: ctx.now,
    deadlineAt: ctx.now + event.deadlineMs,
    giveUpAt: 0,
    queue: undefined,
    previous: undefined,
    next: undefined,
    running: [],
    attempts: 0,
    mayHaveRun: false,
    settled: false,
    avoid: undefined,
    hedgePrevious: undefined,
    hedgeNext: undefined,
  };
}
