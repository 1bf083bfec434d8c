/**
 * One attempt: sends a request to one entry VM and classifies the result.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import {
  ATTEMPT_HEADER,
  CRASH_HEADER,
  requestDigest,
  RESPONSE_BYTES_HEADER,
  responseBody,
  WORK_MS_HEADER,
} from "../work_protocol.ts";
import type { RequestKind } from "./request_kind.ts";

/** A request; identical in each of its attempts. */
export interface CallerRequest {
  readonly kind: RequestKind;
  readonly path: string;
  /** Idempotency key; empty if there is none. */
  readonly key: string;
  readonly body: Buffer;
  /** Whether each target that runs the request crashes. */
  readonly crashesTarget: boolean;
}

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "served" }
  /** The response had status 200, but its body is truncated or belongs to another request. */
  | {
    readonly kind: "answered-wrongly";
    readonly fault: "partial" | "wrong";
  }
  | {
    readonly kind: "refused";
    /** Whether the request ran, according to the refusal; `unsaid` if it does not state it. */
    readonly outcome: "not-run" | "unknown" | "unsaid";
    readonly status: number;
    /** The reason in the response body; the status if the body has none. */
    readonly reason: string;
    /** The `retry-after` header in milliseconds; undefined if there is none. */
    readonly retryAfterMs: number | undefined;
  }
  /** The VM did not accept the connection, so nothing was sent. */
  | { readonly kind: "not-taken" }
  /** The connection broke after the request may have been sent. */
  | { readonly kind: "broken"; readonly reason: string };

/** Error codes that undici reports before any part of a request was sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Longest wait for the head of a response, and between two chunks of its body. */
const RESPONSE_TIMEOUT_MS = 20_000;

/** Sends a request once and compares the response with the expected body. */
export async function sendAttempt(
  dispatcher: Dispatcher,
  req: CallerRequest,
  names: { attempt: string; caller: string },
): Promise<AttemptResult> {
  const { kind } = req;
  const headers: Record<string, string> = {
    "poplarthread-caller": names.caller,
    [ATTEMPT_HEADER]: names.attempt,
    [RESPONSE_BYTES_HEADER]: String(kind.responseBytes),
    [WORK_MS_HEADER]: String(kind.workMs),
  };
  if (req.key !== "") {
    headers["idempotency-key"] = req.key;
  }
  if (req.crashesTarget) {
    headers[CRASH_HEADER] = "1";
  }
  try {
    const res = await dispatcher.request({
      origin: undefined,
      path: req.path,
      method: kind.method,
      headers,
      body: req.body.length === 0 ? null : req.body,
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
    const body = Buffer.from(await res.body.arrayBuffer());
    return res.statusCode === 200
      ? checkBody(req, body)
      : parseRefusal(res.statusCode, res.headers, body);
  } catch (err) {
    return resultOfError(err as Error & { code?: string });
  }
}

function checkBody(req: CallerRequest, body: Buffer): AttemptResult {
  const digest = requestDigest({
    method: req.kind.method,
    path: req.path,
    key: req.key,
    body: req.body,
  });
  const expected = responseBody(digest, req.kind.responseBytes);
  if (body.equals(expected)) {
    return { kind: "served" };
  }
  const isPrefix = expected.subarray(0, body.length).equals(body);
  return { kind: "answered-wrongly", fault: isPrefix ? "partial" : "wrong" };
}

function parseRefusal(
  status: number,
  headers: Record<string, string | string[] | undefined>,
  body: Buffer,
): AttemptResult {
  const outcome = headers["poplarthread-outcome"];
  const retryAfterS = Number(headers["retry-after"]);
  return {
    kind: "refused",
    status,
    reason: parseReason(body) ?? String(status),
    outcome: outcome === "not-run" || outcome === "unknown"
      ? outcome
      : "unsaid",
    retryAfterMs: Number.isFinite(retryAfterS)
      ? retryAfterS * 1_000
      : undefined,
  };
}

function parseReason(body: Buffer): string | undefined {
  try {
    const { reason } = JSON.parse(body.toString("utf8")) as { reason?: string };
    return reason;
  } catch {
    // Responses of targets need not be JSON.
    return undefined;
  }
}

function resultOfError(err: Error & { code?: string }): AttemptResult {
  const code = err.code ?? err.message;
  return NOT_SENT_CODES.has(code)
    ? { kind: "not-taken" }
    : { kind: "broken", reason: code };
}
