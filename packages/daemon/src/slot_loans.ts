/**
 * Slots that VMs lend each other, as messages between them.
 *
 * The lender lowers its own count before it says a word, and takes the slots
 * back only when they were given back or the loan has run out by its clock. The
 * borrower places the grant on its own clock no later than it can have been:
 * when it asked, plus the time that the lender had the question. A message that
 * was held up on the way therefore shortens the loan and never lengthens it.
 *
 * @module
 */

import type {
  Ask,
  GiveBack,
  Lend,
  SteeringEvent,
} from "@poplarthread/decisions";
import type { InstanceId, TargetId, VmId } from "@poplarthread/ids";
import type { PeerId, SlotMessage } from "./peers/messages.ts";
import { Task } from "./task.ts";

/** What the task is told. */
export type SlotLoansMessage =
  | { readonly kind: "effect"; readonly effect: Ask | Lend | GiveBack }
  | {
    readonly kind: "peer";
    readonly from: PeerId;
    readonly message: SlotMessage;
  }
  /** This VM stops: what it borrowed goes back at once. */
  | { readonly kind: "return-all" }
  | { readonly kind: "tick" };

/** Construction of the task. */
export interface SlotLoansOptions {
  readonly instance: InstanceId;
  readonly send: (to: VmId, message: SlotMessage) => void;
  readonly steer: (event: SteeringEvent) => void;
}

/** A clock that is not being stepped drifts by less than 0.05%; 1% is far above. */
const DRIFT_MARGIN = 0.01;
const TICK_MS = 100;
/** Questions remembered per VM: an answer to an older one is of no use. */
const MAX_QUESTIONS = 64;

interface Given {
  readonly to: VmId;
  readonly target: TargetId;
  readonly slots: number;
  readonly endsAt: number;
}

interface Taken {
  readonly from: PeerId;
  readonly target: TargetId;
  slots: number;
  readonly endsAt: number;
}

interface Question {
  readonly question: string;
  readonly heardAt: number;
}

/** Owns the loans given and taken. */
export class SlotLoans extends Task<SlotLoansMessage> {
  readonly #options: SlotLoansOptions;
  readonly #given = new Map<string, Given>();
  readonly #taken = new Map<string, Taken>();
  /** When each question was sent. */
  readonly #asked = new Map<string, number>();
  /** The last question heard of each VM. */
  readonly #heard = new Map<VmId, Question>();
  #questions = 0;
  #loans = 0;

  constructor(options: SlotLoansOptions) {
    super("slot-loans");
    this.#options = options;
  }

  /** Instances of which this VM holds slots. */
  get lenders(): readonly InstanceId[] {
    const lenders = [...this.#taken.values()].map(({ from }) => from.instance);
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
        this.#hear(message.from, message.message, now);
        return;
      case "return-all":
        for (const [loan, { from }] of this.#taken) {
          this.#options.send(from.vm, { kind: "give-back", loan });
        }
        this.#taken.clear();
        return;
      case "tick":
        this.#expire(now);
        return;
    }
  }

  protected override close(): void {}

  #perform(effect: Ask | Lend | GiveBack, now: number): void {
    switch (effect.kind) {
      case "ask":
        this.#ask(effect, now);
        return;
      case "lend":
        this.#lend(effect, now);
        return;
      case "give-back":
        this.#giveBack(effect);
        return;
    }
  }

  #ask(effect: Ask, now: number): void {
    const { to, service, region, slots, rank, rankWaitMs, waitMs } = effect;
    this.#questions += 1;
    const question = `${this.#options.instance}/${this.#questions}`;
    this.#asked.set(question, now);
    if (this.#asked.size > MAX_QUESTIONS * 16) {
      const [oldest] = this.#asked.keys();
      this.#asked.delete(oldest!);
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
    this.#loans += 1;
    const loan = `${this.#options.instance}/${this.#loans}`;
    this.#given.set(loan, { to, target, slots, endsAt: now + durationMs });
    const question = this.#heard.get(to);
    if (question === undefined) {
      // Nobody asked: the borrower could not place the grant on its clock. The
      // slots come back when the loan has run out.
      return;
    }
    this.#options.send(to, {
      kind: "lend",
      loan,
      target,
      slots,
      durationMs,
      question: question.question,
      askAgeMs: now - question.heardAt,
    });
  }

  /** Gives back what is held of that VM and target, oldest loan first. */
  #giveBack(effect: GiveBack): void {
    let slots = effect.slots;
    for (const [loan, taken] of this.#taken) {
      if (slots <= 0) {
        return;
      }
      if (taken.from.vm !== effect.to || taken.target !== effect.target) {
        continue;
      }
      const given = Math.min(slots, taken.slots);
      slots -= given;
      taken.slots -= given;
      if (taken.slots === 0) {
        this.#taken.delete(loan);
        this.#options.send(effect.to, { kind: "give-back", loan });
      }
    }
  }

  #hear(from: PeerId, message: SlotMessage, now: number): void {
    switch (message.kind) {
      case "ask": {
        const { service, region, slots, rank, rankWaitMs, waitMs, question } =
          message;
        this.#heard.set(from.vm, { question, heardAt: now });
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
        this.#end(message.loan);
        return;
    }
  }

  #borrow(
    from: PeerId,
    message: Extract<SlotMessage, { kind: "lend" }>,
    now: number,
  ): void {
    const askedAt = this.#asked.get(message.question);
    if (askedAt === undefined || this.#taken.has(message.loan)) {
      return;
    }
    const { loan, target, slots, durationMs, askAgeMs } = message;
    const usableMs = durationMs * (1 - DRIFT_MARGIN);
    const left = askedAt + askAgeMs + usableMs - now;
    if (left <= 0) {
      return;
    }
    this.#taken.set(loan, {
      from,
      target,
      slots,
      endsAt: now + left,
    });
    this.#options.steer({
      kind: "borrowed",
      from: from.vm,
      target,
      slots,
      durationMs: left,
    });
  }

  #end(loan: string): void {
    const given = this.#given.get(loan);
    if (given === undefined) {
      return;
    }
    this.#given.delete(loan);
    const { to, target, slots } = given;
    this.#options.steer({ kind: "loan-ended", to, target, slots });
  }

  #expire(now: number): void {
    for (const [loan, { endsAt }] of this.#given) {
      if (endsAt <= now) {
        this.#end(loan);
      }
    }
    for (const [loan, { endsAt }] of this.#taken) {
      if (endsAt <= now) {
        this.#taken.delete(loan);
      }
    }
  }
}
