/**
 * Exchanges messages with other VMs to lend and borrow slots.
 *
 * The lender lowers its own count before it sends the grant, and uses the slots
 * again only when they were returned or the loan has expired by its clock. The
 * borrower takes as the start of the loan, on its own clock, the earliest time
 * possible: when it sent its request, plus the time that the lender had the
 * request. A delayed message therefore shortens the loan and never lengthens it.
 *
 * @module
 */

import type {
  Lend,
  ReturnSlots,
  SlotRequest,
  SteeringEvent,
} from "@poplarthread/decisions";
import type { InstanceId, TargetId, VmId } from "@poplarthread/ids";
import type { PeerId, SlotMessage } from "./peers/messages.ts";
import { Task } from "./task.ts";

/** Messages of the task. */
export type SlotLoansMessage =
  | {
    readonly kind: "effect";
    readonly effect: SlotRequest | Lend | ReturnSlots;
  }
  | {
    readonly kind: "peer";
    readonly from: PeerId;
    readonly message: SlotMessage;
  }
  /** This VM stops: it returns all borrowed slots at once. */
  | { readonly kind: "return-all" }
  | { readonly kind: "tick" };

/** Options of {@link SlotLoans}. */
export interface SlotLoansOptions {
  readonly instance: InstanceId;
  readonly send: (to: VmId, message: SlotMessage) => void;
  readonly steer: (event: SteeringEvent) => void;
}

/** Share of a loan's duration by which the borrower ends it early. Clocks that are not
 * stepped drift by less than 0.05%, so 1% is ample. */
const CLOCK_DRIFT_MARGIN = 0.01;
const TICK_MS = 100;
/** Sent requests remembered per VM; a grant for an older one is useless. */
const MAX_ASKS_PER_PEER = 64;

interface LentSlots {
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
  readonly endsAt: number;
}

interface BorrowedSlots {
  readonly from: PeerId;
  readonly target: TargetId;
  slots: number;
  readonly endsAt: number;
}

interface ReceivedAsk {
  readonly question: string;
  readonly receivedAt: number;
}

/** Owns the loans that this VM has granted and received. */
export class SlotLoans extends Task<SlotLoansMessage> {
  readonly #options: SlotLoansOptions;
  readonly #lent = new Map<string, LentSlots>();
  readonly #borrowed = new Map<string, BorrowedSlots>();
  /** When each request for slots was sent. */
  readonly #sentAsks = new Map<string, number>();
  /** The last request received from each VM. */
  readonly #receivedAsks = new Map<VmId, ReceivedAsk>();
  #askCount = 0;
  #loanCount = 0;

  constructor(options: SlotLoansOptions) {
    super("slot-loans");
    this.#options = options;
  }

  /** Instances that have lent slots to this VM. */
  get lenders(): readonly InstanceId[] {
    const lenders = [...this.#borrowed.values()].map(({ from }) =>
      from.instance
    );
    return [...new Set(lenders)];
  }

  protected override open(): void {
    this.sendEvery(TICK_MS, { kind: "tick" });
  }

  protected override receive(message: SlotLoansMessage): void {
    const now = performance.now();
    switch (message.kind) {
      case "effect":
        this.#perform(message.effect, now);
        return;
      case "peer":
        this.#receiveFromPeer(message.from, message.message, now);
        return;
      case "return-all":
        for (const [loan, { from }] of this.#borrowed) {
          this.#options.send(from.vm, { kind: "give-back", loan });
        }
        this.#borrowed.clear();
        return;
      case "tick":
        this.#expire(now);
        return;
    }
  }

  protected override close(): void {}

  #perform(effect: SlotRequest | Lend | ReturnSlots, now: number): void {
    switch (effect.kind) {
      case "ask":
        this.#ask(effect, now);
        return;
      case "lend":
        this.#lend(effect, now);
        return;
      case "give-back":
        this.#returnSlots(effect);
        return;
    }
  }

  #ask(effect: SlotRequest, now: number): void {
    const { to, service, region, slots, rank, rankWaitMs, waitMs } = effect;
    this.#askCount += 1;
    const question = `${this.#options.instance}/${this.#askCount}`;
    this.#sentAsks.set(question, now);
    if (this.#sentAsks.size > MAX_ASKS_PER_PEER * 16) {
      const [oldest] = this.#sentAsks.keys();
      this.#sentAsks.delete(oldest!);
    }
    this.#options.send(to, {
      kind: "ask",
      service,
      region,
      slots,
      rank,
      rankWaitMs,
      waitMs,
      question,
    });
  }

  #lend(effect: Lend, now: number): void {
    const { to, target, slots, durationMs } = effect;
    this.#loanCount += 1;
    const loan = `${this.#options.instance}/${this.#loanCount}`;
    this.#lent.set(loan, { to, target, slots, endsAt: now + durationMs });
    const ask = this.#receivedAsks.get(to);
    if (ask === undefined) {
      // Without a request the borrower cannot tell when the loan starts, so no grant
      // is sent. The slots become usable again when the loan expires.
      return;
    }
    this.#options.send(to, {
      kind: "lend",
      loan,
      target,
      slots,
      durationMs,
      question: ask.question,
      askAgeMs: now - ask.receivedAt,
    });
  }

  /** Returns slots borrowed from that VM for that target, oldest loan first. */
  #returnSlots(effect: ReturnSlots): void {
    let slots = effect.slots;
    for (const [loan, borrowed] of this.#borrowed) {
      if (slots <= 0) {
        return;
      }
      if (borrowed.from.vm !== effect.to || borrowed.target !== effect.target) {
        continue;
      }
      const returned = Math.min(slots, borrowed.slots);
      slots -= returned;
      borrowed.slots -= returned;
      if (borrowed.slots === 0) {
        this.#borrowed.delete(loan);
        this.#options.send(effect.to, { kind: "give-back", loan });
      }
    }
  }

  #receiveFromPeer(from: PeerId, message: SlotMessage, now: number): void {
    switch (message.kind) {
      case "ask": {
        const { service, region, slots, rank, rankWaitMs, waitMs, question } =
          message;
        this.#receivedAsks.set(from.vm, { question, receivedAt: now });
        this.#options.steer({
          kind: "asked",
          from: from.vm,
          service,
          region,
          slots,
          rank,
          rankWaitMs,
          waitMs,
        });
        return;
      }
      case "lend":
        this.#borrow(from, message, now);
        return;
      case "give-back":
        this.#endLoan(message.loan);
        return;
    }
  }

  #borrow(
    from: PeerId,
    message: Extract<SlotMessage, { kind: "lend" }>,
    now: number,
  ): void {
    const askedAt = this.#sentAsks.get(message.question);
    if (askedAt === undefined || this.#borrowed.has(message.loan)) {
      return;
    }
    const { loan, target, slots, durationMs, askAgeMs } = message;
    const usableMs = durationMs * (1 - CLOCK_DRIFT_MARGIN);
    const remainingMs = askedAt + askAgeMs + usableMs - now;
    if (remainingMs <= 0) {
      return;
    }
    this.#borrowed.set(loan, {
      from,
      target,
      slots,
      endsAt: now + remainingMs,
    });
    this.#options.steer({
      kind: "borrowed",
      from: from.vm,
      target,
      slots,
      durationMs: remainingMs,
    });
  }

  #endLoan(loan: string): void {
    const given = this.#lent.get(loan);
    if (given === undefined) {
      return;
    }
    this.#lent.delete(loan);
    const { to, target, slots } = given;
    this.#options.steer({ kind: "loan-ended", to, target, slots });
  }

  #expire(now: number): void {
    for (const [loan, { endsAt }] of this.#lent) {
      if (endsAt <= now) {
        this.#endLoan(loan);
      }
    }
    for (const [loan, { endsAt }] of this.#borrowed) {
      if (endsAt <= now) {
        this.#borrowed.delete(loan);
      }
    }
  }
}
