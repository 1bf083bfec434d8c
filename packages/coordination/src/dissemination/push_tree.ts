/**
 * The tree of pushes: zones form a tree by name, and the members of each zone
 * one by rank, below the zone's first. Every VM computes it by itself.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import { type Ranked, rankedIn } from "./ranks.ts";

/** Children of one node. With 4, a zone of 120 is four levels deep, and 25 zones are three. */
const FAN_OUT = 4;

/** The tree as one set of members gives it. */
export class PushTree {
  readonly #zoneOf = new Map<VmId, ZoneId>();
  readonly #ranked = new Map<ZoneId, readonly VmId[]>();
  readonly #zones: readonly ZoneId[];

  constructor(members: readonly Ranked[]) {
    const alive = members.filter(({ state }) => state !== "dead");
    const byZone = new Map<ZoneId, Ranked[]>();
    for (const member of alive) {
      const inZone = byZone.get(member.zone) ?? [];
      inZone.push(member);
      byZone.set(member.zone, inZone);
    }
    for (const [zone, inZone] of byZone) {
      this.#ranked.set(zone, rankedIn(zone, inZone));
    }
    alive.forEach(({ vm, zone }) => this.#zoneOf.set(vm, zone));
    this.#zones = [...byZone.keys()].sort();
  }

  /** Whom a VM pushes to: its children in the zone and, for a zone's first, those of the zones below. */
  childrenOf(vm: VmId): readonly VmId[] {
    const zone = this.#zoneOf.get(vm);
    if (zone === undefined) {
      return [];
    }
    const ranked = this.#ranked.get(zone)!;
    const inZone = childrenIn(ranked, ranked.indexOf(vm));
    if (ranked[0] !== vm) {
      return inZone;
    }
    const below = childrenIn(this.#zones, this.#zones.indexOf(zone));
    return [...below.map((each) => this.#ranked.get(each)![0]!), ...inZone];
  }

  /**
   * Where a VM that did not learn from above has to push as well: the first of
   * its zone, or from there the first of the first zone, whose pushes reach all.
   */
  aboveOf(vm: VmId): VmId | undefined {
    const zone = this.#zoneOf.get(vm);
    const first = zone === undefined ? undefined : this.#ranked.get(zone)![0];
    if (first !== vm) {
      return first;
    }
    const top = this.#ranked.get(this.#zones[0]!)![0];
    return top === vm ? undefined : top;
  }
}

function childrenIn<Item>(
  items: readonly Item[],
  at: number,
): readonly Item[] {
  return items.slice(FAN_OUT * at + 1, FAN_OUT * (at + 1) + 1);
}
