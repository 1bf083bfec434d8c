/**
 * The target index while targets and VMs change.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";
import { firstInOrder, hasHome, rendezvousOrder } from "./rendezvous_order.ts";
import { hashText } from "./hash.ts";
import { homeShares } from "./home_shares.ts";
import type { Location, SteeredTarget } from "./target.ts";
import { TargetIndex } from "./target_index.ts";

const FROM: Location = {
  zone: "north-1" as ZoneId,
  region: "north" as RegionId,
};
const SERVICE = "portal" as ServiceId;
const REGIONS = ["north", "south", "west"] as RegionId[];

function target(
  name: number,
  changes: Partial<SteeredTarget> = {},
): SteeredTarget {
  const region = REGIONS[name % REGIONS.length]!;
  return {
    id: `t-${name}` as TargetId,
    service: SERVICE,
    zone: `${region}-1` as ZoneId,
    region,
    slots: 3,
    hash: hashText(`t-${name}`),
    coldPerSecond: 2,
    isLeaving: false,
    ...changes,
  };
}

/** A target that counts how often its weight in an order is computed. */
class CountedTarget {
  readonly target: SteeredTarget;
  static scored = 0;

  constructor(name: number) {
    const { hash, ...rest } = target(name);
    this.target = {
      ...rest,
      get hash() {
        CountedTarget.scored += 1;
        return hash;
      },
    };
  }
}

function vms(north: number, south: number): { region: RegionId }[] {
  return [
    ...Array.from({ length: north }, () => ({ region: REGIONS[0]! })),
    ...Array.from({ length: south }, () => ({ region: REGIONS[1]! })),
  ];
}

describe("the first targets of an order", () => {
  test("are the same as after sorting all of them", () => {
    fc.assert(fc.property(
      fc.uniqueArray(fc.nat(500), { maxLength: 60 }),
      fc.integer({ min: 1, max: 30 }),
      fc.nat(),
      fc.boolean(),
      (names, count, object, isHomeHere) => {
        const entries = names.map((name) => ({ target: target(name) }));
        const params = { object, from: FROM, isHomeHere };
        expect(firstInOrder(entries, params, count))
          .toEqual(rendezvousOrder(entries, params).slice(0, count));
      },
    ));
  });
});

describe("an index that changes", () => {
  const change = fc.oneof(
    fc.record({ kind: fc.constant("add" as const), name: fc.nat(80) }),
    fc.record({ kind: fc.constant("leave" as const), name: fc.nat(80) }),
    fc.record({ kind: fc.constant("move" as const), name: fc.nat(80) }),
    fc.record({ kind: fc.constant("delete" as const), name: fc.nat(80) }),
    fc.record({ kind: fc.constant("vms" as const), name: fc.nat(80) }),
    fc.record({ kind: fc.constant("evacuate" as const), name: fc.nat(2) }),
  );

  test("returns the same order as one computed from scratch", () => {
    // Targets leave, move to another region and restart while requests use the
    // order. If a cached order outlived such a change, VMs would disagree on the
    // home of an object, and each would warm another target.
    fc.assert(fc.property(
      fc.array(change, { maxLength: 60 }),
      fc.nat(20),
      (changes, object) => {
        const index = new TargetIndex<{ target: SteeredTarget }>(FROM);
        const known = new Map<TargetId, SteeredTarget>();
        let members = vms(1, 1);
        let evacuated = new Set<string>();
        index.setVms(members);
        const set = (next: SteeredTarget) => {
          const entry = index.get(next.id);
          known.set(next.id, next);
          if (entry === undefined) {
            index.add({ target: next });
          } else {
            index.update(entry, next);
          }
        };
        for (const { kind, name } of changes) {
          switch (kind) {
            case "add":
              set(target(name));
              break;
            case "leave":
              set(target(name, { isLeaving: true }));
              break;
            case "move":
              set(target(name, { region: REGIONS[0]!, slots: 9 }));
              break;
            case "delete":
              known.delete(target(name).id);
              index.delete(target(name).id);
              break;
            case "vms":
              members = vms(1 + name, 5);
              index.setVms(members);
              break;
            case "evacuate":
              evacuated = new Set([`${REGIONS[name]!}-1`]);
              index.setEvacuated(evacuated);
              break;
          }
          const order = [...index.inOrder(SERVICE, object)]
            .map((entry) => entry.target);
          expect(order).toEqual(
            computeFromScratch([...known.values()], {
              members,
              evacuated,
              object,
            }),
          );
        }
      },
    ));
  });

  test("recomputes no order when VMs are added or removed", () => {
    // All VMs are restarted one after the other. If each of these changes
    // invalidated all orders, a VM would sort all targets for nearly every request
    // while it also handles the load of the VMs that are down.
    const index = new TargetIndex<{ target: SteeredTarget }>(FROM);
    index.setVms(vms(100, 100));
    for (let name = 0; name < 700; name++) {
      index.add(new CountedTarget(name));
    }
    const objects = Array.from({ length: 50 }, (_, object) => object * 7_919);
    const firstInCachedOrder = (object: number) => {
      for (const entry of index.inOrder(SERVICE, object)) {
        return entry;
      }
    };
    objects.forEach(firstInCachedOrder);
    CountedTarget.scored = 0;
    for (let restarted = 0; restarted < 100; restarted++) {
      index.setVms(vms(99, 100));
      objects.forEach(firstInCachedOrder);
      index.setVms(vms(100, 100));
      objects.forEach(firstInCachedOrder);
    }
    // An object at the boundary of the region's home share may move to another
    // region and back once.
    expect(CountedTarget.scored).toBeLessThanOrEqual(2 * 700);
  });
});

interface OrderInputs {
  readonly members: readonly { readonly region: RegionId }[];
  readonly evacuated: ReadonlySet<string>;
  readonly object: number;
}

function computeFromScratch(
  targets: readonly SteeredTarget[],
  { members, evacuated, object }: OrderInputs,
): readonly SteeredTarget[] {
  const slots = new Map<RegionId, number>();
  for (
    const { region, zone, isLeaving: leaving, slots: targetSlots } of targets
  ) {
    if (!leaving && !evacuated.has(zone)) {
      slots.set(region, (slots.get(region) ?? 0) + targetSlots);
    }
  }
  const counts = new Map<RegionId, number>();
  for (const { region } of members) {
    counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  const share = homeShares({ slots, vms: counts }).get(FROM.region) ?? 1;
  const isHomeHere = hasHome(object, FROM.region, share);
  return rendezvousOrder(targets.map((one) => ({ target: one })), {
    object,
    from: FROM,
    isHomeHere,
  }).map((entry) => entry.target);
}
