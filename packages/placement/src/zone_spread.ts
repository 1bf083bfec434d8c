/**
 * Picks targets from as many zones as possible.
 *
 * @module
 */

import type { TargetId, ZoneId } from "@poplarthread/ids";
import type { PlacedTarget } from "./target.ts";

/** Options of {@link spreadOverZones}. */
export interface ZoneSpreadOptions {
  readonly count: number;
  /** Number of this pick; the next one begins with other targets. */
  readonly round: number;
  /** Targets that are picked only if there are no others. */
  readonly last: ReadonlySet<TargetId>;
}

/** Up to `count` targets, taken from the zones in turn. */
export function spreadOverZones<T extends Pick<PlacedTarget, "id" | "zone">>(
  targets: readonly T[],
  { count, round, last }: ZoneSpreadOptions,
): readonly T[] {
  const preferred = targets.filter(({ id }) => !last.has(id));
  const others = targets.filter(({ id }) => last.has(id));
  return [...inTurns(preferred, round), ...inTurns(others, round)]
    .slice(0, count);
}

function inTurns<T extends Pick<PlacedTarget, "zone">>(
  targets: readonly T[],
  round: number,
): readonly T[] {
  const zones = new Map<ZoneId, T[]>();
  for (const target of targets) {
    zones.set(target.zone, [...(zones.get(target.zone) ?? []), target]);
  }
  const lists = [...zones.values()].map((list) => rotate(list, round));
  const longest = Math.max(0, ...lists.map(({ length }) => length));
  return Array.from(
    { length: longest },
    (_, turn) =>
      rotate(lists, round).flatMap((list) =>
        turn < list.length ? [list[turn]!] : []
      ),
  ).flat();
}

function rotate<T>(list: readonly T[], by: number): readonly T[] {
  const at = by % list.length;
  return [...list.slice(at), ...list.slice(0, at)];
}
