/**
 * Headers and response bodies that callers and targets agree on. The expected
 * body follows from the request, so a caller can detect a truncated response or
 * one that belongs to another request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/**
 * Header with the name of an attempt, unique across all callers. Targets record
 * the attempts that they ran, callers those refused as not run: an attempt in
 * both records was wrongly reported as not run.
 */
export const ATTEMPT_HEADER = "standin-attempt";
/** Header that makes a target crash when it runs the request. */
export const CRASH_HEADER = "standin-crash";
/** Header with the size of the requested response body, in bytes. */
export const RESPONSE_BYTES_HEADER = "standin-answer-bytes";
/** Header with the duration of the work on a warm target, in milliseconds. */
export const WORK_MS_HEADER = "standin-work-ms";

/** Largest response body; prevents a mistyped header from exhausting memory. */
export const MAX_RESPONSE_BYTES = 16_777_216;

/** The parts of a request that its response depends on. */
export interface RequestContent {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Idempotency key; empty if there is none. */
  readonly key: string;
  readonly body: Buffer;
}

/** Returns the hexadecimal SHA-256 digest of a request. */
export function requestDigest(content: RequestContent): string {
  return createHash("sha256")
    .update(`${content.method}\n${content.path}\n${content.key}\n`)
    .update(content.body)
    .digest("hex");
}

/** Returns the complete response body: the request's digest, repeated to fill `bytes`. */
export function responseBody(digest: string, bytes: number): Buffer {
  const size = Math.min(Math.max(bytes, digest.length), MAX_RESPONSE_BYTES);
  return Buffer.alloc(size, digest, "latin1");
}
