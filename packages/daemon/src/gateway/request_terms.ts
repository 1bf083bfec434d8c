/**
 * What a request and its route determine together: its deadline and its object.
 *
 * @module
 */

import { hashText } from "@poplarthread/placement";
import type { Route } from "./configuration.ts";
import type { CallerRequest } from "./ports.ts";

/** Part of the caller's deadline reserved for the response to travel back. */
const RESPONSE_TRANSIT_MS = 5;

/** When a request that arrives at `now` must have its response. */
export function expiryOf(
  { deadlineMs }: CallerRequest,
  { timeoutMs }: Route,
  now: number,
): number {
  const leftMs = deadlineMs === undefined
    ? timeoutMs
    : Math.min(deadlineMs - RESPONSE_TRANSIT_MS, timeoutMs);
  return now + Math.max(1, leftMs);
}

/** Hash of the object that a request concerns; undefined if the route has no affinity. */
export function objectOf(
  { object }: CallerRequest,
  { hasAffinity, host, prefix }: Route,
): number | undefined {
  return hasAffinity && object !== undefined
    ? hashText(`${host}${prefix}${object}`)
    : undefined;
}
