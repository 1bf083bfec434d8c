/**
 * The work that callers ask for and targets do: what the whole answer to a
 * request looks like, so that a caller can tell a part, or another request's
 * answer, from its own.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/**
 * Header that names one attempt of a caller, unique over all callers. Targets
 * count the attempts they ran, callers those that were refused: an attempt in
 * both was refused falsely.
 */
export const ATTEMPT_HEADER = "standin-attempt";
/** Header that makes a target crash when it runs the request. */
export const CRASH_HEADER = "standin-crash";
/** Header with the size of the answer that the caller wants, in bytes. */
export const ANSWER_BYTES_HEADER = "standin-answer-bytes";
/** Header with the time that the work takes on a warm target, in milliseconds. */
export const WORK_MS_HEADER = "standin-work-ms";

/** Most bytes of an answer; keeps a mistyped header from filling the memory. */
export const MAX_ANSWER_BYTES = 16_777_216;

/** What makes a request the request it is. */
export interface RequestParts {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Idempotency key; empty where there is none. */
  readonly key: string;
  readonly body: Buffer;
}

/** Digest of a request, in hexadecimal. */
export function digestOf(parts: RequestParts): string {
  return createHash("sha256")
    .update(`${parts.method}\n${parts.path}\n${parts.key}\n`)
    .update(parts.body)
    .digest("hex");
}

/** The whole answer to a request: its digest, repeated up to `bytes`. */
export function answerOf(digest: string, bytes: number): Buffer {
  const size = Math.min(Math.max(bytes, digest.length), MAX_ANSWER_BYTES);
  return Buffer.alloc(size, digest, "latin1");
}
