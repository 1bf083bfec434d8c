/**
 * Request claims: keyed requests that run at most once.
 *
 * @module
 */

export type {
  ClaimRefusal,
  HolderAnswer,
  NotRunProof,
  RunOutcome,
} from "./attempt.ts";
export type { BatchOptions } from "./batch.ts";
export type { AttemptId, ClaimId, StoredAnswer } from "./claim_row.ts";
export {
  type ClaimGrant,
  type ClaimHolders,
  type ClaimOutcome,
  type HolderQuestion,
  type KeyedRequest,
  RequestClaims,
  type RequestClaimsOptions,
} from "./claims.ts";
export { ClaimSweep, type ClaimSweepOptions } from "./sweep.ts";
export {
  type Ticket,
  TicketOffice,
  type TicketOfficeOptions,
  type TicketOutcome,
  type TicketSending,
} from "./tickets.ts";
