/**
 * Names of headers and paths that the daemon shares with callers and targets.
 *
 * @module
 */

/** Path at which callers look up which entry VMs to use. */
export const LOOKUP_PATH = "/.well-known/poplarthread/lookup";

/** Time left until the deadline, in milliseconds; sent by callers and to targets. */
export const DEADLINE_HEADER = "poplarthread-deadline-ms";
/** Id of the request, to correlate logs of caller, VM and target. */
export const REQUEST_ID_HEADER = "poplarthread-request-id";
/** Number of entry VMs that the request has passed through. */
export const HOPS_HEADER = "poplarthread-hops";
/** On a refusal: the outcome of the request; `not-run` or `ran` only if that is certain. */
export const OUTCOME_HEADER = "poplarthread-outcome";
/** On a refusal: `unknown` if an earlier request with the same key may have run. */
export const EARLIER_HEADER = "poplarthread-earlier";
/** Marks a response stored for an earlier request with the same key. */
export const REPLAYED_HEADER = "poplarthread-replayed";
/** Set by a target that refused a request without running it. */
export const NOT_RUN_HEADER = "poplarthread-not-run";
/** Set by a target that is draining. */
export const LEAVING_HEADER = "poplarthread-leaving";
/** Identifies a request that may run only once. */
export const KEY_HEADER = "idempotency-key";
