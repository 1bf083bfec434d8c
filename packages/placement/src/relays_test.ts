/**
 * Which VMs query the store, and which VMs relay its changes to the others.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { RegionId, VmId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import { type RelayCandidate, relaysFor } from "./relays.ts";

function vm(name: string, region: string, cores = 1): RelayCandidate {
  return {
    vm: name as VmId,
    region: region as RegionId,
    cores,
    hash: hashText(name),
  };
}

const fleet = fc.uniqueArray(
  fc.tuple(
    fc.string({ minLength: 1 }),
    fc.constantFrom("north", "south"),
    fc.constantFrom(0.27, 1.35),
  ),
  { selector: ([name]) => name, minLength: 1, maxLength: 30 },
).map((vms) => vms.map(([name, region, cores]) => vm(name, region, cores)));

describe("relays", () => {
  test("leave one VM of each region to query the store", () => {
    fc.assert(fc.property(fleet, (vms) => {
      const storeReaders = vms.filter((one) =>
        relaysFor(one, vms).length === 0
      );
      const regions = new Set(vms.map(({ region }) => region));
      expect(storeReaders.map(({ region }) => region).sort())
        .toEqual([...regions].sort());
    }));
  });

  test("are of the same region, two at most, and the largest", () => {
    fc.assert(fc.property(fleet, (vms) => {
      for (const self of vms) {
        const relays = relaysFor(self, vms);
        expect(relays.length).toBeLessThanOrEqual(2);
        for (const relay of relays) {
          expect(relay.region).toBe(self.region);
          expect(relay.cores).toBeGreaterThanOrEqual(self.cores);
        }
      }
    }));
  });

  test("never form a cycle, whichever VMs each VM sees", () => {
    // Two VMs see different parts of the fleet, as during a network partition. If
    // each waited for the other's changes, neither would receive any, and no error would show it.
    const views = fleet.chain((vms) =>
      fc.tuple(
        fc.constant(vms),
        fc.array(fc.subarray(vms), {
          minLength: vms.length,
          maxLength: vms.length,
        }),
      )
    );
    fc.assert(fc.property(views, ([vms, seen]) => {
      const relaysByVm = new Map(
        vms.map((one, at) => [one.vm, relaysFor(one, seen[at]!)]),
      );
      for (const { vm: start } of vms) {
        const reached = new Set<VmId>();
        const next = [...relaysByVm.get(start)!];
        for (let one = next.pop(); one !== undefined; one = next.pop()) {
          if (!reached.has(one.vm)) {
            reached.add(one.vm);
            next.push(...relaysByVm.get(one.vm)!);
          }
        }
        expect(reached).not.toContain(start);
      }
    }));
  });
});
