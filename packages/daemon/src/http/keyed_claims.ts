/**
 * Claims of keyed requests, in the words of the callers' path.
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
  StoredAnswer,
} from "@poplarthread/coordination";
import type { CallerId, IdempotencyKey } from "@poplarthread/ids";
import { REPLAYED_HEADER } from "./names.ts";
import type { RefusalReason, RequestOutcome } from "./refusal.ts";

/** A claim that was granted. It has to be ended exactly once. */
export interface KeyedClaim {
  /** To be asked right before the first byte is sent. */
  mayDispatch(): boolean;
  end(outcome: RunOutcome): void;
}

/** What a keyed request may do. */
export type ClaimAnswer =
  | { readonly kind: "granted"; readonly claim: KeyedClaim }
  /** It ran before, and this was its whole answer. */
  | {
    readonly kind: "replay";
    readonly status: number;
    readonly lines: string[];
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

/** One sending of a keyed request. */
export interface ClaimRequest {
  /** Whose key it is. */
  readonly scope: string;
  readonly key: IdempotencyKey;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | string | null;
  readonly timeLeftMs: number;
}

/** Decides on keyed requests. */
export interface KeyedClaims {
  claim(req: ClaimRequest): Promise<ClaimAnswer>;
}

/** Keys of two callers never meet. */
export function keyScope(caller: CallerId): string {
  return caller;
}

/** Claims through the table. */
export class TableClaims implements KeyedClaims {
  readonly #claims: RequestClaims;

  constructor(claims: RequestClaims) {
    this.#claims = claims;
  }

  async claim(req: ClaimRequest): Promise<ClaimAnswer> {
    const outcome = await this.#claims.claim({
      scope: req.scope,
      key: req.key,
      bodyDigest: digest(req),
      timeLeftMs: req.timeLeftMs,
    });
    return toAnswer(outcome);
  }
}

function digest(req: ClaimRequest): string {
  return createHash("sha256")
    .update(`${req.method} ${req.path}\n`)
    .update(req.body ?? "")
    .digest("base64url");
}

function toAnswer(outcome: ClaimOutcome): ClaimAnswer {
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

function replay(answer: StoredAnswer): ClaimAnswer {
  const body = Buffer.from(answer.bodyBase64, "base64");
  const kept = answer.headers.filter(([name]) => name !== "content-length");
  const length = ["content-length", String(body.length)];
  return {
    kind: "replay",
    status: answer.status,
    lines: [...kept.flat(), ...length, REPLAYED_HEADER, "1"],
    body,
  };
}

function fromRefusal(
  refusal: ClaimRefusal,
  retryAfterMs: number | undefined,
): ClaimAnswer {
  const later = retryAfterMs === undefined ? {} : { retryAfterMs };
  switch (refusal.kind) {
    case "answered":
      return replay(refusal.answer);
    case "answered-unkept":
      return {
        kind: "refused",
        reason: "ran-before",
        message:
          `it ran before, with status ${refusal.status}; its answer was too large to keep`,
        outcome: "ran",
        earlierUnknown: false,
      };
    case "key-reused":
      return {
        kind: "refused",
        reason: "key-reused",
        message: "the idempotency key was used for another request",
        outcome: "not-run",
        earlierUnknown: false,
      };
    case "unknown":
      return {
        kind: "refused",
        reason: "outcome-unknown",
        message: "an earlier sending of it may have run",
        outcome: "unknown",
        earlierUnknown: true,
        ...later,
      };
    case "running":
      return {
        kind: "refused",
        reason: "still-running",
        message: "an earlier sending of it still runs",
        outcome: "unknown",
        earlierUnknown: true,
        ...later,
      };
    case "not-run":
      return {
        kind: "refused",
        reason: "claim-refused",
        message: "the table that keeps such requests single is out of reach",
        outcome: "not-run",
        earlierUnknown: refusal.proof === "this-sending",
        ...later,
      };
  }
}
