/**
 * Request claims: at-most-once execution of requests with an idempotency key.
 *
 * @module
 */

export type {
  ClaimRefusal,
  HolderResponse,
  NotRunProof,
  RunOutcome,
} from "./attempt.ts";
export type { BatchOptions } from "./batch.ts";
export type { AttemptId, ClaimId, StoredResponse } from "./claim_row.ts";
export {
  type ClaimGrant,
  type ClaimHolders,
  type ClaimOutcome,
  type HolderQuery,
  type KeyedRequest,
  RequestClaims,
  type RequestClaimsOptions,
} from "./claims.ts";
export { ClaimSweep, type ClaimSweepOptions } from "./sweep.ts";
export {
  type Ticket,
  type TicketAttempt,
  TicketIssuer,
  type TicketIssuerOptions,
  type TicketOutcome,
} from "./tickets.ts";
