/**
 * The path of a request up to its dispatch: admission, waiting, start.
 *
 * @module
 */

import { admit } from "./admission.ts";
import type { Effect, RefuseReason } from "./effect.ts";
import type { Arrive } from "./event.ts";
import * as hedge from "./hedge.ts";
import { chooseTarget } from "./placement.ts";
import type { RequestState } from "./request_state.ts";
import type { ClassState, ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";
import type { VmState } from "./vm_state.ts";

/** Callers skipped in one search because they hold their full share of slots. */
const MAX_SKIPPED_CALLERS = 8;

/** Starts, queues or refuses a new request. */
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
  if (startImmediately(vm, req, ctx)) return undefined;
  const admission = admit(service, req, now);
  switch (admission.kind) {
    case "refuse":
      refuseArrival(vm, event, { reason: "overload", now, out });
      return undefined;
    case "replace":
      refuseFromLongestQueue(vm, cls, ctx);
      enqueue(vm, req, { giveUpAt: admission.giveUpAt });
      return service;
    case "wait":
      enqueue(vm, req, { giveUpAt: admission.giveUpAt });
      return service;
  }
}

/** Starts the next waiting request if a suitable slot is free. */
export function startNext(
  vm: VmState,
  req: RequestState,
  ctx: { now: number; out: Effect[] },
): boolean {
  const { service } = req;
  const target = chooseTarget(service, req, {
    distances: vm,
    ahead: Math.max(0, countedWaiting(req) - 1),
    now: ctx.now,
  });
  if (target === undefined) return false;
  req.class.waiting.recordWait(ctx.now - req.arrivedAt, ctx.now);
  dequeue(req);
  start(vm, req, { target, kind: "dispatch", ...ctx });
  return true;
}

/** Requests that count towards a request's expected wait. Requests of a caller
 * over its share don't count for others: its backlog is no reason to send their
 * requests to distant targets. */
function countedWaiting(req: RequestState): number {
  const { service } = req;
  return service.isOverShare(req.caller)
    ? service.waiting
    : service.waitingTo(Number.POSITIVE_INFINITY);
}

/**
 * The waiting request to serve next, if its class may take a slot: the first of
 * the best class, but callers that hold their full share come after all others,
 * whatever their class. Otherwise one caller's requests of a high class could
 * starve all other callers' requests of the next class.
 */
export function nextWaiting(
  service: ServiceState,
): RequestState | undefined {
  let overShare: RequestState | undefined;
  for (const cls of service.classes) {
    if (cls.waiting.size === 0) continue;
    if (!mayTakeSlot(service, cls)) break;
    const head = headOfNextCaller(service, cls);
    if (!service.isOverShare(head.caller)) return head;
    overShare ??= head;
  }
  return overShare;
}

/** Refuses a waiting request whose maximum wait has passed. */
export function giveUp(
  vm: VmState,
  req: RequestState,
  ctx: { now: number; out: Effect[] },
): void {
  dequeue(req);
  refuse(vm, req, { reason: "waited-too-long", ...ctx });
}

/** Whether a class may take one more slot, given the slots reserved for better
 * classes. */
export function mayTakeSlot(service: ServiceState, cls: ClassState): boolean {
  if (cls.reservedAbove === 0) return true;
  const reserved = Math.round(cls.reservedAbove * service.heldSlots);
  if (reserved === 0) return true;
  let inUse = 0;
  for (let i = cls.index; i < service.classes.length; i++) {
    inUse += service.classes[i]!.inUse;
  }
  return inUse < service.heldSlots - reserved;
}

function startImmediately(
  vm: VmState,
  req: RequestState,
  ctx: { now: number; out: Effect[] },
): boolean {
  const { service } = req;
  if (service.heldSlots <= service.inUse) return false;
  if (service.waiting > 0) return false;
  if (!mayTakeSlot(service, req.class)) return false;
  const target = chooseTarget(service, req, {
    distances: vm,
    ahead: 0,
    now: ctx.now,
  });
  if (target === undefined) return false;
  vm.requests.set(req.request, req);
  start(vm, req, { target, kind: "dispatch", ...ctx });
  return true;
}

/** The first request of the first caller below its share, among the first few
 * callers in rotation. */
function headOfNextCaller(
  service: ServiceState,
  cls: ClassState,
): RequestState {
  const queue = cls.waiting;
  const limit = Math.min(queue.callers, MAX_SKIPPED_CALLERS);
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

/** Queues a request whose attempt failed, ahead of all others of its class. */
export function requeue(
  vm: VmState,
  req: RequestState,
  now: number,
): void {
  req.giveUpAt = Math.min(
    now + req.class.policy.maxWaitMs,
    req.deadlineAt - req.class.time.mean,
  );
  req.class.waiting.pushFront(req);
  req.service.waiting++;
  vm.giveUps.push(req);
}

/** Removes a request from its queue. If it was the next one, its caller moves
 * to the end of the rotation. */
export function dequeue(req: RequestState): void {
  const queue = req.queue?.owner;
  if (queue === undefined) return;
  const isFirst = queue.peek() === req;
  queue.remove(req);
  if (isFirst && queue.sizeOf(req.caller) > 0) queue.rotate();
  req.service.waiting--;
}

/** Occupies a slot and dispatches an attempt. */
export function start(
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

/** Refuses a request: it ends without a response from a target. */
export function refuse(
  vm: VmState,
  req: RequestState,
  end: { reason: RefuseReason; now: number; out: Effect[] },
): void {
  req.settled = true;
  end.out.push({
    kind: "refuse",
    request: req.request,
    reason: end.reason,
    retryAfterMs: vm.retryAfter.nextDelayMs(end.now),
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
    retryAfterMs: vm.retryAfter.nextDelayMs(ctx.now),
    notRun: true,
  });
}

function refuseFromLongestQueue(
  vm: VmState,
  cls: ClassState,
  ctx: { now: number; out: Effect[] },
): void {
  const newest = cls.waiting.longest()?.tail;
  if (newest === undefined) return;
  dequeue(newest);
  refuse(vm, newest, { reason: "overload", ...ctx });
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
