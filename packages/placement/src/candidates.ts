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
import type { PlacedVia, PlacementRequest } from "./placement.ts";
import type { HomesForRequest, RequestHomes } from "./request_homes.ts";
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
  readonly homes: RequestHomes;
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
  /** The homes of its object are not known yet. */
  | { readonly kind: "pending" }
  /** The cheapest one; undefined if rates allow no request to any of them now. */
  | {
    readonly kind: "compared";
    readonly choice: Choice | undefined;
    readonly via: PlacedVia | undefined;
  };

/** A target and its position in the rendezvous order of the request's object. */
interface Positioned {
  readonly entry: SteeredEntry;
  /** Undefined for requests without an object. */
  readonly position: number | undefined;
  readonly isHome: boolean;
}

/** A request to compare targets for. */
interface Comparison {
  readonly request: PlacementRequest;
  readonly now: number;
  /** The usable assigned homes of its object; undefined if none are assigned. */
  readonly homes: readonly SteeredEntry[] | undefined;
}

/** Compares targets; see the module comment. */
export class Candidates {
  readonly #known: TargetKnowledge;
  readonly #from: Location;
  readonly #weights: PlacementWeights;
  readonly #homes: RequestHomes;
  readonly #initialCandidates: number;

  constructor(known: TargetKnowledge, options: CandidatesOptions) {
    this.#known = known;
    this.#from = options.from;
    this.#weights = options.weights;
    this.#homes = options.homes;
    this.#initialCandidates = options.initialCandidates ?? INITIAL_CANDIDATES;
  }

  /** The cheapest target for a request. */
  cheapestFor(request: PlacementRequest, now: number): CandidatesResult {
    const initial = this.#known.entries
      .usable(request, now, this.#initialCandidates);
    if (initial.length === 0) {
      return { kind: "none" };
    }
    const homes = this.#homes.lookUp(request, now);
    if (homes.kind === "pending") {
      return homes;
    }
    const usableHomes = homes.kind === "assigned" ? homes.usable : undefined;
    const choice = this.#choose(initial, { request, now, homes: usableHomes });
    return {
      kind: "compared",
      choice,
      via: choice && this.#via(choice, request, homes),
    };
  }

  #via(
    { target }: Choice,
    { object }: PlacementRequest,
    homes: Exclude<HomesForRequest, { kind: "pending" }>,
  ): PlacedVia | undefined {
    if (object === undefined) {
      return undefined;
    }
    if (homes.kind === "unassigned") {
      return "unassigned";
    }
    if (homes.preferred?.target.id === target) {
      return "home";
    }
    const isHome = homes.usable.some((entry) => entry.target.id === target);
    return isHome ? "second-home" : "other";
  }

  /** The cheapest target; `initial` holds the first usable ones in rendezvous order. */
  #choose(
    initial: readonly SteeredEntry[],
    comparison: Comparison,
  ): Choice | undefined {
    const { request, now } = comparison;
    const isComplete = initial.length < this.#initialCandidates ||
      request.object === undefined;
    if (isComplete) {
      return this.#cheapest(withPositions(initial, comparison), comparison);
    }
    const costParams = {
      weights: this.#weights,
      savedMs: this.#known.kindTimes.savedMs(request.kind),
    };
    const cheapest = this.#cheapest(
      [
        ...withPositions(initial, comparison),
        ...this.#warmBeyond(initial, comparison),
      ],
      comparison,
    );
    if (cheapest && cheapest.cost <= minCostFromMaxPosition(costParams)) {
      return cheapest;
    }
    const all = this.#known.entries.usable(request, now, Infinity);
    return this.#cheapest(withPositions(all, comparison), comparison);
  }

  /**
   * Usable targets after `initial` that are warm for the request's object, without
   * its homes. They are returned in rendezvous order, so that all VMs break ties
   * alike.
   */
  #warmBeyond(
    initial: readonly SteeredEntry[],
    { request, now, homes = [] }: Comparison,
  ): readonly Positioned[] {
    const { entries, warmObjects } = this.#known;
    const { service } = request;
    const object = request.object!;
    const excluded = new Set([...initial, ...homes]);
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
      .map((entry) => ({ entry, position: MAX_POSITION, isHome: false }));
  }

  #cheapest(
    positioned: readonly Positioned[],
    { request, now }: Comparison,
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
    { entry, position, isHome }: Positioned,
    { service, object, kind }: PlacementRequest,
    now: number,
  ): Candidate {
    const { target, load, health } = entry;
    const { roundTrips, serviceTimes, kindTimes, warmObjects } = this.#known;
    const serviceMs = serviceTimes.meanMs(service);
    return {
      target,
      position,
      isHome,
      costs: {
        roundTripMs: roundTrips.to(target),
        waitMs: load.waitMs(now, { slots: target.slots, serviceMs }),
        extraRunMs: (load.pace(now) - 1) * kindTimes.warmMs(kind),
        isWarm: object !== undefined &&
          warmObjects.isWarm(object, target.id, now),
        failureShare: health.failureShare(now),
      },
    };
  }
}

/**
 * Adds the position in rendezvous order; requests without an object have none. Homes
 * come first.
 */
function withPositions(
  usable: readonly SteeredEntry[],
  { request, homes }: Comparison,
): readonly Positioned[] {
  if (homes === undefined) {
    return usable.map((entry, position) => ({
      entry,
      position: request.object === undefined ? undefined : position,
      isHome: false,
    }));
  }
  const others = usable.filter((entry) => !homes.includes(entry));
  return [
    ...homes.map((entry) => ({ entry, position: 0, isHome: true })),
    ...others.map((entry, index) => ({
      entry,
      position: index + 1,
      isHome: false,
    })),
  ];
}
