/**
 * Answers that the daemon gives itself instead of a target's.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { RequestId } from "@poplarthread/ids";
import { EARLIER_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER } from "./names.ts";

/** Why a request got no target's answer. */
export type RefusalReason =
  | "bad-request"
  | "no-route"
  | "loop"
  | "too-large"
  | "slow-sender"
  | "not-ready"
  | "overload"
  | "waited-too-long"
  | "no-target"
  | "unknown-route"
  | "attempts-failed"
  | "deadline"
  | "held-back"
  | "claim-refused"
  | "key-reused"
  | "still-running"
  | "ran-before"
  | "outcome-unknown"
  | "leaving"
  | "internal";

/** Status codes by reason. */
const STATUS: Readonly<Record<RefusalReason, number>> = {
  "bad-request": 400,
  "no-route": 404,
  "loop": 508,
  "too-large": 413,
  "slow-sender": 408,
  "not-ready": 503,
  "overload": 503,
  "waited-too-long": 503,
  "no-target": 503,
  "unknown-route": 503,
  "attempts-failed": 502,
  "deadline": 504,
  "held-back": 503,
  "claim-refused": 503,
  "key-reused": 422,
  "still-running": 409,
  "ran-before": 409,
  "outcome-unknown": 502,
  "leaving": 503,
  "internal": 500,
};

/**
 * What became of this sending of the request. `not-run`: it reached no target,
 * or the target said that it refused before running, and it never will run.
 * `ran`: an earlier sending of the key ran, to its end.
 */
export type RequestOutcome = "not-run" | "ran" | "unknown";

/** A final answer of the daemon's own. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** For people. */
  readonly message: string;
  readonly outcome: RequestOutcome;
  /** The request is keyed, and earlier sendings of the key could not be asked about. */
  readonly earlierUnknown?: boolean;
  /** When to come back, in milliseconds; absent where that would not help. */
  readonly retryAfterMs?: number;
  /** Ends the caller's connection, since the rest of its body is not read. */
  readonly closes?: boolean;
}

/** Sends `refusal` as the whole answer. Nothing may have been sent before. */
export function sendRefusal(
  res: ServerResponse,
  refusal: Refusal,
  request?: RequestId,
): void {
  const body = Buffer.from(JSON.stringify({
    reason: refusal.reason,
    message: refusal.message,
    outcome: refusal.outcome,
    earlier: refusal.earlierUnknown ? "unknown" : undefined,
    retryAfterMs: refusal.retryAfterMs,
    request,
  }));
  const lines = [
    "content-type",
    "application/json",
    "content-length",
    String(body.length),
    OUTCOME_HEADER,
    refusal.outcome,
  ];
  if (refusal.earlierUnknown) {
    lines.push(EARLIER_HEADER, "unknown");
  }
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000));
    lines.push("retry-after", String(seconds));
  }
  if (request !== undefined) {
    lines.push(REQUEST_ID_HEADER, request);
  }
  if (refusal.closes) {
    lines.push("connection", "close");
  }
  res.writeHead(STATUS[refusal.reason], lines);
  res.end(body);
}
