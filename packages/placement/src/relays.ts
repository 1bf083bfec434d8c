/**
 * Decides which VMs relay changes of the platform's store to others.
 *
 * In a large fleet the store's load has to be limited: calls are paid for one by
 * one, and if each VM waited for changes itself, most calls would return none. So
 * one VM of each region queries the store, and the others query that VM.
 *
 * All VMs compute the same ranking. A VM queries only VMs that rank above it, so
 * that two VMs with different views of the fleet never wait for each other.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";

/** A VM that can relay changes. */
export interface RelayCandidate {
  readonly vm: VmId;
  readonly region: RegionId;
  /** Number of CPU cores. */
  readonly cores: number;
  /** Hash of the VM's name. */
  readonly hash: number;
}

/**
 * Relays that one VM may query. With two, if the first one fails, only the second
 * one starts to query the store.
 */
const MAX_RELAYS = 2;

/**
 * Relays in its region that `self` may query, best first; none if it must query the
 * store itself.
 */
export function relaysFor<T extends RelayCandidate>(
  self: RelayCandidate,
  reachable: readonly T[],
): readonly T[] {
  return rankedAbove(
    self,
    reachable.filter(({ region }) => region === self.region),
  )
    .slice(0, MAX_RELAYS);
}

/** Fallback peers in each region. */
const MAX_FALLBACKS_PER_REGION = 2;

/**
 * Fallback peers that `self` may query while the store refuses its calls and it has
 * no relay, best first. They rank below `self` or are in other regions, so they may
 * be querying it at the same time: it must not wait for anything that they wait
 * for.
 */
export function fallbacksFor<T extends RelayCandidate>(
  self: RelayCandidate,
  reachable: readonly T[],
): readonly T[] {
  const others = reachable
    .filter((one) => compareRank(one, self) > 0 || one.region !== self.region)
    .toSorted(compareRank);
  const regions = new Set([self.region, ...others.map(({ region }) => region)]);
  return [...regions].flatMap((region) =>
    others.filter((one) => one.region === region).slice(
      0,
      MAX_FALLBACKS_PER_REGION,
    )
  );
}

/** The VMs that rank above `self`, best first. */
export function rankedAbove<T extends RelayCandidate>(
  self: RelayCandidate,
  vms: readonly T[],
): readonly T[] {
  return vms.filter((one) => compareRank(one, self) < 0).toSorted(compareRank);
}

/**
 * Sorts VMs with more cores first: a relay sends each change to all VMs of its
 * region.
 */
function compareRank(one: RelayCandidate, other: RelayCandidate): number {
  return other.cores - one.cores || one.hash - other.hash ||
    (one.vm < other.vm ? -1 : Number(one.vm > other.vm));
}
