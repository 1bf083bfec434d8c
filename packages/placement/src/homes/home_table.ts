/**
 * The owner's table: which targets are the homes of each object in use.
 *
 * It answers targets that are unevenly asked for: an object's home is the first
 * target of its rendezvous order whose load stays within a bound of the mean. A table
 * that is lost is mostly computed again alike, because most objects get the first
 * target of their order.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import { BoundedObjects, MAX_OWNED_OBJECTS } from "./bounded_objects.ts";
import { ChangeLog } from "./change_log.ts";
import type { HomeTarget } from "./home_agent.ts";
import { noChanges } from "./home_changes.ts";
import {
  advanceMove,
  crowdedTargets,
  isUsefulMove,
  MAX_MOVES_PER_SWEEP,
  movableFrom,
} from "./home_moves.ts";
import { mergeHomes, withoutLost } from "./home_protocol.ts";
import {
  busySlotsOf,
  hasRoomForFurther,
  hasSurplus,
  type HomeRecord,
  MAX_HOMES,
  newRecord,
  wantedHomes,
} from "./home_record.ts";
import { HomeTargets } from "./home_targets.ts";
import type { HomeQuery, ObjectDemand, ObjectHomes } from "./messages.ts";
import { ObjectRates } from "./object_rates.ts";

/** Time after which an observation counts half in an object's rate. */
const RATE_HALF_LIFE_MS = 6_000;
/** Weight of one request in an object's mean work; kinds of request differ in it. */
const WORK_GAIN = 0.1;
/** Objects that nobody asked for are dropped after this time. */
const UNUSED_TTL_MS = 15_000;
/** Minimum time between two homes added because the others were too busy. */
const EXTEND_INTERVAL_MS = 300;
/** Time for which a home stays that is needed no longer; a dropped one loses its cache. */
const SURPLUS_TTL_MS = 10_000;

/** Options of a {@link HomeTable}. */
export interface HomeTableOptions {
  readonly region: RegionId;
  /** Limit of a target's load, as a multiple of the mean load. */
  readonly bound: number;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeTable {
  /** The targets with their loads. */
  readonly targets: HomeTargets;
  readonly counts = noChanges();
  readonly #records = new BoundedObjects<HomeRecord>(MAX_OWNED_OBJECTS);
  readonly #rates = new ObjectRates();
  readonly #crowdedSince = new Map<number, number>();
  readonly #changes = new ChangeLog<HomeRecord>();
  #sweptAt: number | undefined;
  #targetCount = 0;

  constructor(options: HomeTableOptions) {
    this.targets = new HomeTargets(options);
  }

  /** Number of objects in the table. */
  get size(): number {
    return this.#records.size;
  }

  /** Number of the last change. */
  get sequence(): number {
    return this.#changes.sequence;
  }

  /** The homes of an object; undefined if it has none. */
  homesOf(object: number): ObjectHomes | undefined {
    const record = this.#records.get(object);
    return record && { object, targets: record.homes };
  }

  /** Homes changed after the given number, in the order of their last change. */
  changesSince(sequence: number): readonly (ObjectHomes & {
    readonly sequence: number;
  })[] {
    return this.#changes.since(sequence)
      .map(({ object, homes, sequence }) => ({
        object,
        targets: homes,
        sequence,
      }));
  }

  /** Sets the targets. Objects whose home is gone or has restarted get another one. */
  setTargets(targets: readonly HomeTarget[]): void {
    const lost = this.targets.set(targets);
    this.#targetCount = targets.length;
    const affected = [...this.#records.values()].filter(({ homes }) =>
      homes.some((home) => lost.has(home))
    );
    for (const record of affected) {
      record.move = undefined;
      this.#setHomes(record, withoutLost(record.homes, lost));
    }
    affected
      .filter(({ homes }) => homes.length === 0)
      .forEach((record) => this.#assignFirst(record));
  }

  /** The homes of a query's object, which gets one if it has none and there is room. */
  assign({ object, workMs, wanted }: HomeQuery, now: number): ObjectHomes {
    const known = this.#records.get(object);
    if (known !== undefined && known.homes.length > 0) {
      known.usedAt = now;
      if (wanted === "another") {
        this.#extend(known, now);
      }
      return { object, targets: known.homes };
    }
    const record = known ?? this.#add({ object, workMs }, now);
    if (record !== undefined) {
      this.#assignFirst(record);
    }
    return { object, targets: record?.homes ?? [] };
  }

  /** Adds homes that a VM uses already to those of the table. */
  adopt(demand: ObjectDemand, now: number): void {
    const known = this.#records.get(demand.object);
    const homes = known?.homes ?? [];
    const merged = mergeHomes(
      homes,
      demand,
      (target) => this.targets.has(target),
    );
    if (merged === homes) {
      return;
    }
    const record = known ?? this.#add(demand, now);
    if (record !== undefined) {
      this.#setHomes(record, merged);
    }
  }

  /** Counts what callers asked of a VM. */
  recordDemand(demand: ObjectDemand, now: number): void {
    const { object, requests, workMs } = demand;
    if (requests === 0) {
      return;
    }
    this.assign({ object, workMs, wanted: "any" }, now);
    const record = this.#records.get(object);
    if (record === undefined) {
      return;
    }
    if (record.isReported || requests > 1) {
      this.#records.keep(object);
    }
    record.isReported = true;
    record.requests += requests;
    const gain = 1 - (1 - WORK_GAIN) ** requests;
    record.workMs += gain * (workMs - record.workMs);
  }

  /**
   * Periodic work: computes rates, and adds, moves and drops homes. A new owner adds
   * only: the VMs have not told it yet what they use.
   */
  sweep(
    now: number,
    { isRecovering }: { readonly isRecovering: boolean },
  ): void {
    this.#updateRates(now);
    this.targets.refresh(now);
    for (const record of [...this.#records.values()]) {
      this.#addWanted(record);
      if (!isRecovering) {
        this.#drop(record, now);
        this.#advance(record, now);
      }
    }
    if (!isRecovering) {
      this.#startMoves(now);
    }
  }

  /** Adds an object; undefined if the table is full of objects in regular use. */
  #add(
    { object, workMs }: Pick<HomeRecord, "object" | "workMs">,
    now: number,
  ): HomeRecord | undefined {
    const { hasRoom, dropped } = this.#records.makeRoom();
    if (dropped !== undefined) {
      this.#forget(dropped);
    }
    if (!hasRoom) {
      return undefined;
    }
    const perSecond = this.#rates.expected(workMs);
    const record = newRecord({ object, workMs, perSecond }, now);
    this.#records.add(object, record);
    return record;
  }

  #assignFirst(record: HomeRecord): void {
    const busySlots = busySlotsOf(record);
    const { object } = record;
    const home = this.targets.choose({ object, busySlots, except: [] });
    this.#setHomes(record, home === undefined ? [] : [home]);
    this.counts.assigned += 1;
  }

  /** Changes an object's homes, and with them the load of the targets. */
  #setHomes(record: HomeRecord, homes: readonly number[]): void {
    this.#uncount(record);
    record.homes = homes;
    this.#count(record);
    this.#changes.add(record, this.#records.size);
  }

  #count(record: HomeRecord): void {
    record.share = busySlotsOf(record) / Math.max(1, record.homes.length);
    record.homes.forEach((home) => this.targets.add(home, record.share, 1));
  }

  #uncount({ homes, share }: HomeRecord): void {
    homes.forEach((home) => this.targets.add(home, -share, -1));
  }

  #extend(record: HomeRecord, now: number): void {
    if (
      record.homes.length < MAX_HOMES &&
      hasRoomForFurther(this.#records, this.#targetCount) &&
      now - record.extendedAt >= EXTEND_INTERVAL_MS
    ) {
      record.extendedAt = now;
      this.#addHome(record);
    }
  }

  #addHome(record: HomeRecord): void {
    const busySlots = busySlotsOf(record) / (record.homes.length + 1);
    const { object, homes } = record;
    const choice = { object, busySlots, except: homes };
    const home = this.targets.chooseNear(choice);
    if (home !== undefined) {
      record.surplusSince = undefined;
      this.#setHomes(record, [...homes, home]);
      this.counts.added += 1;
    }
  }

  #addWanted(record: HomeRecord): void {
    const capacity = this.#capacityFor(record);
    if (record.homes.length < wantedHomes(busySlotsOf(record), capacity)) {
      this.#addHome(record);
    }
  }

  #forget(record: HomeRecord): void {
    this.#uncount(record);
    this.#changes.remove(record);
    this.counts.dropped += record.homes.length;
  }

  /** Drops an object that nobody uses, or a home that it needs no longer. */
  #drop(record: HomeRecord, now: number): void {
    if (now - record.usedAt >= UNUSED_TTL_MS) {
      this.#records.delete(record.object);
      this.#forget(record);
      return;
    }
    if (!hasSurplus(record, this.#capacityFor(record))) {
      record.surplusSince = undefined;
      return;
    }
    record.surplusSince ??= now;
    const keptSince = Math.max(record.surplusSince, record.extendedAt);
    if (now - keptSince >= SURPLUS_TTL_MS) {
      record.surplusSince = now;
      this.#setHomes(record, record.homes.slice(0, -1));
      this.counts.dropped += 1;
    }
  }

  #capacityFor({ homes }: HomeRecord): number {
    return homes.length === 0 ? Infinity : this.targets.capacityOf(homes[0]!);
  }

  #updateRates(now: number): void {
    const elapsedMs = now - (this.#sweptAt ?? now);
    this.#sweptAt = now;
    if (elapsedMs <= 0) {
      return;
    }
    const gain = 1 - 2 ** (-elapsedMs / RATE_HALF_LIFE_MS);
    for (const record of this.#records.values()) {
      const seen = record.requests * 1_000 / elapsedMs;
      this.#uncount(record);
      record.perSecond += gain * (seen - record.perSecond);
      record.requests = 0;
      this.#count(record);
    }
    this.#rates.set(this.#records.values());
  }

  #advance(record: HomeRecord, now: number): void {
    const next = advanceMove(record, now);
    if (next === undefined) {
      return;
    }
    record.move = next.move;
    this.#setHomes(record, next.homes);
    this.counts.moved += next.move === undefined ? 1 : 0;
  }

  #startMoves(now: number): void {
    let moves = 0;
    const crowded = this.targets.crowded();
    for (const target of crowdedTargets(crowded, this.#crowdedSince, now)) {
      if (moves < MAX_MOVES_PER_SWEEP && this.#startMove(target, now)) {
        moves += 1;
      }
    }
  }

  /** Starts to move the heaviest object whose move helps away from a target. */
  #startMove(from: number, now: number): boolean {
    for (const record of movableFrom(from, this.#records.values())) {
      const { object } = record;
      const busySlots = busySlotsOf(record);
      const to = this.targets.choose({ object, busySlots, except: [from] });
      if (
        to !== undefined &&
        isUsefulMove(this.targets, { from, to, busySlots })
      ) {
        record.move = { from, to, startedAt: now };
        this.#setHomes(record, [from, to]);
        return true;
      }
    }
    return false;
  }
}
