/**
 * Whether a VM waits for what its relay is reading.
 *
 * @module
 */

import type { ReadingArrival } from "./relay.ts";

/** Longest time from a change to the end of a relay's read of it that is waited for: others could be asked in time after that. */
const MAX_READING_MS = 1_900;
/** How long a large change takes at least to be read from the store, on the narrowest link. */
const STORE_READ_MS = 400;

/** Whether another source would hardly be faster, or may still be asked afterwards. */
export function isWorthWaiting({ forMs, leftMs }: ReadingArrival): boolean {
  return forMs + leftMs <= MAX_READING_MS || leftMs <= STORE_READ_MS;
}
