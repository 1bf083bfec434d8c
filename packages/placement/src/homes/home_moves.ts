/**
 * Moves of objects away from targets that stay too busy.
 *
 * A move costs cold runs on the new home, so few are made at a time, of whole objects
 * and only where they help for long. The new home is appended first; it takes what
 * the old one has no slot for and so becomes warm. Then it becomes the preferred one,
 * and when it has taken over the old one is dropped.
 *
 * @module
 */

import { busySlotsOf, type HomeMove, type HomeRecord } from "./home_record.ts";
import type { HomeTargets } from "./home_targets.ts";

/** Moves started in one sweep. */
export const MAX_MOVES_PER_SWEEP = 2;
/** Time for which a target must be too busy before an object leaves it. */
const CROWDED_MS = 3_000;
/** Time in which a new home becomes warm, and again until the old one is dropped. */
const WARM_UP_MS = 2_000;
/** A move must leave the new home's load below this share of the old one's. */
const GAIN_MARGIN = 0.8;

/** Homes of an object after a step of its move. */
export interface MoveStep {
  readonly homes: readonly number[];
  /** Undefined if this was the last step. */
  readonly move: HomeMove | undefined;
}

/** The next step of a record's move; undefined if none is due. */
export function advanceMove(
  { homes, move }: Pick<HomeRecord, "homes" | "move">,
  now: number,
): MoveStep | undefined {
  if (move === undefined || now - move.startedAt < WARM_UP_MS) {
    return undefined;
  }
  const others = homes.filter((home) => home !== move.to);
  if (homes[0] !== move.to) {
    return {
      homes: [move.to, ...others],
      move: { ...move, startedAt: now },
    };
  }
  return {
    homes: homes.filter((home) => home !== move.from),
    move: undefined,
  };
}

/**
 * The targets that have been crowded for long enough. Keeps in `since` when each
 * crowded one became so.
 */
export function crowdedTargets(
  crowded: readonly number[],
  since: Map<number, number>,
  now: number,
): readonly number[] {
  for (const target of since.keys()) {
    if (!crowded.includes(target)) {
      since.delete(target);
    }
  }
  for (const target of crowded) {
    if (!since.has(target)) {
      since.set(target, now);
    }
  }
  return crowded.filter((target) => now - since.get(target)! >= CROWDED_MS);
}

/** Whether the new home would be clearly less loaded than the old one was. */
export function isUsefulMove(
  targets: HomeTargets,
  { from, to, busySlots }: {
    readonly from: number;
    readonly to: number;
    readonly busySlots: number;
  },
): boolean {
  const after = targets.loadOf(to) + busySlots / targets.capacityOf(to);
  return after < GAIN_MARGIN * targets.loadOf(from);
}

/** Objects whose only home is the given target, the heaviest one first. */
export function movableFrom(
  from: number,
  records: Iterable<HomeRecord>,
): readonly HomeRecord[] {
  return [...records]
    .filter(({ homes, move }) =>
      homes.length === 1 && homes[0] === from && move === undefined
    )
    .sort((a, b) => busySlotsOf(b) - busySlotsOf(a));
}
