/**
 * A lease with a fencing token.
 *
 * @module
 */

export { type FencedResult, Lease } from "./lease.ts";
export { fence, type LeaseContender } from "./lease_core.ts";
