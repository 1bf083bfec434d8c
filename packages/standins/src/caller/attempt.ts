/**
 * One attempt: a request sent to one entry VM, and what came of it.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import {
  ANSWER_BYTES_HEADER,
  answerOf,
  ATTEMPT_HEADER,
  CRASH_HEADER,
  digestOf,
  WORK_MS_HEADER,
} from "../work.ts";
import type { RequestKind } from "./request_kind.ts";

/** A request, the same in each of its attempts. */
export interface CallerRequest {
  readonly kind: RequestKind;
  readonly path: string;
  /** Idempotency key; empty where there is none. */
  readonly key: string;
  readonly body: Buffer;
  /** Makes each target crash that runs it. */
  readonly crashes: boolean;
}

/** What came of one attempt. */
export type AttemptResult =
  | { readonly kind: "served" }
  | {
    readonly kind: "answered-wrongly";
    readonly fault: "partial" | "wrong";
  }
  | {
    readonly kind: "refused";
    readonly outcome: "not-run" | "unknown" | "unsaid";
    readonly status: number;
    /** Why, in the daemon's own word; the status alone where the body has none. */
    readonly reason: string;
    /** When to come back; undefined where the refusal does not say. */
    readonly retryAfterMs: number | undefined;
  }
  /** The VM did not take the connection: nothing was sent. */
  | { readonly kind: "not-taken" }
  /** The connection broke after the request may have been sent. */
  | { readonly kind: "broken"; readonly reason: string };

/** Errors that undici gives before anything of a request was sent. */
const NOT_SENT = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Longest wait for the head of an answer, and between two parts of its body. */
const ANSWER_TIMEOUT_MS = 20_000;

/** Sends a request once and checks the answer against the whole that is due. */
export async function attempt(
  dispatcher: Dispatcher,
  req: CallerRequest,
  names: { attempt: string; caller: string },
): Promise<AttemptResult> {
  const { kind } = req;
  const headers: Record<string, string> = {
    "poplarthread-caller": names.caller,
    [ATTEMPT_HEADER]: names.attempt,
    [ANSWER_BYTES_HEADER]: String(kind.answerBytes),
    [WORK_MS_HEADER]: String(kind.workMs),
  };
  if (req.key !== "") {
    headers["idempotency-key"] = req.key;
  }
  if (req.crashes) {
    headers[CRASH_HEADER] = "1";
  }
  try {
    const res = await dispatcher.request({
      origin: undefined,
      path: req.path,
      method: kind.method,
      headers,
      body: req.body.length === 0 ? null : req.body,
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    const body = Buffer.from(await res.body.arrayBuffer());
    return res.statusCode === 200
      ? verify(req, body)
      : readRefusal(res.statusCode, res.headers, body);
  } catch (err) {
    return readError(err as Error & { code?: string });
  }
}

function verify(req: CallerRequest, body: Buffer): AttemptResult {
  const digest = digestOf({
    method: req.kind.method,
    path: req.path,
    key: req.key,
    body: req.body,
  });
  const whole = answerOf(digest, req.kind.answerBytes);
  if (body.equals(whole)) {
    return { kind: "served" };
  }
  const isStart = whole.subarray(0, body.length).equals(body);
  return { kind: "answered-wrongly", fault: isStart ? "partial" : "wrong" };
}

function readRefusal(
  status: number,
  headers: Record<string, string | string[] | undefined>,
  body: Buffer,
): AttemptResult {
  const said = headers["poplarthread-outcome"];
  const after = Number(headers["retry-after"]);
  return {
    kind: "refused",
    status,
    reason: reasonOf(body) ?? String(status),
    outcome: said === "not-run" || said === "unknown" ? said : "unsaid",
    retryAfterMs: Number.isFinite(after) ? after * 1_000 : undefined,
  };
}

function reasonOf(body: Buffer): string | undefined {
  try {
    const { reason } = JSON.parse(body.toString("utf8")) as { reason?: string };
    return reason;
  } catch {
    // Targets answer in their own words, which need not be JSON.
    return undefined;
  }
}

function readError(err: Error & { code?: string }): AttemptResult {
  const code = err.code ?? err.message;
  return NOT_SENT.has(code)
    ? { kind: "not-taken" }
    : { kind: "broken", reason: code };
}
