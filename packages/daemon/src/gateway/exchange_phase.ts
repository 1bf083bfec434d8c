/**
 * The phases of an exchange, and which steps lead from one to another.
 *
 * An exchange hears from its caller, its targets, its deadline and the waiting
 * room in any order, also after it has ended. A step that its phase does not
 * allow is not taken, so that none of them can answer a caller twice.
 *
 * @module
 */

/** Where an exchange stands. */
export type ExchangePhase =
  /** Its body is being read. */
  | "reading"
  /** It waits for a target. */
  | "waiting"
  /** An attempt is on its way. */
  | "sent"
  /** Its answer is being handed over in pieces. */
  | "streaming"
  /** Its caller has its final answer, or is gone. */
  | "done";

/** What may happen to it next. */
export type ExchangeStep = "queue" | "send" | "stream" | "end";

const NEXT: Readonly<
  Record<
    ExchangePhase,
    Readonly<Record<ExchangeStep, ExchangePhase | undefined>>
  >
> = {
  reading: {
    queue: "waiting",
    send: undefined,
    stream: undefined,
    end: "done",
  },
  waiting: { queue: undefined, send: "sent", stream: undefined, end: "done" },
  sent: { queue: "waiting", send: undefined, stream: "streaming", end: "done" },
  streaming: {
    queue: undefined,
    send: undefined,
    stream: undefined,
    end: "done",
  },
  done: {
    queue: undefined,
    send: undefined,
    stream: undefined,
    end: undefined,
  },
};

/** The phase after a step; undefined where the step must not be taken. */
export function phaseAfter(
  phase: ExchangePhase,
  step: ExchangeStep,
): ExchangePhase | undefined {
  return NEXT[phase][step];
}
