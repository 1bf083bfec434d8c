/**
 * The core of one sending of a keyed request: from the claim to the record of
 * its outcome.
 *
 * Two rules carry everything. An attempt dispatches only after it saw its own
 * claim in the table, by a commit that was answered or by reading it back. And
 * a closed attempt never dispatches, whatever the table answers later; that is
 * why "not run" stays true even though its claim may still land.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import { ABSENT, type Row, type TableEffect } from "../table.ts";
import {
  type AttemptId,
  type ClaimId,
  claimKey,
  claimOf,
  type ClaimRecord,
  type ClaimRow,
  type StoredAnswer,
} from "./claim_row.ts";

/** How far "not run" reaches when a sending is refused. */
export type NotRunProof =
  /** The table showed that no sending of this key had run. */
  | "key"
  /**
   * This sending did not run and never will. Whether an earlier one ran could
   * not be asked, so nothing may be said of the request as a whole.
   */
  | "this-sending";

/** What the caller of a sending is told when it is not to run. */
export type ClaimRefusal =
  /** It ran before; this was its answer. */
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  /** It ran before; its answer was too large to keep. */
  | { readonly kind: "answered-unkept"; readonly status: number }
  /** The key was used for another request. */
  | { readonly kind: "key-reused" }
  /** An earlier sending may have run it. */
  | { readonly kind: "unknown" }
  /** An earlier sending still runs. */
  | { readonly kind: "running" }
  /** This sending does not run. */
  | { readonly kind: "not-run"; readonly proof: NotRunProof };

/** What the instance that holds a claim says about it. */
export type HolderAnswer =
  /** That attempt never ran and never will, or its outcome stands in the table. */
  | { readonly kind: "free" }
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  | { readonly kind: "answered-unkept"; readonly status: number }
  | { readonly kind: "unknown" }
  /** Still at it after the time that the asker would wait. */
  | { readonly kind: "running" }
  /** The holder's instance is gone, as far as membership can tell. */
  | { readonly kind: "dead" }
  /** The holder did not answer. */
  | { readonly kind: "unreachable" };

/** How a dispatched request ended. */
export type RunOutcome =
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  | { readonly kind: "answered-unkept"; readonly status: number }
  | { readonly kind: "unknown" }
  /** Nothing was sent, or the target said that it refused before running. */
  | { readonly kind: "not-run" };

/** Where an attempt stands. */
export type AttemptPhase =
  /** Its claim is on its way to the table, over a row of that version. */
  | { readonly kind: "claiming"; readonly over: number }
  /** The answer was lost: reads its claim back. */
  | { readonly kind: "reading"; readonly over: number }
  /** Another attempt holds the claim: asks its instance. */
  | { readonly kind: "asking"; readonly row: ClaimRow; readonly over: number }
  /** The claim is ours, seen in the table; not dispatched. */
  | { readonly kind: "claimed"; readonly version: number }
  /** May run at the target. */
  | { readonly kind: "dispatched"; readonly version: number }
  /** Its outcome is on its way to the table. */
  | {
    readonly kind: "recording";
    readonly version: number;
    readonly record: ClaimRecord;
  }
  /** Over for this instance. */
  | { readonly kind: "closed" };

/** One sending. */
export interface Attempt {
  readonly id: AttemptId;
  readonly claim: ClaimId;
  readonly instance: InstanceId;
  readonly bodyDigest: string;
  readonly claimedAt: number;
  /** Whether the table showed, during this attempt, that no sending had run. */
  readonly keyNeverRan: boolean;
  /** Claims written so far. */
  readonly tries: number;
  readonly phase: AttemptPhase;
}

/** What happens to an attempt. */
export type AttemptEvent =
  /** The claim or the record was committed. */
  | { readonly kind: "committed" }
  /** The claim's row is not what the write expected; this is what it is. */
  | { readonly kind: "conflict"; readonly row: Row }
  | { readonly kind: "failed"; readonly effect: TableEffect }
  /** The row as read back. */
  | { readonly kind: "row"; readonly row: Row }
  | { readonly kind: "holder"; readonly answer: HolderAnswer }
  /** A slot is there: about to send to a target. */
  | { readonly kind: "dispatch" }
  /** The run ended, or was given up before dispatch. */
  | { readonly kind: "ended"; readonly outcome: RunOutcome }
  /** The caller's deadline passed, or the caller left, before the claim was ours. */
  | { readonly kind: "expired" };

/** What the task around an attempt has to do. */
export type AttemptEffect =
  /** Write this row if it still has version `over`. */
  | { readonly kind: "write"; readonly over: number; readonly row: ClaimRow }
  | { readonly kind: "read" }
  /** Ask the holder named in the row. */
  | { readonly kind: "ask"; readonly row: ClaimRow }
  /** The sending may now be dispatched, by a `dispatch` event. */
  | { readonly kind: "granted" }
  /** Send it to a target, now. */
  | { readonly kind: "send" }
  /** Tell the caller. */
  | { readonly kind: "refuse"; readonly refusal: ClaimRefusal };

/** An attempt with what is to be done. */
export interface AttemptResult {
  readonly attempt: Attempt;
  readonly effects: readonly AttemptEffect[];
}

/** What a new attempt needs. */
export type NewAttempt = Pick<
  Attempt,
  "id" | "claim" | "instance" | "bodyDigest" | "claimedAt"
>;

/**
 * An outage is answered at once, since its read fails too. Three tries cover a
 * lost answer and an abandoned claim of an earlier sending.
 */
const MAX_TRIES = 3;

/** Starts by claiming over an absent row: most requests are first sendings. */
export function startAttempt(options: NewAttempt): AttemptResult {
  const attempt: Attempt = {
    ...options,
    keyNeverRan: false,
    tries: 0,
    phase: { kind: "closed" },
  };
  return claimOver(attempt, ABSENT);
}

/** The attempt after `event`. Events that no longer matter change nothing. */
export function advanceAttempt(
  attempt: Attempt,
  event: AttemptEvent,
): AttemptResult {
  const { phase } = attempt;
  switch (phase.kind) {
    case "claiming":
    case "reading":
    case "asking":
      return beforeClaim(attempt, event);
    case "claimed":
    case "dispatched":
      return whileHeld(attempt, phase, event);
    case "recording":
      return whileRecording(attempt, phase, event);
    case "closed":
      return { attempt, effects: [] };
  }
}

/** Key of the row that the attempt writes. */
export function attemptKey(attempt: Attempt): string {
  return claimKey(attempt.claim);
}

function to(
  attempt: Attempt,
  phase: AttemptPhase,
  ...effects: readonly AttemptEffect[]
): AttemptResult {
  return { attempt: { ...attempt, phase }, effects };
}

function refuse(attempt: Attempt, refusal: ClaimRefusal): AttemptResult {
  return to(attempt, { kind: "closed" }, { kind: "refuse", refusal });
}

function notRun(attempt: Attempt): AttemptResult {
  const proof = attempt.keyNeverRan ? "key" : "this-sending";
  return refuse(attempt, { kind: "not-run", proof });
}

function rowOf(attempt: Attempt, record: ClaimRecord): ClaimRow {
  const { id, instance, bodyDigest, claimedAt } = attempt;
  return { attempt: id, instance, bodyDigest, claimedAt, record };
}

function claimOver(attempt: Attempt, over: number): AttemptResult {
  if (attempt.tries >= MAX_TRIES) {
    return notRun(attempt);
  }
  const row = rowOf(attempt, { kind: "claimed" });
  return to(
    { ...attempt, tries: attempt.tries + 1 },
    { kind: "claiming", over },
    { kind: "write", over, row },
  );
}

function beforeClaim(attempt: Attempt, event: AttemptEvent): AttemptResult {
  switch (event.kind) {
    case "committed":
      return afterCommit(attempt);
    case "conflict":
    case "row":
      return afterRow(attempt, event.row);
    case "failed":
      return afterFailure(attempt, event.effect);
    case "holder":
      return attempt.phase.kind === "asking"
        ? afterHolder(attempt, attempt.phase, event.answer)
        : { attempt, effects: [] };
    case "expired":
      return attempt.phase.kind === "asking"
        ? refuse(attempt, { kind: "unknown" })
        : notRun(attempt);
    case "dispatch":
    case "ended":
      return { attempt, effects: [] };
  }
}

function grant(attempt: Attempt, version: number): AttemptResult {
  const claimed = { ...attempt, keyNeverRan: true };
  return to(claimed, { kind: "claimed", version }, { kind: "granted" });
}

function afterCommit(attempt: Attempt): AttemptResult {
  return attempt.phase.kind === "claiming"
    ? grant(attempt, attempt.phase.over + 1)
    : { attempt, effects: [] };
}

function afterFailure(attempt: Attempt, effect: TableEffect): AttemptResult {
  const { phase } = attempt;
  if (phase.kind === "claiming" && effect === "unknown") {
    const { over } = phase;
    return to(attempt, { kind: "reading", over }, { kind: "read" });
  }
  return phase.kind === "asking" ? { attempt, effects: [] } : notRun(attempt);
}

function afterRow(attempt: Attempt, row: Row): AttemptResult {
  if (attempt.phase.kind === "asking") {
    return { attempt, effects: [] };
  }
  const claim = claimOf(row);
  if (claim === undefined) {
    // The lost write may still land. Writing it again is safe: both have the
    // same condition, so one of them at most takes effect.
    return claimOver({ ...attempt, keyNeverRan: true }, ABSENT);
  }
  if (claim.bodyDigest !== attempt.bodyDigest) {
    return refuse(attempt, { kind: "key-reused" });
  }
  return claim.attempt === attempt.id
    ? grant(attempt, row.version)
    : resolveOther(attempt, claim, row.version);
}

/** Another sending came first: its record says what to tell this one. */
function resolveOther(
  attempt: Attempt,
  claim: ClaimRow,
  over: number,
): AttemptResult {
  const { record } = claim;
  switch (record.kind) {
    case "claimed":
      return to(
        { ...attempt, keyNeverRan: false },
        { kind: "asking", row: claim, over },
        { kind: "ask", row: claim },
      );
    case "abandoned":
      return claimOver({ ...attempt, keyNeverRan: true }, over);
    case "answered":
    case "answered-unkept":
    case "unknown":
      return refuse(attempt, record);
  }
}

function afterHolder(
  attempt: Attempt,
  phase: Extract<AttemptPhase, { kind: "asking" }>,
  answer: HolderAnswer,
): AttemptResult {
  switch (answer.kind) {
    case "free":
      // Free may also mean that the outcome was recorded since we read the
      // row. Then its version moved on, and the write finds the record.
      return claimOver(attempt, phase.over);
    case "answered":
    case "answered-unkept":
    case "unknown":
    case "running":
      return refuse(attempt, answer);
    case "dead":
    case "unreachable":
      return refuse(attempt, { kind: "unknown" });
  }
}

function whileHeld(
  attempt: Attempt,
  phase: Extract<AttemptPhase, { kind: "claimed" | "dispatched" }>,
  event: AttemptEvent,
): AttemptResult {
  const { version } = phase;
  switch (event.kind) {
    case "dispatch":
      return phase.kind === "claimed"
        ? to(attempt, { kind: "dispatched", version }, { kind: "send" })
        : { attempt, effects: [] };
    case "ended":
      return record(attempt, version, recordOf(event.outcome));
    case "expired":
      return phase.kind === "claimed"
        ? record(attempt, version, { kind: "abandoned" })
        : { attempt, effects: [] };
    default:
      return { attempt, effects: [] };
  }
}

function recordOf(outcome: RunOutcome): ClaimRecord {
  return outcome.kind === "not-run" ? { kind: "abandoned" } : outcome;
}

function record(
  attempt: Attempt,
  version: number,
  record: ClaimRecord,
): AttemptResult {
  return to(
    attempt,
    { kind: "recording", version, record },
    { kind: "write", over: version, row: rowOf(attempt, record) },
  );
}

/** The outcome is written until the table has it; until then the attempt is remembered. */
function whileRecording(
  attempt: Attempt,
  phase: Extract<AttemptPhase, { kind: "recording" }>,
  event: AttemptEvent,
): AttemptResult {
  switch (event.kind) {
    case "committed":
    // Only this attempt moves its row on from that version, so a conflict
    // means that an earlier write of this record took effect, or that an
    // abandoned claim was taken over.
    case "conflict":
      return to(attempt, { kind: "closed" });
    case "failed":
      return to(attempt, phase, {
        kind: "write",
        over: phase.version,
        row: rowOf(attempt, phase.record),
      });
    default:
      return { attempt, effects: [] };
  }
}

/**
 * What an instance answers about one of its attempts; undefined stands for one
 * that it does not remember. An attempt is forgotten only when it is closed,
 * and a closed one never dispatches: it may be called free.
 */
export function answerForHolder(attempt: Attempt | undefined): HolderAnswer {
  switch (attempt?.phase.kind) {
    case undefined:
    case "closed":
      return { kind: "free" };
    case "claiming":
    case "reading":
    case "asking":
    case "claimed":
    case "dispatched":
      return { kind: "running" };
    case "recording":
      return recordedAnswer(attempt.phase.record);
  }
}

function recordedAnswer(record: ClaimRecord): HolderAnswer {
  switch (record.kind) {
    case "claimed":
      return { kind: "running" };
    case "abandoned":
      return { kind: "free" };
    case "answered":
    case "answered-unkept":
    case "unknown":
      return record;
  }
}
