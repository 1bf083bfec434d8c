/**
 * Merges the homes of an object that two owners assigned, or that a VM used before
 * its owner was replaced.
 *
 * @module
 */

import { pairWeight } from "../hash.ts";
import { MAX_HOMES } from "./home_record.ts";
import type { ObjectHomes } from "./messages.ts";

/**
 * The homes of both in rendezvous order, so that the result does not depend on which
 * was known first. Surplus ones are dropped later if they are not needed.
 */
export function mergeHomes(
  homes: readonly number[],
  { object, targets }: ObjectHomes,
): readonly number[] {
  const all = [...new Set([...homes, ...targets])];
  return all
    .sort((a, b) => pairWeight(object, b) - pairWeight(object, a))
    .slice(0, MAX_HOMES);
}
