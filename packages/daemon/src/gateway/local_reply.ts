/**
 * Local replies: responses that the gateway makes itself instead of a target.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

/** Retry-After of a request that was refused since its VM stops: other VMs are ready. */
export const LEAVING_RETRY_MS = 0;

/** Why a request gets a local reply. */
export type LocalReplyReason =
  /** This VM knows no configuration yet. */
  | "not-ready"
  /** The request has no key, or one that belongs to no account. */
  | "unauthenticated"
  /** The account and the route have no region in common. */
  | "not-allowed"
  /** This VM's account data may be too old to tell which keys are valid. */
  | "accounts-unknown"
  /** The account has used up its quota. */
  | "over-quota"
  /** No target of the service is usable. */
  | "no-target"
  /** The response would come too late. */
  | "overload"
  /** The request had waited so long to be read that its caller may have given up. */
  | "read-late"
  /** Its connection, or all of them, have too many requests without a response. */
  | "too-many-open"
  /** This VM stops, and may end before the request does. */
  | "leaving"
  /** This VM has no memory for the response. */
  | "memory-used-up"
  /** The deadline passed before the request was sent to a target. */
  | "expired-unsent"
  /** Targets refused the request, and it may not be retried. */
  | "refused-by-targets"
  /** Targets crashed under this request. */
  | "held-back"
  /** The deadline passed after the request was sent to a target. */
  | "timeout"
  /** A target may have run the request, but no complete response arrived. */
  | "broken"
  | "no-route"
  | "malformed"
  | "body-too-large"
  | "slow-body";

/**
 * HTTP status codes. 503, 429 and 408 promise that the request has not run and never
 * will; 502 and 504 promise nothing.
 */
const STATUS_CODES: Readonly<Record<LocalReplyReason, number>> = {
  "not-ready": 503,
  "unauthenticated": 401,
  "not-allowed": 403,
  "accounts-unknown": 503,
  "over-quota": 429,
  "no-target": 503,
  "overload": 503,
  "read-late": 503,
  "too-many-open": 503,
  "leaving": 503,
  "memory-used-up": 503,
  "expired-unsent": 503,
  "refused-by-targets": 503,
  "held-back": 503,
  "timeout": 504,
  "broken": 502,
  "no-route": 404,
  "malformed": 400,
  "body-too-large": 413,
  "slow-body": 408,
};

/** The HTTP status code of a local reply. */
export function statusOf(reason: LocalReplyReason): number {
  return STATUS_CODES[reason];
}

/** On a reply to a request from another VM: the {@link LocalReplyReason}. */
export const LOCAL_REPLY_HEADER = "poplarthread-local-reply";

/** Whether `text` is the reason of a local reply. */
export function isLocalReplyReason(text: string): text is LocalReplyReason {
  return Object.hasOwn(STATUS_CODES, text);
}

/** Whether the status code of a local reply promises that the request has not run and never will. */
export function promisesNotRun(reason: LocalReplyReason): boolean {
  const status = STATUS_CODES[reason];
  return status !== 502 && status !== 504;
}

/** How a local reply is sent. */
export interface LocalReplyOptions {
  readonly retryAfterMs: number | undefined;
  /** Whether it is the last on its connection. */
  readonly closesConnection: boolean;
  /** Whether the request was forwarded by another VM, which learns the reason. */
  readonly isForPeer?: boolean;
}

/** Sends a local reply. */
export function sendLocalReply(
  res: ServerResponse,
  reason: LocalReplyReason,
  options: LocalReplyOptions,
): void {
  const headers = ["content-length", "0"];
  if (options.isForPeer) {
    headers.push(LOCAL_REPLY_HEADER, reason);
  }
  if (options.retryAfterMs !== undefined) {
    headers.push("retry-after", (options.retryAfterMs / 1_000).toFixed(3));
  }
  if (reason === "unauthenticated") {
    headers.push("www-authenticate", "Bearer");
  }
  if (options.closesConnection) {
    headers.push("connection", "close");
  }
  res.writeHead(STATUS_CODES[reason], headers);
  res.end();
}
