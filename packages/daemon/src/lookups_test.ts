import { expect, test } from "vitest";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { rankVms } from "./lookups.ts";
import { TEST_PRESET } from "./testing.ts";

const region = (name: string) => name as RegionId;
const regions = ["north", "south", "west"].map((name) => ({
  id: region(name),
  zones: [`${name}-1`, `${name}-2`] as ZoneId[],
}));
const link = (from: string, to: string, oneWayMs: number) => ({
  from: region(from),
  to: region(to),
  oneWayMs,
  maxInFlight: 10,
});
const preset = {
  ...TEST_PRESET,
  regions,
  links: [link("north", "south", 55), link("north", "west", 20)],
  lookup: { lifetimeMs: 5_000, regions: 2 },
};

function vmsOf(count: number) {
  return regions.flatMap(({ id, zones }) =>
    zones.flatMap((zone) =>
      Array.from({ length: count }, (_, n) => ({
        vm: `${zone}-${n + 1}` as VmId,
        region: id,
        zone,
        caller: "127.0.0.1:1",
      }))
    )
  );
}

test("the nearest VMs come first: zone, then region, then delay", () => {
  const self = { region: region("south"), zone: "south-1" as ZoneId };
  const response = rankVms(
    { preset, vms: vmsOf(1), self },
    "north-2" as ZoneId,
  );
  expect(response.vms.map(({ vm }) => vm)).toEqual([
    "north-2-1",
    "north-1-1",
    expect.stringMatching(/^west-/),
    expect.stringMatching(/^west-/),
    expect.stringMatching(/^south-/),
    expect.stringMatching(/^south-/),
  ]);
});

test("a response is limited in length and names VMs of a second region", () => {
  // A region has more VMs than a response holds. If all of them were of that region,
  // its callers would have no VM to use when the region is lost.
  const self = { region: region("north"), zone: "north-1" as ZoneId };
  const response = rankVms(
    { preset, vms: vmsOf(20), self },
    "north-1" as ZoneId,
  );
  expect(response.vms).toHaveLength(12);
  expect(new Set(response.vms.map((vm) => vm.region))).toEqual(
    new Set(["north", "west"]),
  );
});
