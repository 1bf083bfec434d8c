/**
 * What repeats of a request have in common.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { Fingerprint } from "@poplarthread/coordination/held_back";

/** Length of a digest in base64 characters: enough to distinguish some thousand requests. */
const DIGEST_CHARACTERS = 12;
const CALLER_CHARACTERS = 6;

/** The parts of a request by which its repeats are recognized. */
export interface RepeatedParts {
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  /** The object that the request concerns, as named by its caller. */
  readonly object: string | undefined;
  /** Empty if there is none; undefined if it is streamed. */
  readonly body: Buffer | undefined;
  /** Length of a streamed body, which tells those apart; -1 if it is not given. */
  readonly bodyBytes: number;
  /** The sender's account or address. */
  readonly caller: string;
}

/**
 * Two fingerprints: of the request whoever sends it, and of the request of this caller.
 * The first one recognizes a caller that uses several addresses; the second one is not
 * cleared when others succeed with the same request.
 */
export function fingerprintsOf(parts: RepeatedParts): readonly Fingerprint[] {
  const { host, method, url, object, body, caller } = parts;
  // Repeats may have a length or come in chunks.
  const streamedBytes = body === undefined ? parts.bodyBytes : null;
  const hash = createHash("sha1")
    .update(JSON.stringify([host, method, url, object ?? null, streamedBytes]));
  if (body !== undefined) {
    hash.update(body);
  }
  const request = hash.digest("base64").slice(0, DIGEST_CHARACTERS);
  const sender = createHash("sha1").update(caller).digest("base64")
    .slice(0, CALLER_CHARACTERS);
  return [request, `${request}+${sender}`] as Fingerprint[];
}
