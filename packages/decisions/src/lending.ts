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

/** Own requests go first unless the peer's has waited for longer by this much:
 * a slot idles for about that long on its way to a peer (1.5 ms one way, twice
 * with the slot's return). */
const OWN_ADVANTAGE_MS = 4;

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
    since: now - ask.waitedMs,
    expiresAt: now + ASK_EXPIRES_MS,
  });
}

/** The question that goes first: best class, then longest wait. */
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
  return a.since < b.since;
}

/** Whether a peer's question goes before this VM's own next request. */
export function peerGoesFirst(ask: StandingAsk, own: RequestState): boolean {
  const { rank } = own.class.policy;
  if (ask.rank !== rank) return ask.rank < rank;
  return ask.since + OWN_ADVANTAGE_MS < own.arrivedAt;
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

/** A free borrowed slot whose lender, or anyone, could use it now. */
export function idleBorrowed(
  service: ServiceState,
  ready: (target: TargetState) => boolean,
): TargetState | undefined {
  return service.held.find((target) =>
    target.freeBorrowed > 0 && ready(target)
  );
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

/** The next request in turn and its class, for a question to peers. */
export function headOf(service: ServiceState): RequestState | undefined {
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
  question: { slots: number; head: RequestState | undefined; now: number },
): Effect {
  const { slots, head, now } = question;
  return {
    kind: "ask",
    to: to.vm,
    service: service.id,
    region: to.region,
    slots,
    rank: head?.class.policy.rank ?? 0,
    waitedMs: head === undefined ? 0 : now - head.arrivedAt,
  };
}

function hasPlenty(service: ServiceState): boolean {
  if (service.waiting > 0) return false;
  const free = service.heldSlots - service.inUse;
  return free > Math.ceil(service.heldSlots * KEEP_FROM_AFAR);
}
