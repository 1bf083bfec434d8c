/**
 * Which targets are compared for a request, and which of them is the cheapest.
 *
 * @module
 */

import {
  type Candidate,
  type Choice,
  choose,
  MAX_POSITION,
  minCostFromMaxPosition,
  type PlacementWeights,
} from "./choose.ts";
import type { PlacementRequest } from "./placement.ts";
import type { Location } from "./target.ts";
import type { SteeredEntry } from "./target_entries.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";

/**
 * All positions up to {@link MAX_POSITION}, from which on the position cost is
 * constant. Unless it is warm, any target after these costs more, so comparing all
 * 576 targets of a large service for each new request, and for each waiting one
 * whenever another request ends, would not change the result.
 */
const INITIAL_CANDIDATES = MAX_POSITION + 1;

/** Options of {@link Candidates}. */
export interface CandidatesOptions {
  /** Location of this VM. */
  readonly from: Location;
  readonly weights: PlacementWeights;
  /**
   * Number of targets, in rendezvous order, that are compared before all of them
   * are; defaults to {@link INITIAL_CANDIDATES}.
   */
  readonly initialCandidates: number | undefined;
}

/** The result of comparing targets. */
export type CandidatesResult =
  /** The request may be sent to no target. */
  | { readonly kind: "none" }
  /** The cheapest one; undefined if rates allow no request to any of them now. */
  | { readonly kind: "compared"; readonly choice: Choice | undefined };

/** A target and its position in the rendezvous order of the request's object. */
interface Positioned {
  readonly entry: SteeredEntry;
  /** Undefined for requests without an object. */
  readonly position: number | undefined;
}

/** Compares targets; see the module comment. */
export class Candidates {
  readonly #known: TargetKnowledge;
  readonly #from: Location;
  readonly #weights: PlacementWeights;
  readonly #initialCandidates: number;

  constructor(known: TargetKnowledge, options: CandidatesOptions) {
    this.#known = known;
    this.#from = options.from;
    this.#weights = options.weights;
    this.#initialCandidates = options.initialCandidates ?? INITIAL_CANDIDATES;
  }

  /** The cheapest target for a request. */
  cheapestFor(request: PlacementRequest, now: number): CandidatesResult {
    const initial = this.#known.entries
      .usable(request, now, this.#initialCandidates);
    return initial.length === 0
      ? { kind: "none" }
      : { kind: "compared", choice: this.#choose(initial, request, now) };
  }

  /** The cheapest target; `initial` holds the first usable ones in rendezvous order. */
  #choose(
    initial: readonly SteeredEntry[],
    request: PlacementRequest,
    now: number,
  ): Choice | undefined {
    const isComplete = initial.length < this.#initialCandidates ||
      request.object === undefined;
    if (isComplete) {
      return this.#cheapest(withPositions(initial, request), request, now);
    }
    const costParams = {
      weights: this.#weights,
      savedMs: this.#known.kindTimes.savedMs(request.kind),
    };
    const cheapest = this.#cheapest(
      [
        ...withPositions(initial, request),
        ...this.#warmBeyond(initial, request, now),
      ],
      request,
      now,
    );
    if (cheapest && cheapest.cost <= minCostFromMaxPosition(costParams)) {
      return cheapest;
    }
    const all = this.#known.entries.usable(request, now, Infinity);
    return this.#cheapest(withPositions(all, request), request, now);
  }

  /**
   * Usable targets after `initial` that are warm for the request's object. They are
   * returned in rendezvous order, so that all VMs break ties alike.
   */
  #warmBeyond(
    initial: readonly SteeredEntry[],
    request: PlacementRequest,
    now: number,
  ): readonly Positioned[] {
    const { entries, warmObjects } = this.#known;
    const { service } = request;
    const object = request.object!;
    const excluded = new Set(initial);
    const warm: SteeredEntry[] = [];
    for (const id of warmObjects.targetsOf(object, now)) {
      const entry = entries.get(id);
      const isBeyond = entry?.target.service === service &&
        !excluded.has(entry);
      if (isBeyond && entries.isUsable(entry, request, now)) {
        warm.push(entry);
      }
    }
    return entries.sorted(warm, { service, object })
      .map((entry) => ({ entry, position: MAX_POSITION }));
  }

  #cheapest(
    positioned: readonly Positioned[],
    request: PlacementRequest,
    now: number,
  ): Choice | undefined {
    const candidates: Candidate[] = [];
    for (const one of positioned) {
      if (this.#known.rates.allows(one.entry.target, now)) {
        candidates.push(this.#candidate(one, request, now));
      }
    }
    return choose(candidates, {
      from: this.#from,
      weights: this.#weights,
      savedMs: this.#known.kindTimes.savedMs(request.kind),
    });
  }

  #candidate(
    { entry, position }: Positioned,
    { service, object }: PlacementRequest,
    now: number,
  ): Candidate {
    const { target, load, health } = entry;
    const { roundTrips, serviceTimes, warmObjects } = this.#known;
    const serviceMs = serviceTimes.meanMs(service);
    return {
      target,
      position,
      costs: {
        roundTripMs: roundTrips.to(target),
        waitMs: load.waitMs(now, { slots: target.slots, serviceMs }),
        isWarm: object !== undefined &&
          warmObjects.isWarm(object, target.id, now),
        failureShare: health.failureShare(now),
      },
    };
  }
}

/** Adds the position in rendezvous order; requests without an object have none. */
function withPositions(
  usable: readonly SteeredEntry[],
  { object }: PlacementRequest,
): readonly Positioned[] {
  return usable.map((entry, position) => ({
    entry,
    position: object === undefined ? undefined : position,
  }));
}
