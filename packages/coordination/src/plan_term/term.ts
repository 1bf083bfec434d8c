/**
 * Pure state machine for the term during which a VM may use its plan.
 *
 * A plan assigns slots to VMs; a later plan may assign them to other VMs. A VM
 * that is partitioned or paused does not receive the later plan, so it may use
 * its slots for a limited term only, and the planner waits for the end of that
 * term before it assigns the slots to another VM. If only the table could renew
 * terms, an outage of the table would stop every VM within one term, although
 * no newer plan can be written during the outage. Therefore the VMs that hold
 * slots under the same plan (its holders) renew each other's terms.
 *
 * This is safe because a VM renews terms only for exactly the plan that it
 * follows itself, and confirms a newer plan to the planner only after it has
 * stopped renewing terms for the older one. Once all other holders have
 * confirmed the newer plan, no VM renews the term of an unresponsive holder any
 * more, and that term expires.
 *
 * @module
 */

import type { InstanceId, VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";

/** Messages between holders of a plan. They carry no times. */
export type TermMessage =
  /** Asks whether the plan numbered `sequence` is the newest one known to the receiver. */
  | {
    readonly kind: "renew";
    readonly from: Sender;
    readonly sequence: number;
    /**
     * Identifies the request across all instances, so that responses to an
     * earlier instance are ignored.
     */
    readonly question: string;
  }
  /** Confirms that `sequence` is the newest plan known to the sender. */
  | {
    readonly kind: "renewed";
    readonly from: Sender;
    readonly sequence: number;
    readonly question: string;
  }
  /** The sender follows the newer plan `sequence`. */
  | {
    readonly kind: "outdated";
    readonly from: Sender;
    readonly sequence: number;
  };

/** Input of the state machine. */
export type TermEvent =
  /** A plan was received from any source; an older or equal one is ignored. */
  | {
    readonly kind: "plan";
    readonly sequence: number;
    /** Instances that may hold slots under this plan or an earlier one. */
    readonly holders: readonly Sender[];
  }
  /** The table was read; its newest plan was `sequence`. */
  | {
    readonly kind: "read";
    readonly sequence: number;
    /** When the read was sent, by this VM's clock; it may miss a plan written since. */
    readonly askedAt: number;
  }
  | { readonly kind: "message"; readonly message: TermMessage }
  /**
   * This instance may take over the slots of the earlier instance on this VM:
   * that instance has ended, and every other VM has reported that `sequence` is
   * the newest plan it knows and that it holds no slots lent by that instance.
   */
  | { readonly kind: "inherit"; readonly sequence: number }
  /** Sent periodically, about every 100 ms. */
  | { readonly kind: "tick" };

/** Actions for the caller to perform. */
export type TermEffect =
  | { readonly kind: "send"; readonly to: VmId; readonly message: TermMessage }
  /** The peer `vm` follows the newer plan `sequence`; fetch it. */
  | {
    readonly kind: "outdated";
    readonly vm: VmId;
    readonly sequence: number;
  };

/** The latest renewal request that this VM sent. */
export interface RenewalRequest {
  readonly question: string;
  readonly askedAt: number;
  readonly answered: boolean;
}

/** The term of one VM. Immutable plain data. */
export interface TermState {
  readonly self: Sender;
  /** Sequence number of the plan that this VM follows; 0 before the first plan. */
  readonly sequence: number;
  /** Instances that may hold slots under this plan or an earlier one. */
  readonly holders: readonly Sender[];
  /** Whether this instance took over the slots of an earlier instance that the plan names. */
  readonly isHeir: boolean;
  /** End of the term by this VM's clock: the plan's slots may be used before it. */
  readonly validUntil: number;
  /** Number of renewal requests sent so far. */
  readonly requestsSent: number;
  readonly last: RenewalRequest | undefined;
}

/** The next state, with the actions to perform. */
export interface TermResult {
  readonly state: TermState;
  readonly effects: readonly TermEffect[];
}

/** Durations of terms; all VMs must use the same values. */
export interface TermTimes {
  /** How long a plan may be used after its renewal. */
  readonly termMs: number;
  /** Time without a response after which the next holder is asked. */
  readonly retryMs: number;
}

/** Renewals per term, so that a term outlasts a few lost messages. */
const RENEWALS_PER_TERM = 6;

/**
 * Value of `question` that no renewal request has; used to ignore responses to
 * an earlier request.
 */
const NO_QUESTION = "";

/**
 * Allowed drift between two VMs' clocks, as a fraction of a duration; slewing
 * stays below 0.0005.
 */
const MAX_CLOCK_DRIFT = 0.01;

/** State of a VM that has just started: it holds no slots until a plan names its instance. */
export function newTerm(self: Sender): TermState {
  return {
    self,
    sequence: 0,
    holders: [],
    isHeir: false,
    validUntil: -Infinity,
    requestsSent: 0,
    last: undefined,
  };
}

/** Whether the plan's slots may be used now. */
export function isTermValid(state: TermState, now: number): boolean {
  return now < state.validUntil;
}

/** Returns the state and actions after `event`. */
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
        ? result(extendTerm(state, event.askedAt, ctx.times))
        : result(state);
    case "message":
      return afterMessage(state, event.message, ctx.times);
    case "inherit":
      return result({ ...state, isHeir: event.sequence === state.sequence });
    case "tick":
      return requestRenewal(state, ctx);
  }
}

function result(
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
    return result(state);
  }
  // A response for the previous plan must not extend this plan's term: its sender
  // may since have learned that this plan has been replaced, too. The time of the
  // last request is kept, so that no request is sent at once: holders that have
  // not received this plan yet would each fetch it, although a push of it is
  // already under way to them.
  const last = state.last && { ...state.last, question: NO_QUESTION };
  return result({ ...state, sequence, holders, isHeir: false, last });
}

function afterMessage(
  state: TermState,
  message: TermMessage,
  times: TermTimes,
): TermResult {
  switch (message.kind) {
    case "renew":
      return afterRenewRequest(state, message);
    case "renewed": {
      const { last } = state;
      if (
        message.sequence !== state.sequence ||
        message.question !== last?.question
      ) {
        return result(state);
      }
      const answered = { ...state, last: { ...last, answered: true } };
      return result(extendTerm(answered, last.askedAt, times));
    }
    case "outdated":
      return message.sequence > state.sequence
        ? result(state, {
          kind: "outdated",
          vm: message.from.vm,
          sequence: message.sequence,
        })
        : result(state);
  }
}

function afterRenewRequest(
  state: TermState,
  { from, sequence, question }: TermMessage & { kind: "renew" },
): TermResult {
  const self = state.self;
  if (sequence > state.sequence) {
    return result(state, { kind: "outdated", vm: from.vm, sequence });
  }
  if (sequence < state.sequence) {
    const message = {
      kind: "outdated",
      from: self,
      sequence: state.sequence,
    } as const;
    return result(state, { kind: "send", to: from.vm, message });
  }
  if (!isHolder(state, self.instance) || !namesVm(state, from.vm)) {
    // An instance that the plan does not name may have started later, with a
    // plan that was outdated by then, and the planner does not wait for its
    // confirmation. An instance that took over an earlier one's slots may
    // therefore request renewals, but never renews the terms of others.
    return result(state);
  }
  const message = { kind: "renewed", from: self, sequence, question } as const;
  return result(state, { kind: "send", to: from.vm, message });
}

/**
 * Extends the term, counted from when the request was sent: the response may
 * have been delayed, and may show the state of any moment since the request.
 */
function extendTerm(
  state: TermState,
  askedAt: number,
  { termMs }: TermTimes,
): TermState {
  if (!mayUseSlots(state)) {
    return state;
  }
  const until = askedAt + termMs * (1 - MAX_CLOCK_DRIFT);
  return { ...state, validUntil: Math.max(state.validUntil, until) };
}

/**
 * Asks the other holders in rotation, one at a time, so that the load does not
 * grow with their number.
 */
function requestRenewal(
  state: TermState,
  { now, times }: { readonly now: number; readonly times: TermTimes },
): TermResult {
  const { self, last, sequence } = state;
  const others = state.holders.filter(({ vm }) => vm !== self.vm);
  const intervalMs = last === undefined || !last.answered
    ? times.retryMs
    : times.termMs / RENEWALS_PER_TERM;
  const isDue = last === undefined || now >= last.askedAt + intervalMs;
  if (!isDue || others.length === 0 || !mayUseSlots(state)) {
    return result(state);
  }
  const requestsSent = state.requestsSent + 1;
  const question = `${self.instance}/${requestsSent}`;
  const to = others[requestsSent % others.length]!.vm;
  const message = { kind: "renew", from: self, sequence, question } as const;
  return result(
    {
      ...state,
      requestsSent,
      last: { question, askedAt: now, answered: false },
    },
    { kind: "send", to, message },
  );
}

/** Whether this instance may use the slots that the plan assigns to this VM. */
function mayUseSlots(state: TermState): boolean {
  const { self, isHeir } = state;
  return isHolder(state, self.instance) || (isHeir && namesVm(state, self.vm));
}

function namesVm({ holders }: TermState, vm: VmId): boolean {
  return holders.some((holder) => holder.vm === vm);
}

function isHolder({ holders }: TermState, instance: InstanceId): boolean {
  return holders.some((holder) => holder.instance === instance);
}
