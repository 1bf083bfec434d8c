/**
 * Rendezvous order: the order in which all VMs of a region use the targets of a
 * service for an object. Each VM computes the same order without exchanging
 * messages.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import { hashText, pairWeight } from "./hash.ts";
import type { Location, PlacedTarget } from "./target.ts";

/** Parameters of a rendezvous order. */
export interface RendezvousOrderParams {
  readonly object: number;
  /** Location of this VM. */
  readonly from: Location;
  /** Whether the object has a home in this VM's region. */
  readonly isHomeHere: boolean;
}

/** An item that can be ordered by its target. */
interface HasTarget {
  readonly target: PlacedTarget;
}

/**
 * Whether the object has a home in a region that is home to the given share of all
 * objects, 0 to 1.
 */
export function hasHome(
  object: number,
  region: RegionId,
  share: number,
): boolean {
  return pairWeight(object, hashText(region)) / 2 ** 32 < share;
}

/**
 * Sorts entries into the rendezvous order of an object. The first one is the
 * object's home, which is in this VM's region if the object has a home there. The
 * following ones take the requests that the home has no capacity for.
 */
export function rendezvousOrder<T extends HasTarget>(
  entries: readonly T[],
  params: RendezvousOrderParams,
): readonly T[] {
  const scored = entries.map((entry) => ({
    entry,
    weight: orderWeight(entry, params),
  }));
  scored.sort((a, b) => b.weight - a.weight);
  return scored.map(({ entry }) => entry);
}

/**
 * The first `count` entries of {@link rendezvousOrder}. Sorting several hundred
 * targets takes twenty times as long as selecting the first of them, and each
 * change of the target list invalidates the orders.
 */
export function firstInOrder<T extends HasTarget>(
  entries: readonly T[],
  params: RendezvousOrderParams,
  count: number,
): readonly T[] {
  const first: T[] = [];
  const weights: number[] = [];
  for (const entry of entries) {
    const weight = orderWeight(entry, params);
    if (first.length === count && weight <= weights[count - 1]!) {
      continue;
    }
    let at = Math.min(first.length, count - 1);
    for (; at > 0 && weights[at - 1]! < weight; at -= 1) {
      weights[at] = weights[at - 1]!;
      first[at] = first[at - 1]!;
    }
    weights[at] = weight;
    first[at] = entry;
  }
  return first;
}

/**
 * Targets of this VM's region sort first, or last if the object has no home in this
 * region.
 */
function orderWeight(
  { target }: HasTarget,
  { object, from, isHomeHere }: RendezvousOrderParams,
): number {
  const weight = pairWeight(object, target.hash) / 2 ** 32;
  return target.region === from.region
    ? weight + (isHomeHere ? 1 : -1)
    : weight;
}
