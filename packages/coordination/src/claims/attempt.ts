/**
 * The state machine of one attempt at a keyed request, from the claim to the
 * record of its outcome.
 *
 * It rests on two rules. An attempt dispatches only after it has seen its own
 * claim in the table, by a confirmed commit or by reading the row back. A closed
 * attempt never dispatches, whatever the table returns later, so a reported
 * "not run" stays true even if a delayed write of its claim still commits.
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
  type StoredResponse,
} from "./claim_row.ts";

/** What "not run" covers when an attempt is refused. */
export type NotRunProof =
  /** The table showed that no attempt with this key had run. */
  | "key"
  /**
   * This attempt did not run and never will. Whether an earlier one ran could
   * not be determined, so nothing is known about the request as a whole.
   */
  | "this-sending";

/** Why an attempt may not run, as reported to the caller. */
export type ClaimRefusal =
  /** An earlier attempt ran, with this response. */
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  /** An earlier attempt ran; its response was too large to store. */
  | { readonly kind: "answered-unkept"; readonly status: number }
  /** The key was used for a different request. */
  | { readonly kind: "key-reused" }
  /** An earlier attempt may have run. */
  | { readonly kind: "unknown" }
  /** An earlier attempt is still running. */
  | { readonly kind: "running" }
  /** This attempt does not run. */
  | { readonly kind: "not-run"; readonly proof: NotRunProof };

/** The response of the instance that holds a claim. */
export type HolderResponse =
  /** That attempt never ran and never will, or its outcome is in the table. */
  | { readonly kind: "free" }
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  | { readonly kind: "answered-unkept"; readonly status: number }
  | { readonly kind: "unknown" }
  /** Still running when the querying instance's wait time ran out. */
  | { readonly kind: "running" }
  /** The holder's instance has ended, according to membership. */
  | { readonly kind: "dead" }
  /** The holder did not respond. */
  | { readonly kind: "unreachable" };

/** How a dispatched request ended. */
export type RunOutcome =
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  | { readonly kind: "answered-unkept"; readonly status: number }
  | { readonly kind: "unknown" }
  /** Nothing was sent, or the target reported that it refused without running. */
  | { readonly kind: "not-run" };

/** State of an attempt. */
export type AttemptPhase =
  /** Writing its claim over the row version `over`. */
  | { readonly kind: "claiming"; readonly over: number }
  /** The write's response was lost: reading the row back. */
  | { readonly kind: "reading"; readonly over: number }
  /** Another attempt holds the claim: querying its instance. */
  | { readonly kind: "asking"; readonly row: ClaimRow; readonly over: number }
  /** This attempt's claim is confirmed in the table; not dispatched. */
  | { readonly kind: "claimed"; readonly version: number }
  /** May be running at the target. */
  | { readonly kind: "dispatched"; readonly version: number }
  /** Writing its outcome to the table. */
  | {
    readonly kind: "recording";
    readonly version: number;
    readonly record: ClaimRecord;
  }
  /** Finished on this instance. */
  | { readonly kind: "closed" };

/** One attempt at a keyed request. */
export interface Attempt {
  readonly id: AttemptId;
  readonly claim: ClaimId;
  readonly instance: InstanceId;
  readonly bodyDigest: string;
  readonly claimedAt: number;
  /** Whether the table showed, during this attempt, that no attempt had run. */
  readonly keyNeverRan: boolean;
  /** Number of claim writes so far. */
  readonly tries: number;
  readonly phase: AttemptPhase;
}

/** Input of the state machine. */
export type AttemptEvent =
  /** The write of the claim or the outcome committed. */
  | { readonly kind: "committed" }
  /** The write's condition failed; `row` is the current row. */
  | { readonly kind: "conflict"; readonly row: Row }
  | { readonly kind: "failed"; readonly effect: TableEffect }
  /** The row was read back. */
  | { readonly kind: "row"; readonly row: Row }
  | { readonly kind: "holder"; readonly answer: HolderResponse }
  /** A slot is available: about to send to a target. */
  | { readonly kind: "dispatch" }
  /** The run ended, or was cancelled before dispatch. */
  | { readonly kind: "ended"; readonly outcome: RunOutcome }
  /** The caller's deadline passed, or the caller left, before dispatch. */
  | { readonly kind: "expired" };

/** Action to be carried out by the task that drives the attempt. */
export type AttemptEffect =
  /** Write this row if its version is still `over`. */
  | { readonly kind: "write"; readonly over: number; readonly row: ClaimRow }
  | { readonly kind: "read" }
  /** Query the holder named in the row. */
  | { readonly kind: "ask"; readonly row: ClaimRow }
  /** The attempt may now be dispatched, by a `dispatch` event. */
  | { readonly kind: "granted" }
  /** Send the request to a target now. */
  | { readonly kind: "send" }
  /** Report the refusal to the caller. */
  | { readonly kind: "refuse"; readonly refusal: ClaimRefusal };

/** The new state of an attempt, with the actions to carry out. */
export interface AttemptResult {
  readonly attempt: Attempt;
  readonly effects: readonly AttemptEffect[];
}

/** Identity and origin of a new attempt. */
export type NewAttempt = Pick<
  Attempt,
  "id" | "claim" | "instance" | "bodyDigest" | "claimedAt"
>;

/**
 * Three writes cover a lost response and an abandoned claim of an earlier
 * attempt. In an outage no further try follows, since the read back fails too.
 */
const MAX_TRIES = 3;

/** Starts by claiming over an absent row, since most requests are no duplicates. */
export function startAttempt(options: NewAttempt): AttemptResult {
  const attempt: Attempt = {
    ...options,
    keyNeverRan: false,
    tries: 0,
    phase: { kind: "closed" },
  };
  return claimOver(attempt, ABSENT);
}

/** Applies `event` to the attempt. Events that do not apply to its current phase are ignored. */
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

/** Row key of the attempt's claim. */
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
    // The lost write may still commit. Writing again is safe: both writes have
    // the same condition, so at most one of them takes effect.
    return claimOver({ ...attempt, keyNeverRan: true }, ABSENT);
  }
  if (claim.bodyDigest !== attempt.bodyDigest) {
    return refuse(attempt, { kind: "key-reused" });
  }
  return claim.attempt === attempt.id
    ? grant(attempt, row.version)
    : resolveExisting(attempt, claim, row.version);
}

/** Another attempt claimed first: its record decides what happens to this one. */
function resolveExisting(
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
  answer: HolderResponse,
): AttemptResult {
  switch (answer.kind) {
    case "free":
      // `free` may also mean that the outcome was recorded after the row was
      // read. Then its version has changed, and the write conflicts and returns
      // the record.
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

/** The write of the outcome is retried until it is in the table; until then the attempt stays in memory. */
function whileRecording(
  attempt: Attempt,
  phase: Extract<AttemptPhase, { kind: "recording" }>,
  event: AttemptEvent,
): AttemptResult {
  switch (event.kind) {
    case "committed":
    // Only this attempt changes its row from that version, so a conflict means
    // that an earlier write of this record took effect, or that an abandoned
    // claim was taken over.
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
 * The response of an instance about one of its attempts; undefined stands for
 * one that is not in memory. An attempt is removed from memory only when it is
 * closed, and a closed one never dispatches, so `free` is safe.
 */
export function holderResponseFor(
  attempt: Attempt | undefined,
): HolderResponse {
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

function recordedAnswer(record: ClaimRecord): HolderResponse {
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
