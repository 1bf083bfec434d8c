/**
 * Refusals: local replies that the daemon sends instead of a target's response.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { RequestId } from "@poplarthread/ids";
import { EARLIER_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER } from "./names.ts";

/** Why a request was refused. */
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
const STATUS_CODES: Readonly<Record<RefusalReason, number>> = {
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
 * Outcome of the request. `not-run`: it reached no target, or each target that it
 * reached refused it without running it, and it will never run. `ran`: an earlier
 * request with the same key ran to completion.
 */
export type RequestOutcome = "not-run" | "ran" | "unknown";

/** A local reply that is the final response to a request. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Human-readable explanation. */
  readonly message: string;
  readonly outcome: RequestOutcome;
  /** Whether the request has a key for which earlier requests could not be looked up. */
  readonly earlierUnknown?: boolean;
  /** When to retry; absent if retrying would not help. */
  readonly retryAfterMs?: number;
  /** Closes the caller's connection, since the rest of its body is not read. */
  readonly closesConnection?: boolean;
}

/** Sends `refusal` as the complete response. Nothing may have been sent before. */
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
  const rawHeaders = [
    "content-type",
    "application/json",
    "content-length",
    String(body.length),
    OUTCOME_HEADER,
    refusal.outcome,
  ];
  if (refusal.earlierUnknown) {
    rawHeaders.push(EARLIER_HEADER, "unknown");
  }
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000));
    rawHeaders.push("retry-after", String(seconds));
  }
  if (request !== undefined) {
    rawHeaders.push(REQUEST_ID_HEADER, request);
  }
  if (refusal.closesConnection) {
    rawHeaders.push("connection", "close");
  }
  res.writeHead(STATUS_CODES[refusal.reason], rawHeaders);
  res.end(body);
}
