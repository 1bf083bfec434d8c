/**
 * The assigned homes of a request's object, as entries of usable targets, and what
 * is recorded for their assignment.
 *
 * @module
 */

import type { HomeRequest, HomeSource } from "./homes/home_source.ts";
import type { PlacementDemand, PlacementRequest } from "./placement.ts";
import type { SteeredEntry } from "./target_entries.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";

/** What is known of the homes for a request. */
export type HomesForRequest =
  | { readonly kind: "unassigned" }
  | { readonly kind: "pending" }
  /**
   * Those of the homes that the request may use, the preferred one first. `preferred`
   * is the preferred home even if it is not usable.
   */
  | {
    readonly kind: "assigned";
    readonly usable: readonly SteeredEntry[];
    readonly preferred: SteeredEntry | undefined;
  };

/**
 * Share of the time saved by a warm target that a request may wait at its best home.
 * With a longer wait it is worth warming one more target for the object.
 */
const MAX_HOME_WAIT_SHARE = 0.5;

/** Time in which other VMs learn that a target has become warm. */
const WARM_UPDATE_MS = 300;

/** Looks up homes of objects; none are assigned without a source. */
export class RequestHomes {
  readonly #known: TargetKnowledge;
  readonly #source: HomeSource | undefined;

  constructor(known: TargetKnowledge, source: HomeSource | undefined) {
    this.#known = known;
    this.#source = source;
  }

  /** The homes of a request's object; asks for one more if all of them are too busy. */
  lookUp(request: PlacementRequest, now: number): HomesForRequest {
    const wanted = this.#wanted(request);
    if (wanted === undefined) {
      return { kind: "unassigned" };
    }
    const found = this.#source!.lookUp(wanted, now);
    switch (found.kind) {
      case "unassigned":
        return found;
      case "pending":
        return now < found.until ? found : { kind: "unassigned" };
      case "assigned":
        break;
    }
    const homes = found.targets.flatMap((hash) => this.#entryOf(hash, request));
    const usable = homes
      .filter((entry) => this.#known.entries.isUsable(entry, request, now));
    if (this.#isBeingWarmed(found.askedElsewhereAt, usable, { request, now })) {
      return { kind: "pending" };
    }
    if (this.#needsAnother(usable, request, now)) {
      this.#source!.requestAnother(wanted, now);
    }
    return { kind: "assigned", usable, preferred: homes[0] };
  }

  /** Records a request that is to be placed. */
  recordDemand(request: PlacementDemand): void {
    const wanted = this.#wanted(request);
    if (wanted !== undefined) {
      this.#source!.recordDemand(wanted, request.priority);
    }
  }

  /** Records that a request was refused for lack of room, if its demand was recorded. */
  recordRefusal({ service, object, priority }: PlacementRequest): void {
    if (object !== undefined) {
      this.#source?.recordRefusal(service, priority);
    }
  }

  #wanted(
    { service, kind, object }: PlacementDemand,
  ): HomeRequest | undefined {
    return this.#source === undefined || object === undefined
      ? undefined
      : { service, object, workMs: this.#known.kindTimes.warmMs(kind) };
  }

  #entryOf(
    hash: number,
    { service }: PlacementRequest,
  ): readonly SteeredEntry[] {
    const { entries } = this.#known;
    const id = entries.idOf(hash);
    const entry = id === undefined ? undefined : entries.get(id);
    return entry?.target.service === service ? [entry] : [];
  }

  /**
   * Whether the first request for the object still runs at its home, as far as this
   * VM knows, and a request that ran beside it would be late and end later than one
   * that waits for it.
   */
  #isBeingWarmed(
    askedAt: number | undefined,
    usable: readonly SteeredEntry[],
    { request, now }: {
      readonly request: PlacementRequest;
      readonly now: number;
    },
  ): boolean {
    if (askedAt === undefined || usable.length === 0) {
      return false;
    }
    const { kindTimes, warmObjects } = this.#known;
    const coldMs = kindTimes.warmMs(request.kind) +
      kindTimes.savedMs(request.kind);
    const isInTimeBeside = now + coldMs <= (request.objectiveAt ?? -Infinity);
    const warmAt = askedAt + coldMs + WARM_UPDATE_MS;
    const endsSoonerBeside = now + coldMs <= warmAt +
        kindTimes.warmMs(request.kind);
    return !isInTimeBeside && !endsSoonerBeside && now < warmAt &&
      !usable.some(({ target }) =>
        warmObjects.isWarm(request.object!, target.id, now)
      );
  }

  /**
   * Not after an attempt nor with a restriction to regions: then homes are unusable
   * for this request alone.
   */
  #needsAnother(
    usable: readonly SteeredEntry[],
    request: PlacementRequest,
    now: number,
  ): boolean {
    if (request.tried.size > 0 || request.regions.length > 0) {
      return false;
    }
    const { serviceTimes, kindTimes, warmObjects } = this.#known;
    const areWarm = usable.every(({ target }) =>
      warmObjects.isWarm(request.object!, target.id, now)
    );
    if (!areWarm) {
      return false;
    }
    const serviceMs = serviceTimes.meanMs(request.service);
    const waits = usable.map(({ target, load }) =>
      load.waitMs(now, { slots: target.slots, serviceMs })
    );
    return Math.min(...waits) >
      kindTimes.savedMs(request.kind) * MAX_HOME_WAIT_SHARE;
  }
}
