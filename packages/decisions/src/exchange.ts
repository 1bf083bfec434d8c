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
import { mostLookDead } from "./placement.ts";
import { ASK_AFAR_AGAIN_MS, wantedAfar } from "./remote.ts";
import { nextInTurn, startNext } from "./requests.ts";
import type { ServiceState, StandingAsk } from "./service_state.ts";
import type { VmState } from "./vm_state.ts";

/** Slots that any caller may hold, however small its share. With fewer, two
 * concurrent requests of one caller could already exceed its share. */
const LEAST_CALLER_LIMIT = 3;

/** Assigns the free slots of a service, and requests missing ones from other
 * VMs. */
export function settle(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): void {
  service.measure(ctx.now);
  const share = vm.policy.callerShare * service.heldSlots;
  service.callerLimit = Math.max(LEAST_CALLER_LIMIT, Math.ceil(share));
  while (handOutOne(vm, service, ctx));
  askNeighbours(vm, service, ctx);
  askAfar(vm, service, ctx);
}

/** Adds slots that another VM lent. */
export function borrowed(
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
export function loanEnded(
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
    const away = 2 * (vm.linkTo(target)?.roundTripMs ?? 0);
    const idle = !target.open ||
      ctx.now - target.idleSince >= lending.IDLE_MS + away;
    if (!idle) continue;
    const service = vm.services.get(target.service)!;
    while (target.freeBorrowed > 0) {
      lending.giveBackOne(target, ctx.out);
      service.changeHeld(target, -1);
    }
  }
}

function handOutOne(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): boolean {
  const own = nextInTurn(service);
  const ask = service.asks.size === 0
    ? undefined
    : lending.firstAsk(service, ctx.now);
  if (ask !== undefined) {
    const peerFirst = own === undefined ||
      lending.peerGoesFirst(service, ask, own);
    if (peerFirst && handToPeer(vm, service, { ask, ...ctx })) return true;
  }
  return own !== undefined && startNext(vm, own, ctx);
}

function handToPeer(
  vm: VmState,
  service: ServiceState,
  ctx: { ask: StandingAsk; now: number; out: Effect[] },
): boolean {
  const { ask, now, out } = ctx;
  const afar = !vm.neighbours.includes(ask.from);
  const mostFail = mostLookDead(service);
  const target = lending.slotFor(service, ask, { afar, mostFail, now });
  if (target !== undefined) lending.handOver(target, ask.from, out);
  else if (afar || !returnForPeer(service, out)) return false;
  else {
    lending.granted(service, ask);
    return true;
  }
  service.changeHeld(target, -1);
  lending.granted(service, ask);
  return true;
}

/** Returns an idle borrowed slot for a peer that waits. A borrowed slot can't
 * be lent on; its owner, once it has it back, lends it to that peer. Kept until
 * its idle time ended, about two thirds of a slot per region idled while peers
 * waited. */
function returnForPeer(service: ServiceState, out: Effect[]): boolean {
  if (service.waiting > 0) return false;
  const target = lending.idleBorrowed(service);
  if (target === undefined) return false;
  lending.giveBackOne(target, out);
  service.changeHeld(target, -1);
  return true;
}

function askNeighbours(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): void {
  const { asked } = service;
  const slots = service.waiting;
  if (slots === 0 && asked.slots === 0) return;
  if (slots > 0 && ctx.now < askDueAt(service)) return;
  asked.slots = slots;
  asked.at = ctx.now;
  for (const peer of vm.neighbours) {
    const to = { vm: peer, region: vm.region };
    ctx.out.push(lending.askEffect(service, to, slots));
  }
}

/** Time at which the next slot request for a service may be sent, or is due. */
export function askDueAt(service: ServiceState): number {
  const { asked } = service;
  const wait = service.waiting > asked.slots
    ? lending.ASK_AGAIN_MS
    : lending.ASK_REFRESH_MS;
  return asked.at + wait;
}

function askAfar(
  vm: VmState,
  service: ServiceState,
  ctx: { now: number; out: Effect[] },
): void {
  const { askedAfar } = service;
  if (service.waiting === 0 && askedAfar.slots === 0) return;
  if (ctx.now - askedAfar.at < ASK_AFAR_AGAIN_MS) return;
  if (!lending.allAsk(service, vm.neighbours, ctx.now)) return;
  askedAfar.at = ctx.now;
  askedAfar.slots = 0;
  const hasOwn = service.held.some(({ region }) => region === vm.region);
  for (const link of vm.links.values()) {
    if (vm.lost.has(link.to)) continue;
    const slots = wantedAfar(service, link, hasOwn);
    const peer = pick(vm.afar.get(link.to), ctx.now);
    if (slots === 0 || peer === undefined) continue;
    askedAfar.slots = slots;
    const to = { vm: peer, region: link.to };
    ctx.out.push(lending.askEffect(service, to, slots));
    return;
  }
}

/** Chooses one VM, rotating over time. */
function pick(vms: readonly VmId[] | undefined, now: number) {
  if (vms === undefined || vms.length === 0) return undefined;
  return vms[Math.floor(now / ASK_AFAR_AGAIN_MS) % vms.length];
}
