/**
 * The row of one keyed request in the table.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Brand, IdempotencyKey, InstanceId } from "@poplarthread/ids";
import { ABSENT, type Json, type Row } from "../table.ts";

/** Names a keyed request in all VMs: a digest of the key and of who used it. */
export type ClaimId = Brand<"ClaimId">;
/** One sending of a keyed request, as one instance took it in. Never used twice. */
export type AttemptId = Brand<"AttemptId">;

/** Prefix of the claims' keys. */
export const CLAIM_PREFIX = "claim/";

/** An answer as it is kept for repeats. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  /** Body in base64, so that any bytes survive. */
  readonly bodyBase64: string;
}

/** What became of the request. */
export type ClaimRecord =
  /** Taken by an attempt that may run it at any moment. */
  | { readonly kind: "claimed" }
  /** Ran, and this was its answer. */
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  /** Ran, but its answer was larger than what is kept. */
  | { readonly kind: "answered-unkept"; readonly status: number }
  /** Was sent; nobody knows whether it ran. */
  | { readonly kind: "unknown" }
  /** Never ran and that attempt never will: free for the next one. */
  | { readonly kind: "abandoned" };

/** Value of `claim/ID`. */
export interface ClaimRow {
  readonly attempt: AttemptId;
  readonly instance: InstanceId;
  /** Digest of method, path and body: the same key with another body is a mistake. */
  readonly bodyDigest: string;
  /** Wall-clock ms of the VM that claimed; only for the expiry after a day. */
  readonly claimedAt: number;
  readonly record: ClaimRecord;
}

/** The claim that a caller's key names. Keys of different callers never meet. */
export function claimId(scope: string, key: IdempotencyKey): ClaimId {
  const text = JSON.stringify([scope, key]);
  return createHash("sha256").update(text).digest("hex") as ClaimId;
}

/** Key of the row of a claim. */
export function claimKey(claim: ClaimId): string {
  return CLAIM_PREFIX + claim;
}

/** What the row says; undefined while nobody claimed. */
export function claimOf(row: Row): ClaimRow | undefined {
  return row.version === ABSENT ? undefined : row.value as unknown as ClaimRow;
}

/** A row's value as the table takes it. */
export function claimJson(claim: ClaimRow): Json {
  return claim as unknown as Json;
}
