/**
 * One VM's copy of the homes of a service's objects, and its side of the exchange
 * with the owner: queries for what it doesn't know, reports of what callers ask for.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import { BoundedObjects, MAX_KNOWN_OBJECTS } from "./bounded_objects.ts";
import type { DemandLog } from "./demand_log.ts";
import {
  type FollowedTerm,
  followOwner,
  followUpdate,
} from "./home_protocol.ts";
import { MAX_HOMES } from "./home_record.ts";
import { HomeReports } from "./home_reports.ts";
import type { HomeRequest, HomesLookup } from "./home_source.ts";
import { type KnownObject, newKnownObject } from "./known_object.ts";
import type {
  DemandReport,
  HomeMessage,
  HomeQuery,
  ObjectHomes,
  RoomShare,
} from "./messages.ts";

/** Several round trips within a region; waiting longer costs more than a cold run. */
const ANSWER_TIMEOUT_MS = 15;
/** Time until an unanswered query is sent again. */
const QUERY_INTERVAL_MS = 200;
/** Minimum time between two queries for another home of an object. */
const EXTEND_INTERVAL_MS = 300;
/** Homes are dropped when neither a caller nor the owner named them for this time. */
const UNUSED_TTL_MS = 30_000;
/** An object that is asked for this long after it became known is in regular use. */
const REPEAT_MS = 1_000;
/** Time for which the owner's word holds that an object gets no homes. */
const NO_HOMES_TTL_MS = 5_000;
/** Interval at which unused objects are looked for. */
const CLEAN_INTERVAL_MS = 2_000;
/** Time for which the owner's word on room holds. */
const ROOM_TTL_MS = 3_000;

const UNASSIGNED: HomesLookup = { kind: "unassigned" };

/** Options of a {@link HomeDirectory}. */
export interface HomeDirectoryOptions {
  /** Answers at once if this VM is the owner; undefined if it isn't. */
  assign(query: HomeQuery, now: number): ObjectHomes | undefined;
  /** Called when queries wait to be taken. */
  onQueries(): void;
  /** Called when pending homes have become known, or no answer came in time. */
  onHomes(): void;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeDirectory {
  readonly #options: HomeDirectoryOptions;
  readonly #objects = new BoundedObjects<KnownObject>(MAX_KNOWN_OBJECTS);
  readonly #pending = new Set<KnownObject>();
  readonly #reports = new HomeReports();
  #queries: HomeQuery[] = [];
  #targets: ReadonlySet<number> = new Set();
  #generation = 0;
  #followed: FollowedTerm = followOwner(undefined, undefined);
  #room: readonly RoomShare[] = [];
  #roomAt = -Infinity;
  #unanswered = 0;
  #cleanedAt = -Infinity;

  constructor(options: HomeDirectoryOptions) {
    this.#options = options;
  }

  /** Number of objects that this VM knows. */
  get size(): number {
    return this.#objects.size;
  }

  /** Queries that got no answer in time. */
  get unanswered(): number {
    return this.#unanswered;
  }

  /** Whether the service's objects get homes by load, as far as this VM knows. */
  get isActive(): boolean {
    return this.#followed.owner !== undefined;
  }

  /** What callers ask of this VM. */
  get demand(): DemandLog {
    return this.#reports.demand;
  }

  /** Sets the hashes of the targets that can be homes. */
  setTargets(targets: ReadonlySet<number>): void {
    this.#targets = targets;
    this.#generation += 1;
  }

  /** Adds the hashes of all targets that are homes of known objects. */
  addHomesTo(homes: Set<number>): void {
    for (const known of this.#objects.values()) {
      const lookup = this.#lookupOf(known);
      lookup?.kind === "assigned" &&
        lookup.targets.forEach((target) => homes.add(target));
    }
  }

  /** Follows the VM that owns the service in this region; undefined if there is none. */
  follow(owner: VmId | undefined): void {
    const followed = followOwner(this.#followed, owner);
    if (followed !== this.#followed) {
      this.#followed = followed;
      this.#startFullReports();
    }
    if (owner === undefined) {
      this.#endPending(Infinity);
    }
  }

  /** The homes of a request's object; see HomeSource. */
  lookUp(request: HomeRequest, now: number): HomesLookup {
    const known = this.#objects.get(request.object) ??
      this.#add(request.object, now);
    if (known === undefined) {
      return UNASSIGNED;
    }
    this.#use(known, request, now);
    const lookup = this.#lookupOf(known);
    if (lookup !== undefined) {
      return lookup;
    }
    const { object, workMs } = request;
    const query: HomeQuery = { object, workMs, wanted: "any" };
    const assigned = this.#options.assign(query, now);
    if (assigned !== undefined) {
      this.#setHomes(known, assigned.targets);
      return this.#lookupOf(known) ?? UNASSIGNED;
    }
    return this.#ask(known, query, now);
  }

  /** Asks for one more home; see HomeSource. */
  requestAnother({ object, workMs }: HomeRequest, now: number): void {
    const known = this.#objects.get(object);
    const isDue = known !== undefined && known.homes.length < MAX_HOMES &&
      now - known.extendedAt >= EXTEND_INTERVAL_MS;
    if (!isDue) {
      return;
    }
    known.extendedAt = now;
    const query: HomeQuery = { object, workMs, wanted: "another" };
    const assigned = this.#options.assign(query, now);
    if (assigned !== undefined) {
      this.#setHomes(known, assigned.targets);
    } else {
      this.#queue(query);
    }
  }

  /** Applies an update of the owner. */
  receive(
    update: Extract<HomeMessage, { readonly kind: "update" }>,
    from: VmId,
    now: number,
  ): void {
    const { term, sequence, after } = update;
    const numbers = { from, term, sequence, after };
    const { followed, isApplied, isNewTerm } = followUpdate(
      this.#followed,
      numbers,
    );
    this.#followed = followed;
    if (isNewTerm) {
      this.#startFullReports();
    }
    if (isApplied) {
      // The first update of a term has objects that have long been in use.
      const isRecent = sequence !== undefined && after > 0 && !isNewTerm;
      this.#apply(update.homes, { now, isRecent });
      this.#room = update.room;
      this.#roomAt = now;
    }
  }

  /** What the owner last said of room; empty if that is too old. */
  room(now: number): readonly RoomShare[] {
    return now - this.#roomAt < ROOM_TTL_MS ? this.#room : [];
  }

  /** Periodic work. */
  tick(now: number): void {
    this.#endPending(now);
    this.#dropUnused(now);
  }

  /** Removes and returns the queries to send. */
  takeQueries(): readonly HomeQuery[] {
    const queries = this.#queries;
    this.#queries = [];
    return queries;
  }

  /** The report that is due, if any, in parts that fit into a datagram each. */
  takeReports(now: number): readonly DemandReport[] {
    return this.#reports.take(now, {
      followed: this.#followed,
      homesOf: (object) => this.#objects.get(object)?.homes ?? [],
    });
  }

  #use(known: KnownObject, { object, workMs }: HomeRequest, now: number): void {
    known.usedAt = now;
    known.workMs = workMs;
    if (now - known.addedAt >= REPEAT_MS) {
      this.#objects.keep(object);
    }
  }

  #ask(known: KnownObject, query: HomeQuery, now: number): HomesLookup {
    if (known.pending !== undefined && now < known.pending.until) {
      return known.pending;
    }
    const isTold = now < known.noHomesUntil;
    if (isTold || now - known.queriedAt < QUERY_INTERVAL_MS) {
      return UNASSIGNED;
    }
    known.queriedAt = now;
    known.pending = { kind: "pending", until: now + ANSWER_TIMEOUT_MS };
    this.#pending.add(known);
    this.#queue(query);
    return known.pending;
  }

  #queue(query: HomeQuery): void {
    this.#queries.push(query);
    if (this.#queries.length === 1) {
      this.#options.onQueries();
    }
  }

  /** Adds an object; undefined if there is no room for it. */
  #add(object: number, now: number): KnownObject | undefined {
    if (!this.#objects.makeRoom().hasRoom) {
      return undefined;
    }
    const known = newKnownObject(now);
    this.#objects.add(object, known);
    return known;
  }

  #setHomes(known: KnownObject, homes: readonly number[]): void {
    known.homes = homes;
    known.generation = -1;
  }

  /** The homes among the current targets; undefined if there are none. */
  #lookupOf(known: KnownObject): HomesLookup | undefined {
    if (known.generation !== this.#generation) {
      const targets = known.homes.filter((home) => this.#targets.has(home));
      known.generation = this.#generation;
      known.lookup = targets.length > 0
        ? {
          kind: "assigned",
          targets,
          askedElsewhereAt: known.askedElsewhereAt,
        }
        : undefined;
    }
    return known.lookup;
  }

  #apply(
    homes: readonly ObjectHomes[],
    { now, isRecent }: { readonly now: number; readonly isRecent: boolean },
  ): void {
    let isAwaited = false;
    for (const { object, targets } of homes) {
      const isNew = this.#objects.get(object) === undefined;
      const known = this.#objects.get(object) ?? this.#add(object, now);
      if (known === undefined) {
        continue;
      }
      known.askedElsewhereAt = isNew && isRecent ? now : undefined;
      this.#setHomes(known, targets);
      known.noHomesUntil = targets.length > 0
        ? -Infinity
        : now + NO_HOMES_TTL_MS;
      known.usedAt = now;
      known.pending = undefined;
      isAwaited = this.#pending.delete(known) || isAwaited;
    }
    if (isAwaited) {
      this.#options.onHomes();
    }
  }

  #endPending(now: number): void {
    const ended = [...this.#pending].filter(({ pending }) =>
      pending === undefined || now >= pending.until
    );
    for (const known of ended) {
      known.pending = undefined;
      this.#pending.delete(known);
      this.#unanswered += 1;
    }
    if (ended.length > 0) {
      this.#options.onHomes();
    }
  }

  #startFullReports(): void {
    // Each VM lists what its own callers use; together they list all that is in use.
    const earlier = [...this.#objects.entries()]
      .filter(([, { homes, workMs }]) => homes.length > 0 && workMs > 0)
      .map(([object, { homes, workMs }]) => ({
        object,
        targets: homes,
        requests: 0,
        workMs,
      }));
    this.#reports.startFull(earlier);
  }

  #dropUnused(now: number): void {
    if (now - this.#cleanedAt < CLEAN_INTERVAL_MS) {
      return;
    }
    this.#cleanedAt = now;
    for (const [object, { usedAt }] of this.#objects.entries()) {
      if (now - usedAt >= UNUSED_TTL_MS) {
        this.#objects.delete(object);
      }
    }
  }
}
