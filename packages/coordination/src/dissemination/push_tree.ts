/**
 * The push tree. Zones form a tree ordered by name; the members of each zone form
 * a tree ordered by rank, whose root is the zone's first member. Every VM computes
 * it locally.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import { rankedIn, type RankedMember } from "./ranks.ts";

/** Children per node. With 4, a zone of 120 members has four levels, and 25 zones have three. */
const FAN_OUT = 4;

/** The tree for one set of members. */
export class PushTree {
  readonly #zoneOf = new Map<VmId, ZoneId>();
  readonly #ranked = new Map<ZoneId, readonly VmId[]>();
  readonly #zones: readonly ZoneId[];

  constructor(members: readonly RankedMember[]) {
    const alive = members.filter(({ state }) => state !== "dead");
    const byZone = new Map<ZoneId, RankedMember[]>();
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

  /** The VMs that a VM pushes to: its children in the zone and, for a zone's first member, the first members of the zones below. */
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
    return [
      ...below.map((childZone) => this.#ranked.get(childZone)![0]!),
      ...inZone,
    ];
  }

  /**
   * The VM to which a VM also pushes if it did not receive the change from its
   * parent: the first member of its zone or, for that member, the first member of
   * the first zone, whose pushes reach all VMs.
   */
  upstreamOf(vm: VmId): VmId | undefined {
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
