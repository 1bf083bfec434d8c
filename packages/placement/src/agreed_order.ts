/**
 * The order in which all VMs of a region use the targets of a service for an
 * object, computed alike without a message.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import { hashText, pairWeight } from "./hash.ts";
import type { Place, PlacedTarget } from "./target.ts";

/** What an order is computed from. */
export interface AgreedOrderBasis {
  /** Where this VM is. */
  readonly from: Place;
  /** Share of the objects that have a home in each region; 1 where it is missing. */
  readonly homeShares: ReadonlyMap<RegionId, number>;
}

/**
 * Sorts what holds targets in the order in which they are used for an object. The
 * first one is its home, in the region of this VM if the object has a home there;
 * the next ones take what the home has no room for.
 */
export function agreedOrder<T extends { readonly target: PlacedTarget }>(
  object: number,
  holders: readonly T[],
  { from, homeShares }: AgreedOrderBasis,
): readonly T[] {
  const isHomeHere = hasHome(object, from.region, homeShares);
  const weighed = holders.map((holder) => ({
    holder,
    // Targets of this region come first, or last where it has no home for the object.
    weight: pairWeight(object, holder.target.hash) / 2 ** 32 +
      (holder.target.region === from.region ? (isHomeHere ? 1 : -1) : 0),
  }));
  weighed.sort((a, b) => b.weight - a.weight);
  return weighed.map(({ holder }) => holder);
}

function hasHome(
  object: number,
  region: RegionId,
  shares: ReadonlyMap<RegionId, number>,
): boolean {
  const position = pairWeight(object, hashText(region)) / 2 ** 32;
  return position < (shares.get(region) ?? 1);
}
