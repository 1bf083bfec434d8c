/**
 * For how long a VM may go by the plan that it has: a pure transition core.
 *
 * A plan hands out slots; a later one may take them away and give them to
 * others. A VM that is cut off or paused does not hear of it, so it may use its
 * slots only for a term, and the planner waits for the term's end before it
 * gives them on. Were the table the only one to renew terms, an outage of the
 * table would stop every VM within one term, although nobody can write a newer
 * plan meanwhile. So holders of the same plan renew each other's terms.
 *
 * What makes that safe: a VM vouches only for the very plan that it follows
 * itself, and it confirms a newer plan only after it has stopped vouching for
 * the older one. Once all other holders have confirmed the newer plan, nobody
 * is left to vouch for the silent one, and its term runs out.
 *
 * @module
 */

import type { InstanceId, VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";

/** What holders of a plan tell each other. Messages carry no times. */
export type TermMessage =
  /** Asks whether the plan of that sequence is the newest that the other knows. */
  | {
    readonly kind: "renew";
    readonly from: Sender;
    readonly sequence: number;
    /** Unique over all instances, so that an answer to an earlier life counts for nothing. */
    readonly question: string;
  }
  | {
    readonly kind: "renewed";
    readonly from: Sender;
    readonly sequence: number;
    readonly question: string;
  }
  /** The sender knows a newer plan. */
  | {
    readonly kind: "outdated";
    readonly from: Sender;
    readonly sequence: number;
  };

/** What happens to a term. */
export type TermEvent =
  /** A plan became known, by whatever way; an older or equal one changes nothing. */
  | {
    readonly kind: "plan";
    readonly sequence: number;
    /** Instances that may hold something by it or by an earlier plan. */
    readonly holders: readonly Sender[];
  }
  /** The table was read, and `sequence` was the newest plan there. */
  | {
    readonly kind: "read";
    readonly sequence: number;
    /** When the read was sent, by this VM's clock: a plan written since is not seen. */
    readonly askedAt: number;
  }
  | { readonly kind: "message"; readonly message: TermMessage }
  /**
   * The earlier instance on this VM has ended, and every other VM has said that
   * the plan of that sequence is the newest it knows and that it holds nothing
   * lent by that instance: this one may take its place.
   */
  | { readonly kind: "inherit"; readonly sequence: number }
  /** Time passes; every 100 ms or so. */
  | { readonly kind: "tick" };

/** What is to be done. */
export type TermEffect =
  | { readonly kind: "send"; readonly to: VmId; readonly message: TermMessage }
  /** A peer follows a newer plan than this VM: get it. */
  | {
    readonly kind: "outdated";
    readonly vm: VmId;
    readonly sequence: number;
  };

/** A question on its way. */
export interface TermQuestion {
  readonly question: string;
  readonly askedAt: number;
  readonly answered: boolean;
}

/** The term of one VM. Plain data, replaced with each step. */
export interface TermState {
  readonly self: Sender;
  /** The plan that this VM follows; 0 before the first. */
  readonly sequence: number;
  readonly holders: readonly Sender[];
  /** Whether this instance took the place of an earlier one that the plan names. */
  readonly isHeir: boolean;
  /** The plan's slots may be used before this time, on this VM's clock. */
  readonly validUntil: number;
  /** Questions asked so far. */
  readonly asked: number;
  readonly last: TermQuestion | undefined;
}

/** A term after a step. */
export interface TermResult {
  readonly state: TermState;
  readonly effects: readonly TermEffect[];
}

/** Durations of a term; both ends of a system must use the same. */
export interface TermTimes {
  /** How long a vouched plan may be used, in ms. */
  readonly termMs: number;
  /** An unanswered question is followed by one to the next holder after this, in ms. */
  readonly retryMs: number;
}

/** A running term is renewed this often, so that a few lost messages cost nothing. */
const RENEWALS_PER_TERM = 6;

/** Stands for a question whose answers count no more; no question is named so. */
const FORGOTTEN = "";

/** Two VMs' clocks may run apart by this share of a duration; slewing stays below 0.0005. */
const CLOCK_DRIFT = 0.01;

/** A VM that has just started: it holds nothing until a plan names its instance. */
export function newTerm(self: Sender): TermState {
  return {
    self,
    sequence: 0,
    holders: [],
    isHeir: false,
    validUntil: -Infinity,
    asked: 0,
    last: undefined,
  };
}

/** Whether the plan's slots may be used now. */
export function isTermValid(state: TermState, now: number): boolean {
  return now < state.validUntil;
}

/** The term after `event`. */
export function advanceTerm(
  state: TermState,
  event: TermEvent,
  ctx: { readonly now: number; readonly times: TermTimes },
): TermResult {
  switch (event.kind) {
    case "plan":
      return afterPlan(state, event);
    case "read":
      return event.sequence === state.sequence
        ? done(extend(state, event.askedAt, ctx.times))
        : done(state);
    case "message":
      return afterMessage(state, event.message, ctx.times);
    case "inherit":
      return done({ ...state, isHeir: event.sequence === state.sequence });
    case "tick":
      return ask(state, ctx);
  }
}

function done(
  state: TermState,
  ...effects: readonly TermEffect[]
): TermResult {
  return { state, effects };
}

function afterPlan(
  state: TermState,
  { sequence, holders }: TermEvent & { kind: "plan" },
): TermResult {
  if (sequence <= state.sequence) {
    return done(state);
  }
  // Answers about the plan before must not count for this one: whoever vouched
  // for that one may since have learned that this one was replaced, too. The pace
  // of the questions stays: asked at once, holders who have not heard of the plan
  // yet would each fetch it, beside the push that is on its way to them.
  const last = state.last && { ...state.last, question: FORGOTTEN };
  return done({ ...state, sequence, holders, isHeir: false, last });
}

function afterMessage(
  state: TermState,
  message: TermMessage,
  times: TermTimes,
): TermResult {
  switch (message.kind) {
    case "renew":
      return answer(state, message);
    case "renewed": {
      const { last } = state;
      if (
        message.sequence !== state.sequence ||
        message.question !== last?.question
      ) {
        return done(state);
      }
      const answered = { ...state, last: { ...last, answered: true } };
      return done(extend(answered, last.askedAt, times));
    }
    case "outdated":
      return message.sequence > state.sequence
        ? done(state, {
          kind: "outdated",
          vm: message.from.vm,
          sequence: message.sequence,
        })
        : done(state);
  }
}

function answer(
  state: TermState,
  { from, sequence, question }: TermMessage & { kind: "renew" },
): TermResult {
  const self = state.self;
  if (sequence > state.sequence) {
    return done(state, { kind: "outdated", vm: from.vm, sequence });
  }
  if (sequence < state.sequence) {
    const message = {
      kind: "outdated",
      from: self,
      sequence: state.sequence,
    } as const;
    return done(state, { kind: "send", to: from.vm, message });
  }
  if (!isHolder(state, self.instance) || !names(state, from.vm)) {
    // An instance that the plan does not name may have started since with a
    // plan that was old by then; the planner does not wait for its word. An
    // heir may therefore ask, but it never vouches.
    return done(state);
  }
  const message = { kind: "renewed", from: self, sequence, question } as const;
  return done(state, { kind: "send", to: from.vm, message });
}

/** Counted from the question: the answer may have been late, the other side's word is not newer. */
function extend(
  state: TermState,
  askedAt: number,
  { termMs }: TermTimes,
): TermState {
  if (!mayUse(state)) {
    return state;
  }
  const until = askedAt + termMs * (1 - CLOCK_DRIFT);
  return { ...state, validUntil: Math.max(state.validUntil, until) };
}

/** Asks one holder after the other, so that the cost does not grow with their number. */
function ask(
  state: TermState,
  { now, times }: { readonly now: number; readonly times: TermTimes },
): TermResult {
  const { self, last, sequence } = state;
  const others = state.holders.filter(({ vm }) => vm !== self.vm);
  const everyMs = last === undefined || !last.answered
    ? times.retryMs
    : times.termMs / RENEWALS_PER_TERM;
  const isDue = last === undefined || now >= last.askedAt + everyMs;
  if (!isDue || others.length === 0 || !mayUse(state)) {
    return done(state);
  }
  const asked = state.asked + 1;
  const question = `${self.instance}/${asked}`;
  const to = others[asked % others.length]!.vm;
  const message = { kind: "renew", from: self, sequence, question } as const;
  return done(
    { ...state, asked, last: { question, askedAt: now, answered: false } },
    { kind: "send", to, message },
  );
}

/** Whether the plan's rows for this VM are this instance's. */
function mayUse(state: TermState): boolean {
  const { self, isHeir } = state;
  return isHolder(state, self.instance) || (isHeir && names(state, self.vm));
}

function names({ holders }: TermState, vm: VmId): boolean {
  return holders.some((holder) => holder.vm === vm);
}

function isHolder({ holders }: TermState, instance: InstanceId): boolean {
  return holders.some((holder) => holder.instance === instance);
}
