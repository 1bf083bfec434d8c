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
  readonly object: number;
  /** Where this VM is. */
  readonly from: Place;
  /** Whether the object has a home in this VM's region. */
  readonly isHomeHere: boolean;
}

/** What has a place in an order. */
interface Holder {
  readonly target: PlacedTarget;
}

/** Whether an object has a home in a region that is home to `share` of all objects, 0 to 1. */
export function hasHome(
  object: number,
  region: RegionId,
  share: number,
): boolean {
  return pairWeight(object, hashText(region)) / 2 ** 32 < share;
}

/**
 * Sorts what holds targets in the order in which they are used for an object. The
 * first one is its home, in the region of this VM if the object has a home there;
 * the next ones take what the home has no room for.
 */
export function agreedOrder<T extends Holder>(
  holders: readonly T[],
  basis: AgreedOrderBasis,
): readonly T[] {
  const weighed = holders.map((holder) => ({
    holder,
    weight: orderWeight(holder, basis),
  }));
  weighed.sort((a, b) => b.weight - a.weight);
  return weighed.map(({ holder }) => holder);
}

/**
 * The first `most` of {@link agreedOrder}. Sorting some hundred targets takes twenty
 * times as long as finding the first of them, and each change of the list asks for
 * new orders.
 */
export function firstOfOrder<T extends Holder>(
  holders: readonly T[],
  basis: AgreedOrderBasis,
  most: number,
): readonly T[] {
  const first: T[] = [];
  const weights: number[] = [];
  for (const holder of holders) {
    const weight = orderWeight(holder, basis);
    if (first.length === most && weight <= weights[most - 1]!) {
      continue;
    }
    let at = Math.min(first.length, most - 1);
    for (; at > 0 && weights[at - 1]! < weight; at -= 1) {
      weights[at] = weights[at - 1]!;
      first[at] = first[at - 1]!;
    }
    weights[at] = weight;
    first[at] = holder;
  }
  return first;
}

/** Targets of the region come first, or last where it has no home for the object. */
function orderWeight(
  { target }: Holder,
  { object, from, isHomeHere }: AgreedOrderBasis,
): number {
  const weight = pairWeight(object, target.hash) / 2 ** 32;
  return target.region === from.region
    ? weight + (isHomeHere ? 1 : -1)
    : weight;
}
