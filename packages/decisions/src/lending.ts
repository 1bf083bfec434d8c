/**
 * Slot requests between VMs, and the choice of who gets a slot that becomes
 * free.
 *
 * Callers are not spread evenly over the entry VMs, and targets of 3 or 6 slots
 * are shared by about ten VMs. If owned slots were never lent, a request would
 * wait at one VM while a slot idles at the next, at loads where a central queue
 * has no waits. So a VM with waiting requests tells its peers how many wait, of
 * which class and for how long. A peer with a free slot lends it at once; a
 * peer without one compares the slot request with its own queue whenever a slot
 * becomes free. This approximates a single queue ordered by class and age,
 * delayed by one message.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { Effect } from "./effect.ts";
import type { SlotsRequested } from "./event.ts";
import type { RequestState } from "./request_state.ts";
import type { PendingSlotRequest, ServiceState } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** Duration of a loan. It bounds how long a dead borrower can hold slots, and
 * must exceed the deadlines of requests, since none may outlive the loan of its
 * slot. */
export const LOAN_MS = 30_000;

/** A busy VM hands a slot over only if the peer's requests wait longer than its
 * own by this much. A slot idles for about 6 ms on its way there and back (1.5
 * ms one way between zones), so the gain must be a multiple of that. From 6 ms
 * to 30 ms, goodput at twice the saturation load rose by 6 % and p99 at 0.95
 * load fell by 4 %; 60 ms gave 1 % more goodput, but slots moved too late with
 * few callers. */
const MIN_GAIN_MS = 30;

/** The same as a share of the local wait. Under overload all waits are long,
 * and slots that are passed back and forth for small differences idle on the
 * way: without this, and with waits compared by age alone, a slot moved 2.6
 * times per request and a tenth of the capacity was lost. */
const MIN_GAIN_SHARE = 0.5;

/** Minimum interval between two requests for slots of the same service: a round
 * trip between zones, within which no response to the first can have arrived. */
export const MIN_REQUEST_INTERVAL_MS = 4;

/** A pending slot request is repeated after the first time. The peer drops it
 * after the second, in case its withdrawal was lost. */
export const REQUEST_REFRESH_MS = 25;
const REQUEST_TTL_MS = 100;

/** Idle time after which a borrowed slot is returned without a request. */
export const MAX_BORROWED_IDLE_MS = 50;

/** Share of its slots that a VM keeps free of loans into other regions: such a
 * slot is away for a round trip even when it is needed locally. */
const LOCAL_ONLY_SHARE = 0.25;

/** A VM whose requests occupied more than this share of its slots over the last
 * seconds lends none into other regions, even if some are free at the moment. A
 * slot lent over 110 ms is away for about three usual requests: without this
 * limit, at 0.95 load, regions took each other's last slots, and p99 of a
 * service rose from 491 ms to 634 ms. */
const BUSY_SHARE = 0.85;

/** Minimum number kept free: at 0.95 load a VM with few slots also has most of
 * them free at times, although its region has none to spare. */
const MIN_LOCAL_ONLY_SLOTS = 2;

/** Limit that includes requests of every rank. */
const ANY_RANK = Number.POSITIVE_INFINITY;

/** Stores a peer's slot request, replacing its earlier one. */
export function storeSlotRequest(
  service: ServiceState,
  slotRequest: SlotsRequested,
  now: number,
): void {
  if (slotRequest.slots <= 0) {
    service.slotRequests.delete(slotRequest.from);
    return;
  }
  service.slotRequests.set(slotRequest.from, {
    from: slotRequest.from,
    region: slotRequest.region,
    slots: slotRequest.slots,
    rank: slotRequest.rank,
    rankWaitMs: slotRequest.rankWaitMs,
    waitMs: slotRequest.waitMs,
    expiresAt: now + REQUEST_TTL_MS,
  });
}

/** Whether all neighbours request slots too: only then is the region short of
 * slots. When one VM's momentary shortage was enough, slots of other regions
 * were away for a round trip each although a neighbour's would have come
 * sooner: at 0.8 load a tenth of the slots was in transit, and p99 doubled. */
export function allRequestSlots(
  service: ServiceState,
  neighbours: readonly VmId[],
  now: number,
): boolean {
  return neighbours.every((vm) => {
    const slotRequest = service.slotRequests.get(vm);
    return slotRequest !== undefined && slotRequest.expiresAt > now;
  });
}

/** The slot request with the highest priority: best class, then longest wait of
 * that class. */
export function firstSlotRequest(
  service: ServiceState,
  now: number,
): PendingSlotRequest | undefined {
  let first: PendingSlotRequest | undefined;
  for (const entry of service.slotRequests.values()) {
    if (entry.expiresAt <= now) {
      service.slotRequests.delete(entry.from);
      continue;
    }
    if (first === undefined || precedes(entry, first)) first = entry;
  }
  return first;
}

function precedes(
  a: PendingSlotRequest,
  b: PendingSlotRequest,
): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank;
  return a.rankWaitMs > b.rankWaitMs;
}

/** Whether a peer's slot request has priority over this VM's own waiting
 * requests: its best class waits much longer there, or all its requests do
 * while no better class waits here. Local requests of a caller that holds its
 * full share come after every peer; otherwise that caller's VM would draw in
 * the slots of the whole region, and the callers of other VMs would wait as
 * long as that caller. */
export function peerHasPriority(
  service: ServiceState,
  slotRequest: PendingSlotRequest,
  local: RequestState,
): boolean {
  if (service.isOverShare(local.caller)) return true;
  const localRankWaitMs = service.workMs(service.waitingTo(slotRequest.rank));
  if (isMuchLonger(slotRequest.rankWaitMs, localRankWaitMs)) return true;
  if (local.class.policy.rank < slotRequest.rank) return false;
  return isMuchLonger(
    slotRequest.waitMs,
    service.workMs(service.waitingTo(ANY_RANK)),
  );
}

function isMuchLonger(peerMs: number, localMs: number): boolean {
  return peerMs > localMs * (1 + MIN_GAIN_SHARE) + MIN_GAIN_MS;
}

/** Reduces a peer's slot request by one granted slot, and its waits in
 * proportion. */
export function reduceRequest(
  service: ServiceState,
  slotRequest: PendingSlotRequest,
): void {
  const remainingShare = (slotRequest.slots - 1) / slotRequest.slots;
  slotRequest.rankWaitMs *= remainingShare;
  slotRequest.waitMs *= remainingShare;
  slotRequest.slots--;
  if (slotRequest.slots === 0) service.slotRequests.delete(slotRequest.from);
}

/** A target with a slot to hand over for a slot request. Slots borrowed from
 * the requesting VM come first. */
export function targetWithSlotFor(
  service: ServiceState,
  slotRequest: PendingSlotRequest,
  ctx: { isRemote: boolean; mostFailing: boolean; now: number },
): TargetState | undefined {
  if (ctx.isRemote && !canSpareSlots(service)) return undefined;
  let found: TargetState | undefined;
  for (const target of service.held) {
    if (target.region !== slotRequest.region || target.free <= 0) continue;
    if (hasBorrowedFrom(target, slotRequest.from)) return target;
    if (target.freeOwned <= 0 || target.health.slow) continue;
    if (target.health.stateAt(ctx.now, ctx.mostFailing) !== "usable") continue;
    found ??= target;
  }
  return found;
}

/** Whether slots of this target are borrowed from that VM. */
export function hasBorrowedFrom(target: TargetState, lender: VmId): boolean {
  return target.loans.some((loan) => loan.from === lender && loan.slots > 0);
}

/** A target with a free borrowed slot. */
export function targetWithIdleLoan(
  service: ServiceState,
): TargetState | undefined {
  return service.held.find((target) => target.freeBorrowed > 0);
}

/** Hands one slot over: lends an owned one, or returns a borrowed one. */
export function handOverOne(
  target: TargetState,
  to: VmId,
  out: Effect[],
): void {
  const loan = target.loans.find((loan) => loan.from === to && loan.slots > 0);
  if (loan !== undefined) {
    reduceLoan(target, loan);
    out.push({ kind: "give-back", to, target: target.id, slots: 1 });
    return;
  }
  target.lent++;
  out.push({
    kind: "lend",
    to,
    target: target.id,
    slots: 1,
    durationMs: LOAN_MS,
  });
}

/** Returns one borrowed slot to its owner. */
export function returnOne(target: TargetState, out: Effect[]): void {
  const loan = target.loans.find((loan) => loan.slots > 0);
  if (loan === undefined) return;
  reduceLoan(target, loan);
  out.push({
    kind: "give-back",
    to: loan.from,
    target: target.id,
    slots: 1,
  });
}

function reduceLoan(target: TargetState, loan: TargetState["loans"][number]) {
  loan.slots--;
  target.borrowed--;
  if (loan.slots > 0) return;
  target.loans.splice(target.loans.indexOf(loan), 1);
}

/** Drops expired loans. Returns whether there were any. */
export function dropExpiredLoans(target: TargetState, now: number): boolean {
  let dropped = false;
  for (let i = target.loans.length - 1; i >= 0; i--) {
    const loan = target.loans[i]!;
    if (loan.endsAt > now) continue;
    target.borrowed -= loan.slots;
    target.loans.splice(i, 1);
    dropped = true;
  }
  return dropped;
}

/** The next waiting request of the best class. */
function firstWaiting(service: ServiceState): RequestState | undefined {
  for (const cls of service.classes) {
    const head = cls.waiting.peek();
    if (head !== undefined) return head;
  }
  return undefined;
}

/** The effect that sends a slot request to one VM. */
export function slotRequestEffect(
  service: ServiceState,
  to: { vm: VmId; region: RegionId },
  slots: number,
): Effect {
  const rank = firstWaiting(service)?.class.policy.rank ?? 0;
  return {
    kind: "ask",
    to: to.vm,
    service: service.id,
    region: to.region,
    slots,
    rank,
    rankWaitMs: service.workMs(service.waitingTo(rank)),
    waitMs: service.workMs(service.waitingTo(ANY_RANK)),
  };
}

function canSpareSlots(service: ServiceState): boolean {
  if (service.waiting > 0) return false;
  const free = service.heldSlots - service.inUse;
  if (service.demand > BUSY_SHARE * service.heldSlots) return false;
  const reserved = Math.ceil(service.heldSlots * LOCAL_ONLY_SHARE);
  return free > Math.max(MIN_LOCAL_ONLY_SLOTS, reserved);
}
