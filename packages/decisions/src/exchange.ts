/**
 * Assigns free slots to the request with the highest priority, local or of
 * another VM, and requests slots from other VMs while local requests wait.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Effect } from "./effect.ts";
import type { Borrowed, LoanEnded } from "./event.ts";
import * as lending from "./lending.ts";
import { mostAreFailing } from "./placement.ts";
import { MIN_REMOTE_REQUEST_INTERVAL_MS, slotsWantedOver } from "./remote.ts";
import { nextWaiting, startNext } from "./requests.ts";
import type { PendingSlotRequest, ServiceState } from "./service_state.ts";
import type { VmState } from "./vm_state.ts";

/** Slots that any caller may hold, however small its share. With fewer, two
 * concurrent requests of one caller could already exceed its share. */
const MIN_CALLER_SLOTS = 3;

/** Assigns the free slots of a service, and requests missing ones from other
 * VMs. */
export function assignSlots(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): void {
  service.updateDemand(ctx.now);
  const share = vm.policy.callerShare * service.heldSlots;
  service.callerLimit = Math.max(MIN_CALLER_SLOTS, Math.ceil(share));
  while (assignOne(vm, service, ctx));
  requestFromNeighbours(vm, service, ctx);
  requestFromOtherRegions(vm, service, ctx);
}

/** Adds slots that another VM lent. */
export function addLoan(
  vm: VmState,
  event: Borrowed,
  ctx: { now: number; out: Effect[] },
): ServiceState | undefined {
  const target = vm.targets.get(event.target);
  if (target === undefined || !target.open) {
    const { from: to, target, slots } = event;
    ctx.out.push({ kind: "give-back", to, target, slots });
    return undefined;
  }
  const endsAt = ctx.now + event.durationMs;
  target.loans.push({ from: event.from, slots: event.slots, endsAt });
  target.borrowed += event.slots;
  target.idleSince = ctx.now;
  const service = vm.services.get(target.service)!;
  service.changeHeld(target, event.slots);
  return service;
}

/** Takes back slots that this VM had lent. */
export function endLoan(
  vm: VmState,
  event: LoanEnded,
): ServiceState | undefined {
  const target = vm.targets.get(event.target);
  if (target === undefined) return undefined;
  const slots = Math.min(event.slots, target.lent);
  target.lent -= slots;
  const service = vm.services.get(target.service)!;
  service.changeHeld(target, slots);
  return service;
}

/** Returns borrowed slots that have been idle too long or whose target takes no
 * new work. */
export function returnIdle(
  vm: VmState,
  ctx: { now: number; out: Effect[] },
): void {
  for (const target of vm.targets.values()) {
    if (target.loans.length === 0) continue;
    // Slots in another region are kept longer, by the round trip that
    // requesting them again would take.
    const extraIdleMs = 2 * (vm.linkTo(target)?.roundTripMs ?? 0);
    const isIdle = !target.open ||
      ctx.now - target.idleSince >= lending.MAX_BORROWED_IDLE_MS + extraIdleMs;
    if (!isIdle) continue;
    const service = vm.services.get(target.service)!;
    while (target.freeBorrowed > 0) {
      lending.returnOne(target, ctx.out);
      service.changeHeld(target, -1);
    }
  }
}

function assignOne(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): boolean {
  const local = nextWaiting(service);
  const slotRequest = service.slotRequests.size === 0
    ? undefined
    : lending.firstSlotRequest(service, ctx.now);
  if (slotRequest !== undefined) {
    const forPeer = local === undefined ||
      lending.peerHasPriority(service, slotRequest, local);
    if (forPeer && handOver(vm, service, { slotRequest, ...ctx })) return true;
  }
  return local !== undefined && startNext(vm, local, ctx);
}

function handOver(
  vm: VmState,
  service: ServiceState,
  ctx: { slotRequest: PendingSlotRequest; now: number; out: Effect[] },
): boolean {
  const { slotRequest, now, out } = ctx;
  const isRemote = !vm.neighbours.includes(slotRequest.from);
  const mostFailing = mostAreFailing(service);
  const target = lending.targetWithSlotFor(service, slotRequest, {
    isRemote,
    mostFailing,
    now,
  });
  if (target !== undefined) lending.handOverOne(target, slotRequest.from, out);
  else if (isRemote || !returnForPeer(service, out)) return false;
  else {
    lending.reduceRequest(service, slotRequest);
    return true;
  }
  service.changeHeld(target, -1);
  lending.reduceRequest(service, slotRequest);
  return true;
}

/** Returns an idle borrowed slot for a peer that waits. A borrowed slot can't
 * be lent on; its owner, once it has it back, lends it to that peer. If such
 * slots were kept until their idle time ended, about two thirds of a slot per
 * region would idle while peers wait. */
function returnForPeer(service: ServiceState, out: Effect[]): boolean {
  if (service.waiting > 0) return false;
  const target = lending.targetWithIdleLoan(service);
  if (target === undefined) return false;
  lending.returnOne(target, out);
  service.changeHeld(target, -1);
  return true;
}

function requestFromNeighbours(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): void {
  const { requestedNearby } = service;
  const slots = service.waiting;
  if (slots === 0 && requestedNearby.slots === 0) return;
  if (slots > 0 && ctx.now < slotRequestDueAt(service)) return;
  requestedNearby.slots = slots;
  requestedNearby.at = ctx.now;
  for (const peer of vm.neighbours) {
    const to = { vm: peer, region: vm.region };
    ctx.out.push(lending.slotRequestEffect(service, to, slots));
  }
}

/** Time at which the next slot request for a service may be sent, or is due. */
export function slotRequestDueAt(service: ServiceState): number {
  const { requestedNearby } = service;
  const wait = service.waiting > requestedNearby.slots
    ? lending.MIN_REQUEST_INTERVAL_MS
    : lending.REQUEST_REFRESH_MS;
  return requestedNearby.at + wait;
}

function requestFromOtherRegions(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): void {
  const { requestedRemotely } = service;
  if (service.waiting === 0 && requestedRemotely.slots === 0) return;
  if (ctx.now - requestedRemotely.at < MIN_REMOTE_REQUEST_INTERVAL_MS) return;
  if (!lending.allRequestSlots(service, vm.neighbours, ctx.now)) return;
  requestedRemotely.at = ctx.now;
  requestedRemotely.slots = 0;
  const hasLocalSlots = service.held.some(({ region }) => region === vm.region);
  for (const link of vm.links.values()) {
    if (vm.lostRegions.has(link.to)) continue;
    const slots = slotsWantedOver(service, link, hasLocalSlots);
    const peer = pickRotating(vm.remote.get(link.to), ctx.now);
    if (slots === 0 || peer === undefined) continue;
    requestedRemotely.slots = slots;
    const to = { vm: peer, region: link.to };
    ctx.out.push(lending.slotRequestEffect(service, to, slots));
    return;
  }
}

/** Chooses one VM, rotating over time. */
function pickRotating(vms: readonly VmId[] | undefined, now: number) {
  if (vms === undefined || vms.length === 0) return undefined;
  return vms[Math.floor(now / MIN_REMOTE_REQUEST_INTERVAL_MS) % vms.length];
}
