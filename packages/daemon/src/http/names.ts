/**
 * Names of headers and paths that the daemon shares with callers and targets.
 *
 * @module
 */

/** Where callers ask which entry VMs to use. */
export const LOOKUP_PATH = "/.well-known/poplarthread/lookup";

/** Time left, in milliseconds: from the caller, and on to the target. */
export const DEADLINE_HEADER = "poplarthread-deadline-ms";
/** Id of the request, for logs of all sides. */
export const REQUEST_ID_HEADER = "poplarthread-request-id";
/** Entry VMs that the request has passed. */
export const HOPS_HEADER = "poplarthread-hops";
/** On a refusal: what became of this sending; `not-run` or `ran` only where that is true. */
export const OUTCOME_HEADER = "poplarthread-outcome";
/** On a refusal: `unknown` where an earlier sending of the same key may have run. */
export const EARLIER_HEADER = "poplarthread-earlier";
/** On an answer that was kept from an earlier sending of a keyed request. */
export const REPLAYED_HEADER = "poplarthread-replayed";
/** From a target that refused before running. */
export const NOT_RUN_HEADER = "poplarthread-not-run";
/** From a target that is draining. */
export const LEAVING_HEADER = "poplarthread-leaving";
/** Names a request that may run once only. */
export const KEY_HEADER = "idempotency-key";
