/**
 * The index of targets while targets and VMs change.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";
import { agreedOrder, firstOfOrder, hasHome } from "./agreed_order.ts";
import { hashText } from "./hash.ts";
import { homeShares } from "./home_shares.ts";
import type { Place, SteeredTarget } from "./target.ts";
import { TargetIndex } from "./target_index.ts";

const FROM: Place = {
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
    leaving: false,
    ...changes,
  };
}

/** A target that counts how often an order is computed from it. */
class CountedTarget {
  readonly target: SteeredTarget;
  static weighed = 0;

  constructor(name: number) {
    const { hash, ...rest } = target(name);
    this.target = {
      ...rest,
      get hash() {
        CountedTarget.weighed += 1;
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
  test("are those that sorting all of them finds", () => {
    fc.assert(fc.property(
      fc.uniqueArray(fc.nat(500), { maxLength: 60 }),
      fc.integer({ min: 1, max: 30 }),
      fc.nat(),
      fc.boolean(),
      (names, most, object, isHomeHere) => {
        const holders = names.map((name) => ({ target: target(name) }));
        const basis = { object, from: FROM, isHomeHere };
        expect(firstOfOrder(holders, basis, most))
          .toEqual(agreedOrder(holders, basis).slice(0, most));
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

  test("gives the order that one computed from nothing gives", () => {
    // Targets leave, come back in another place and start anew while requests use
    // the order. If an order outlived such a change, VMs would disagree on the home
    // of an object, and each of them would warm another target.
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
          const holder = index.get(next.id);
          known.set(next.id, next);
          if (holder === undefined) {
            index.add({ target: next });
          } else {
            index.update(holder, next);
          }
        };
        for (const { kind, name } of changes) {
          switch (kind) {
            case "add":
              set(target(name));
              break;
            case "leave":
              set(target(name, { leaving: true }));
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
            .map((holder) => holder.target);
          expect(order).toEqual(
            computedAnew([...known.values()], { members, evacuated, object }),
          );
        }
      },
    ));
  });

  test("computes no order anew when VMs come and go", () => {
    // All VMs are restarted one after the other. Were all orders thrown away at each
    // of these changes, a VM would sort all targets for nearly each request, just
    // while others are away and it has more to do.
    const index = new TargetIndex<{ target: SteeredTarget }>(FROM);
    index.setVms(vms(100, 100));
    for (let name = 0; name < 700; name++) {
      index.add(new CountedTarget(name));
    }
    const objects = Array.from({ length: 50 }, (_, object) => object * 7_919);
    const first = (object: number) => {
      for (const holder of index.inOrder(SERVICE, object)) {
        return holder;
      }
    };
    objects.forEach(first);
    CountedTarget.weighed = 0;
    for (let restarted = 0; restarted < 100; restarted++) {
      index.setVms(vms(99, 100));
      objects.forEach(first);
      index.setVms(vms(100, 100));
      objects.forEach(first);
    }
    // An object near the edge of what the region is home to may change sides once.
    expect(CountedTarget.weighed).toBeLessThanOrEqual(2 * 700);
  });
});

interface Computed {
  readonly members: readonly { readonly region: RegionId }[];
  readonly evacuated: ReadonlySet<string>;
  readonly object: number;
}

function computedAnew(
  targets: readonly SteeredTarget[],
  { members, evacuated, object }: Computed,
): readonly SteeredTarget[] {
  const slots = new Map<RegionId, number>();
  for (const { region, zone, leaving, slots: own } of targets) {
    if (!leaving && !evacuated.has(zone)) {
      slots.set(region, (slots.get(region) ?? 0) + own);
    }
  }
  const counts = new Map<RegionId, number>();
  for (const { region } of members) {
    counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  const share = homeShares({ slots, vms: counts }).get(FROM.region) ?? 1;
  const isHomeHere = hasHome(object, FROM.region, share);
  return agreedOrder(targets.map((one) => ({ target: one })), {
    object,
    from: FROM,
    isHomeHere,
  }).map((holder) => holder.target);
}
