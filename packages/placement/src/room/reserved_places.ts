/**
 * Keeps places at targets free for more urgent requests.
 *
 * A target's queue can't be reordered by the VMs, and all of them fill it. If less
 * urgent requests could take its last places, an urgent one would wait behind them
 * for longer than its slack, or be refused by the full target. So the less urgent a
 * request, the fewer places it may use, as in trunk reservation. Each VM decides
 * this alone, so it also holds while no owner can be reached.
 *
 * @module
 */

/** Time without a request after which a priority is not in use any more. */
const IN_USE_MS = 5_000;

/** Places that are kept for each more urgent priority. */
const RESERVED_PLACES = 2;

/** The priorities of the requests that a service lately got on this VM. */
export class PrioritiesInUse {
  readonly #arrivedAt = new Map<number, number>();

  /** Records the arrival of a request. */
  arrived(priority: number, now: number): void {
    this.#arrivedAt.set(priority, now);
  }

  /** Number of more urgent priorities in use. */
  moreUrgent(priority: number, now: number): number {
    let count = 0;
    for (const [other, at] of this.#arrivedAt) {
      count += other < priority && now - at <= IN_USE_MS ? 1 : 0;
    }
    return count;
  }
}

/** A target's places. */
export interface TargetPlaces {
  readonly slots: number;
  /** Requests that may be at the target, running or waiting. */
  readonly maxInFlight: number;
}

/**
 * Requests that may be at a target when one is sent there, with `moreUrgent` more
 * urgent priorities in use: some places less for each, but any priority may use all
 * slots.
 */
export function placesFor(
  moreUrgent: number,
  { slots, maxInFlight }: TargetPlaces,
): number {
  return Math.max(
    Math.min(slots, maxInFlight),
    maxInFlight - RESERVED_PLACES * moreUrgent,
  );
}
