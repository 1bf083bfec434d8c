/**
 * Chooses the VM to which a VM that reaches no target forwards a request.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { Location } from "@poplarthread/placement";
import type { Member } from "../ports.ts";

/** How long a VM that failed a forwarded request gets no others: until its heartbeats would be missed. */
const BACK_OFF_MS = 3_000;

/** The request to choose a VM for. */
export interface PeerDemand {
  /** Regions in which the request may run; empty for all. */
  readonly regions: readonly RegionId[];
  /** VMs that it was already forwarded to. */
  readonly tried: ReadonlySet<VmId>;
}

/**
 * Takes VMs of the own region in turn, others only if there are none. It does not prefer
 * those of the own zone: all VMs of a zone but one may be cut off, and that one could not
 * serve their callers alone. Times are milliseconds of the monotonic clock.
 */
export class PeerChoice {
  readonly #from: Location;
  readonly #backOffUntil = new Map<VmId, number>();
  #turn = 0;

  /** `from` is the location of the local VM. */
  constructor(from: Location) {
    this.#from = from;
  }

  /** The VM to use among `peers`, which are up and reach targets; undefined if there is none. */
  next(
    peers: readonly Member[],
    { regions, tried }: PeerDemand,
    now: number,
  ): Member | undefined {
    const usable = peers.filter(({ vm, region }) =>
      !tried.has(vm) && now >= (this.#backOffUntil.get(vm) ?? 0) &&
      (regions.length === 0 || regions.includes(region))
    );
    const near = usable.filter(({ region }) => region === this.#from.region);
    const candidates = near.length > 0 ? near : usable;
    this.#turn += 1;
    return candidates[this.#turn % candidates.length];
  }

  /** Uses the VM no more for a while: it did not respond. */
  backOff(vm: VmId, now: number): void {
    this.#backOffUntil.set(vm, now + BACK_OFF_MS);
  }
}
