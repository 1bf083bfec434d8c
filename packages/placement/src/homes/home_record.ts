/**
 * What an owner keeps of an object, and how many homes it needs.
 *
 * @module
 */

/** Homes of one object at most; each costs a place in a target's cache. */
export const MAX_HOMES = 4;
/** An object that needs more than this share of a target's slots gets another home. */
const SHARE_OF_TARGET = 0.5;
/** A home is needed no longer when the others would stay this far below their share. */
const SURPLUS_MARGIN = 0.7;

/** The move of an object to another target. */
export interface HomeMove {
  readonly from: number;
  readonly to: number;
  readonly startedAt: number;
}

/**
 * Share of the objects that may get a further home because others are too busy. Caches
 * overflow with too many, and then all runs are cold.
 */
const MAX_FURTHER_SHARE = 0.5;

/** An object in the owner's table. Times are milliseconds of the monotonic clock. */
export interface HomeRecord {
  readonly object: number;
  /** Target hashes, the preferred home first. */
  homes: readonly number[];
  workMs: number;
  perSecond: number;
  /** Requests reported since the rate was last computed. */
  requests: number;
  /** Slots counted as busy at each of the homes. */
  share: number;
  usedAt: number;
  /** Whether a VM has reported requests for the object. */
  isReported: boolean;
  /** When a home was last added because the others were too busy. */
  extendedAt: number;
  /** Since when the object needs fewer homes than it has. */
  surplusSince: number | undefined;
  move: HomeMove | undefined;
  /** Number of the last change of the homes. */
  sequence: number;
}

/** A record of an object without homes. */
export function newRecord(
  { object, workMs, perSecond }: Pick<
    HomeRecord,
    "object" | "workMs" | "perSecond"
  >,
  now: number,
): HomeRecord {
  return {
    object,
    homes: [],
    workMs,
    perSecond,
    requests: 0,
    share: 0,
    usedAt: now,
    isReported: false,
    extendedAt: -Infinity,
    surplusSince: undefined,
    move: undefined,
    sequence: 0,
  };
}

/** Slots that the object's requests keep busy on average. */
export function busySlotsOf(
  { perSecond, workMs }: Pick<HomeRecord, "perSecond" | "workMs">,
): number {
  return perSecond * workMs / 1_000;
}

/** How many homes an object needs on targets of the given capacity. */
export function wantedHomes(busySlots: number, capacity: number): number {
  const share = Math.max(1e-6, SHARE_OF_TARGET * capacity);
  return Math.min(MAX_HOMES, Math.max(1, Math.ceil(busySlots / share)));
}

/** Whether the object would do with one home less. */
export function hasSurplus(record: HomeRecord, capacity: number): boolean {
  const { length } = record.homes;
  const needed = wantedHomes(busySlotsOf(record) / SURPLUS_MARGIN, capacity);
  return length > 1 && record.move === undefined && needed < length;
}

/** Whether caches have room for one more home besides the first ones of the objects. */
export function hasRoomForFurther(
  records: {
    readonly size: number;
    values(): Iterable<Pick<HomeRecord, "homes">>;
  },
  targets: number,
): boolean {
  let further = -records.size;
  for (const { homes } of records.values()) {
    further += homes.length;
  }
  return further < Math.max(targets, records.size * MAX_FURTHER_SHARE);
}
