/**
 * What a VM's copy of the homes holds for one object.
 *
 * @module
 */

import type { HomesLookup } from "./home_source.ts";

/** What the VM knows of one object. Times are milliseconds of the monotonic clock. */
export interface KnownObject {
  /** As the owner named them. */
  homes: readonly number[];
  /** The lookup result for the targets of the given generation. */
  lookup: HomesLookup | undefined;
  generation: number;
  /** Time of the last request; 0 if no caller asked this VM for the object. */
  workMs: number;
  addedAt: number;
  usedAt: number;
  /** Until when the object has no homes, as the owner said. */
  noHomesUntil: number;
  /** The query that waits for an answer. */
  pending: (HomesLookup & { readonly kind: "pending" }) | undefined;
  queriedAt: number;
  /** When the owner named its first homes because another VM had asked for them. */
  askedElsewhereAt: number | undefined;
  extendedAt: number;
}

/** An object that is not known to have homes. */
export function newKnownObject(now: number): KnownObject {
  return {
    homes: [],
    lookup: undefined,
    generation: -1,
    workMs: 0,
    addedAt: now,
    usedAt: now,
    noHomesUntil: -Infinity,
    pending: undefined,
    queriedAt: -Infinity,
    askedElsewhereAt: undefined,
    extendedAt: -Infinity,
  };
}
