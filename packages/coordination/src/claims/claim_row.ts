/**
 * The table row of a request with an idempotency key.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Brand, IdempotencyKey, InstanceId } from "@poplarthread/ids";
import { ABSENT, type Json, type Row } from "../table.ts";

/** Identifies a keyed request on all VMs: a digest of its scope and key. */
export type ClaimId = Brand<"ClaimId">;
/** Identifies one attempt at a keyed request, as received by one instance. Never reused. */
export type AttemptId = Brand<"AttemptId">;

/** Key prefix of claim rows. */
export const CLAIM_PREFIX = "claim/";

/** A response as stored for duplicates of its request. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  /** Body in base64, since the table stores JSON and a body may hold any bytes. */
  readonly bodyBase64: string;
}

/** State of the request. */
export type ClaimRecord =
  /** Claimed by an attempt that may run it at any time. */
  | { readonly kind: "claimed" }
  /** Ran, with this response. */
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  /** Ran, but its response exceeded the size limit for storing. */
  | { readonly kind: "answered-unkept"; readonly status: number }
  /** Was sent to a target; whether it ran is unknown. */
  | { readonly kind: "unknown" }
  /** That attempt never ran and never will: another may claim the request. */
  | { readonly kind: "abandoned" };

/** Value of `claim/ID`. */
export interface ClaimRow {
  readonly attempt: AttemptId;
  readonly instance: InstanceId;
  /** Digest of method, path and body, to detect reuse of a key for another request. */
  readonly bodyDigest: string;
  /** Wall-clock time in ms on the claiming VM; used only for the expiry after a day. */
  readonly claimedAt: number;
  readonly record: ClaimRecord;
}

/** The claim for a caller's key. Equal keys in different scopes give different claims. */
export function claimId(scope: string, key: IdempotencyKey): ClaimId {
  const text = JSON.stringify([scope, key]);
  return createHash("sha256").update(text).digest("hex") as ClaimId;
}

/** Row key of a claim. */
export function claimKey(claim: ClaimId): string {
  return CLAIM_PREFIX + claim;
}

/** Decodes a row; undefined if the request is unclaimed. */
export function claimOf(row: Row): ClaimRow | undefined {
  return row.version === ABSENT ? undefined : row.value as unknown as ClaimRow;
}

/** The claim as a table value. */
export function claimJson(claim: ClaimRow): Json {
  return claim as unknown as Json;
}
