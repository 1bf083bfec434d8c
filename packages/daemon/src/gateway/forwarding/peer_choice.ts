/**
 * Chooses the VM to which a VM that reaches no target forwards a request.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import type { Location } from "@poplarthread/placement";
import type { Member } from "../ports.ts";

/**
 * How long a VM that failed a forwarded request gets no others: until its next heartbeat,
 * as the request may have waited for its target, or until its heartbeats would be missed.
 */
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
  readonly #lastSeenAt: (vm: VmId) => number;
  /** When each VM last failed a forwarded request. */
  readonly #failedAt = new Map<VmId, number>();
  #turn = 0;

  /** `from` is the location of the local VM; `lastSeenAt` returns when a VM sent its last heartbeat. */
  constructor(from: Location, lastSeenAt: (vm: VmId) => number) {
    this.#from = from;
    this.#lastSeenAt = lastSeenAt;
  }

  /** The VM to use among `peers`, which are up and reach targets; undefined if there is none. */
  next(
    peers: readonly Member[],
    { regions, tried }: PeerDemand,
    now: number,
  ): Member | undefined {
    const usable = peers.filter(({ vm, region }) =>
      !tried.has(vm) && !this.#isBackedOff(vm, now) &&
      (regions.length === 0 || regions.includes(region))
    );
    const near = usable.filter(({ region }) => region === this.#from.region);
    const candidates = near.length > 0 ? near : usable;
    this.#turn += 1;
    return candidates[this.#turn % candidates.length];
  }

  /** Does not use the VM until it shows that it is alive: it did not respond. */
  backOff(vm: VmId, now: number): void {
    this.#failedAt.set(vm, now);
  }

  #isBackedOff(vm: VmId, now: number): boolean {
    const failedAt = this.#failedAt.get(vm) ?? -Infinity;
    return now < failedAt + BACK_OFF_MS && this.#lastSeenAt(vm) <= failedAt;
  }
}
