/**
 * The phases of an exchange and the transitions between them.
 *
 * Events of the caller, the targets, the deadline and the wait queue reach an
 * exchange in any order, even after it has ended. A step that the current phase does
 * not allow is rejected, so that no event can make a caller get two responses.
 *
 * @module
 */

/** Phase of an exchange. */
export type ExchangePhase =
  /** The request body is being read. */
  | "reading"
  /** The request is being counted against its account's quota. */
  | "counting"
  /** The request waits for a target. */
  | "waiting"
  /** An attempt is in progress. */
  | "sent"
  /** The response is being streamed to the caller. */
  | "streaming"
  /** The response is complete on this VM, and its caller has yet to take it. */
  | "delivering"
  /** The network has taken the final response, or the caller has disconnected. */
  | "done";

/** Step from one phase to another. */
export type ExchangeStep =
  | "count"
  | "queue"
  | "send"
  | "stream"
  | "deliver"
  | "end";

const TRANSITIONS: Readonly<
  Record<ExchangePhase, Readonly<Partial<Record<ExchangeStep, ExchangePhase>>>>
> = {
  reading: { count: "counting", end: "done" },
  counting: { queue: "waiting", end: "done" },
  waiting: { send: "sent", deliver: "delivering", end: "done" },
  sent: {
    queue: "waiting",
    stream: "streaming",
    deliver: "delivering",
    end: "done",
  },
  streaming: { deliver: "delivering", end: "done" },
  delivering: { end: "done" },
  done: {},
};

/** The phase after a step; undefined if the phase does not allow the step. */
export function phaseAfter(
  phase: ExchangePhase,
  step: ExchangeStep,
): ExchangePhase | undefined {
  return TRANSITIONS[phase][step];
}
