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

/** Time without a request after which a kind is not in use any more. */
const IN_USE_MS = 5_000;

/** Places that are kept for each more urgent kind. */
const RESERVED_PLACES = 2;

/** The priority of a kind of request, that is, of its route. */
interface KindInUse {
  readonly priority: number;
  readonly at: number;
}

/** A request whose place in the order of urgency is asked for. */
export interface RankedRequest {
  /** Undefined to compare it with requests of all kinds. */
  readonly kind?: string;
  /** Priority of its route. */
  readonly priority: number;
}

/**
 * The priorities of the kinds of request that a service lately got on this VM.
 * Requests of one kind leave each other no places, whatever their accounts' rank:
 * most of them would then wait on their VMs for slots that are free.
 */
export class PrioritiesInUse {
  readonly #kinds = new Map<string, KindInUse>();

  /** Records the arrival of a request. */
  arrived(
    { kind, priority }: Required<RankedRequest>,
    now: number,
  ): void {
    this.#kinds.set(kind, { priority, at: now });
  }

  /** Number of more urgent kinds in use. */
  moreUrgent({ kind, priority }: RankedRequest, now: number): number {
    let count = 0;
    for (const [other, inUse] of this.#kinds) {
      const isMoreUrgent = other !== kind && inUse.priority < priority &&
        now - inUse.at <= IN_USE_MS;
      count += isMoreUrgent ? 1 : 0;
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
 * urgent kinds in use: some places less for each, but any priority may use all
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
