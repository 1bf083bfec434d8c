/**
 * Claims of keyed requests, with their outcomes translated into responses for
 * callers.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type {
  ClaimOutcome,
  ClaimRefusal,
  RequestClaims,
  RunOutcome,
  StoredResponse,
} from "@poplarthread/coordination";
import type { CallerId, IdempotencyKey } from "@poplarthread/ids";
import { REPLAYED_HEADER } from "./names.ts";
import type { RefusalReason, RequestOutcome } from "./refusal.ts";

/** A granted claim. It must be ended exactly once. */
export interface KeyedClaim {
  /** Must be called right before the first byte is sent; false forbids sending. */
  mayDispatch(): boolean;
  end(outcome: RunOutcome): void;
}

/** Result of claiming the key of a request. */
export type ClaimResult =
  | { readonly kind: "granted"; readonly claim: KeyedClaim }
  /** The request ran before; this is its complete response. */
  | {
    readonly kind: "replay";
    readonly status: number;
    readonly rawHeaders: string[];
    readonly body: Buffer;
  }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly message: string;
    readonly outcome: RequestOutcome;
    readonly earlierUnknown: boolean;
    readonly retryAfterMs?: number;
  };

/** A keyed request as one caller sent it. */
export interface ClaimRequest {
  /** Namespace of the key; see {@link keyScope}. */
  readonly scope: string;
  readonly key: IdempotencyKey;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | string | null;
  readonly timeLeftMs: number;
}

/** Decides whether keyed requests may run. */
export interface KeyedClaims {
  claim(req: ClaimRequest): Promise<ClaimResult>;
}

/** Each caller has its own namespace of keys, so keys of two callers never collide. */
export function keyScope(caller: CallerId): string {
  return caller;
}

/** Claims keys in the table. */
export class TableClaims implements KeyedClaims {
  readonly #claims: RequestClaims;

  constructor(claims: RequestClaims) {
    this.#claims = claims;
  }

  async claim(req: ClaimRequest): Promise<ClaimResult> {
    const outcome = await this.#claims.claim({
      scope: req.scope,
      key: req.key,
      bodyDigest: digest(req),
      timeLeftMs: req.timeLeftMs,
    });
    return toClaimResult(outcome);
  }
}

function digest(req: ClaimRequest): string {
  return createHash("sha256")
    .update(`${req.method} ${req.path}\n`)
    .update(req.body ?? "")
    .digest("base64url");
}

function toClaimResult(outcome: ClaimOutcome): ClaimResult {
  switch (outcome.kind) {
    case "granted": {
      const { grant } = outcome;
      return {
        kind: "granted",
        claim: {
          mayDispatch: () => grant.dispatch(),
          end: (end) => grant.end(end),
        },
      };
    }
    case "refused":
      return fromRefusal(outcome.refusal, outcome.retryAfterMs);
  }
}

function toReplay(answer: StoredResponse): ClaimResult {
  const body = Buffer.from(answer.bodyBase64, "base64");
  const headers = answer.headers.filter(([name]) => name !== "content-length");
  const contentLength = ["content-length", String(body.length)];
  return {
    kind: "replay",
    status: answer.status,
    rawHeaders: [...headers.flat(), ...contentLength, REPLAYED_HEADER, "1"],
    body,
  };
}

function fromRefusal(
  refusal: ClaimRefusal,
  retryAfterMs: number | undefined,
): ClaimResult {
  const retryAfter = retryAfterMs === undefined ? {} : { retryAfterMs };
  switch (refusal.kind) {
    case "answered":
      return toReplay(refusal.answer);
    case "answered-unkept":
      return {
        kind: "refused",
        reason: "ran-before",
        message:
          `the request ran before with status ${refusal.status}; its response was too large to store`,
        outcome: "ran",
        earlierUnknown: false,
      };
    case "key-reused":
      return {
        kind: "refused",
        reason: "key-reused",
        message: "the idempotency key was used for a different request",
        outcome: "not-run",
        earlierUnknown: false,
      };
    case "unknown":
      return {
        kind: "refused",
        reason: "outcome-unknown",
        message: "an earlier request with this idempotency key may have run",
        outcome: "unknown",
        earlierUnknown: true,
        ...retryAfter,
      };
    case "running":
      return {
        kind: "refused",
        reason: "still-running",
        message:
          "an earlier request with this idempotency key is still running",
        outcome: "unknown",
        earlierUnknown: true,
        ...retryAfter,
      };
    case "not-run":
      return {
        kind: "refused",
        reason: "claim-refused",
        message: "cannot claim the idempotency key: the table is unreachable",
        outcome: "not-run",
        earlierUnknown: refusal.proof === "this-sending",
        ...retryAfter,
      };
  }
}
