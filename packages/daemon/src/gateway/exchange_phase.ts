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
  /** It waits until it is counted for its account's quota. */
  | "counting"
  /** It waits for a target. */
  | "waiting"
  /** An attempt is on its way. */
  | "sent"
  /** Its answer is being handed over in pieces. */
  | "streaming"
  /** Its caller has its final answer, or is gone. */
  | "done";

/** What may happen to it next. */
export type ExchangeStep = "count" | "queue" | "send" | "stream" | "end";

const NEXT: Readonly<
  Record<ExchangePhase, Readonly<Partial<Record<ExchangeStep, ExchangePhase>>>>
> = {
  reading: { count: "counting", end: "done" },
  counting: { queue: "waiting", end: "done" },
  waiting: { send: "sent", end: "done" },
  sent: { queue: "waiting", stream: "streaming", end: "done" },
  streaming: { end: "done" },
  done: {},
};

/** The phase after a step; undefined where the step must not be taken. */
export function phaseAfter(
  phase: ExchangePhase,
  step: ExchangeStep,
): ExchangePhase | undefined {
  return NEXT[phase][step];
}
