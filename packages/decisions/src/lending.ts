/**
 * Who asks whom for how many slots, and who gets a slot that falls free.
 *
 * Answers callers that are not spread evenly over the entry VMs, with targets
 * of 3 or 6 slots shared by some ten VMs. With slots owned and never lent, a
 * request waits at one VM while a slot idles at the next; one notices waits at
 * loads where a central queue has none. So a VM with waiting requests tells its
 * peers how many wait, of which class and since when; a peer with a free slot
 * lends it at once, and a peer without one weighs the question against its own
 * queue whenever a slot falls free. The effect is that of one queue in order of
 * class and age, late by one message.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { Effect } from "./effect.ts";
import type { Asked } from "./event.ts";
import type { RequestState } from "./request_state.ts";
import type { ServiceState, StandingAsk } from "./service_state.ts";
import type { TargetState } from "./target_state.ts";

/** How long slots are lent. It bounds what a dead borrower holds back, and must
 * exceed the deadlines of requests, since none may outlive its slot's loan. */
export const LOAN_MS = 30_000;

/** A busy VM hands a slot over only if the peer's requests wait for longer than
 * its own by this much. A slot idles for some 6 ms on its way there and back
 * (1.5 ms one way between zones), so a gain must be a multiple of that: from
 * 6 ms to 30 ms the goodput at twice saturation rose by 6 % and p99 at 0.95 load
 * fell by 4 %; 60 ms gave 1 % more and moved slots too late to few callers. */
const LEAST_GAIN_MS = 30;

/** The same as a share of the own wait. Under overload everyone waits for long,
 * and slots that are handed back and forth for small differences idle on the
 * way: without this, and with waits compared by age alone, a slot changed hands
 * 2.6 times a request and a tenth of the capacity was lost (measured:
 * saturation). */
const LEAST_GAIN_SHARE = 0.5;

/** Shortest time between two questions about the same service: a round trip
 * between zones, within which no answer to the first one can have come. */
export const ASK_AGAIN_MS = 4;

/** A standing question is repeated after this time, and forgotten by the peer
 * after the second one, in case its withdrawal was lost. */
export const ASK_REFRESH_MS = 25;
const ASK_EXPIRES_MS = 100;

/** A borrowed slot that idles this long goes back unasked. */
export const IDLE_MS = 50;

/** Share of its slots that a VM keeps free of loans into other regions: a slot
 * lent there is away for a round trip even when it is wanted back. */
const KEEP_FROM_AFAR = 0.25;

/** A VM whose requests kept more than this share of its slots busy over the
 * last seconds has none to spare, whatever is free at the moment. A slot lent
 * over 110 ms is away for three usual requests: without this, at 0.95 load,
 * regions took each other's last slots, and the docket's p99 rose from 491 ms to
 * 634 ms. */
const BUSY_SHARE = 0.85;

/** The least kept: a VM of few slots has most of them free now and then, also
 * at 0.95 load, when its region has none to spare. */
const LEAST_KEPT_FROM_AFAR = 2;

/** Every rank is at most this. */
const LAST_RANK = Number.POSITIVE_INFINITY;

/** Notes a peer's question, in place of its earlier one. */
export function noteAsk(
  service: ServiceState,
  ask: Asked,
  now: number,
): void {
  if (ask.slots <= 0) {
    service.asks.delete(ask.from);
    return;
  }
  service.asks.set(ask.from, {
    from: ask.from,
    region: ask.region,
    slots: ask.slots,
    rank: ask.rank,
    rankWaitMs: ask.rankWaitMs,
    waitMs: ask.waitMs,
    expiresAt: now + ASK_EXPIRES_MS,
  });
}

/** Whether every neighbour asks for slots itself: only then is the region short.
 * Asked afar in one VM's bad moment, slots of other regions were away for a
 * round trip each while a neighbour's came sooner: a tenth of the slots went
 * into way at 0.8 load, and p99 doubled (sales of Kinolenta). */
export function allAsk(
  service: ServiceState,
  neighbours: readonly VmId[],
  now: number,
): boolean {
  return neighbours.every((vm) => {
    const ask = service.asks.get(vm);
    return ask !== undefined && ask.expiresAt > now;
  });
}

/** The question that goes first: best class, then longest wait of it. */
export function firstAsk(
  service: ServiceState,
  now: number,
): StandingAsk | undefined {
  let first: StandingAsk | undefined;
  for (const ask of service.asks.values()) {
    if (ask.expiresAt <= now) {
      service.asks.delete(ask.from);
      continue;
    }
    if (first === undefined || goesBefore(ask, first)) first = ask;
  }
  return first;
}

function goesBefore(a: StandingAsk, b: StandingAsk): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank;
  return a.rankWaitMs > b.rankWaitMs;
}

/** Whether a peer's question goes before this VM's own waiting requests: it
 * waits for much longer with its best class, or with all of them while none of
 * a better class waits here. A caller that holds its share already goes after
 * every peer: without this one caller's VM drew in the slots of the whole
 * region, and the callers of other VMs waited as long as that one. */
export function peerGoesFirst(
  service: ServiceState,
  ask: StandingAsk,
  own: RequestState,
): boolean {
  if (service.isOverShare(own.caller)) return true;
  const ownRankWait = service.workMs(service.waitingTo(ask.rank));
  if (isMuchLonger(ask.rankWaitMs, ownRankWait)) return true;
  if (own.class.policy.rank < ask.rank) return false;
  return isMuchLonger(ask.waitMs, service.workMs(service.waitingTo(LAST_RANK)));
}

function isMuchLonger(theirs: number, own: number): boolean {
  return theirs > own * (1 + LEAST_GAIN_SHARE) + LEAST_GAIN_MS;
}

/** One slot was handed over for a question: as much less waits there. */
export function granted(service: ServiceState, ask: StandingAsk): void {
  const left = (ask.slots - 1) / ask.slots;
  ask.rankWaitMs *= left;
  ask.waitMs *= left;
  ask.slots--;
  if (ask.slots === 0) service.asks.delete(ask.from);
}

/** A target with a slot to hand over for a question: one borrowed from the
 * asker first, which is its own. */
export function slotFor(
  service: ServiceState,
  ask: StandingAsk,
  ctx: { afar: boolean; mostFail: boolean; now: number },
): TargetState | undefined {
  if (ctx.afar && !hasPlenty(service)) return undefined;
  let found: TargetState | undefined;
  for (const target of service.held) {
    if (target.region !== ask.region || target.free <= 0) continue;
    if (owes(target, ask.from)) return target;
    if (target.freeOwned <= 0 || target.belief.slow) continue;
    if (target.belief.standing(ctx.now, ctx.mostFail) !== "usable") continue;
    found ??= target;
  }
  return found;
}

/** Whether slots of this target are borrowed from that VM. */
export function owes(target: TargetState, to: VmId): boolean {
  return target.loans.some((loan) => loan.from === to && loan.slots > 0);
}

/** A target with a free borrowed slot. */
export function idleBorrowed(service: ServiceState): TargetState | undefined {
  return service.held.find((target) => target.freeBorrowed > 0);
}

/** Hands one slot over: lends an owned one, gives a borrowed one back. */
export function handOver(
  target: TargetState,
  to: VmId,
  out: Effect[],
): void {
  const loan = target.loans.find((loan) => loan.from === to && loan.slots > 0);
  if (loan !== undefined) {
    takeFromLoan(target, loan);
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

/** Gives one idle borrowed slot back to whom it belongs. */
export function giveBackOne(target: TargetState, out: Effect[]): void {
  const loan = target.loans.find((loan) => loan.slots > 0);
  if (loan === undefined) return;
  takeFromLoan(target, loan);
  out.push({
    kind: "give-back",
    to: loan.from,
    target: target.id,
    slots: 1,
  });
}

function takeFromLoan(target: TargetState, loan: TargetState["loans"][number]) {
  loan.slots--;
  target.borrowed--;
  if (loan.slots > 0) return;
  target.loans.splice(target.loans.indexOf(loan), 1);
}

/** Drops loans whose time has come. Returns whether there were any. */
export function dropEndedLoans(target: TargetState, now: number): boolean {
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

/** The next request in turn. */
function headOf(service: ServiceState): RequestState | undefined {
  for (const cls of service.classes) {
    const head = cls.waiting.peek();
    if (head !== undefined) return head;
  }
  return undefined;
}

/** One question, addressed. */
export function askEffect(
  service: ServiceState,
  to: { vm: VmId; region: RegionId },
  slots: number,
): Effect {
  const rank = headOf(service)?.class.policy.rank ?? 0;
  return {
    kind: "ask",
    to: to.vm,
    service: service.id,
    region: to.region,
    slots,
    rank,
    rankWaitMs: service.workMs(service.waitingTo(rank)),
    waitMs: service.workMs(service.waitingTo(LAST_RANK)),
  };
}

function hasPlenty(service: ServiceState): boolean {
  if (service.waiting > 0) return false;
  const free = service.heldSlots - service.inUse;
  if (service.demand > BUSY_SHARE * service.heldSlots) return false;
  const kept = Math.ceil(service.heldSlots * KEEP_FROM_AFAR);
  return free > Math.max(LEAST_KEPT_FROM_AFAR, kept);
}
