/**
 * Which VMs callers are told to use.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";
import { VmDirectory } from "./vm_directory.ts";

function member(vm: string, region: string, life = "a"): Member {
  return {
    vm: vm as VmId,
    instance: `${vm}.${life}` as InstanceId,
    zone: `${region}-1` as ZoneId,
    region: region as RegionId,
    callerAddress: `${vm}:80`,
    cores: 1,
    peerAddress: `${vm}:77`,
  };
}

function directory(): { vms: VmDirectory; changes: string[] } {
  const changes: string[] = [];
  const vms = new VmDirectory({
    self: member("n-1", "north"),
    onChange: ({ vm }, change) => changes.push(`${vm} ${change}`),
  });
  return { vms, changes };
}

function told(vms: VmDirectory, region: string, now: number) {
  return vms.addressesFor(
    { region: region as RegionId, zone: `${region}-1` as ZoneId },
    now,
  );
}

const UP = { isLeaving: false };

describe("a look-up", () => {
  test("names only VMs that were heard, not those that are merely listed", () => {
    // The store lists each VM that ever ran. One that lost its power for good stays
    // listed, and callers who are told to use it wait for a connection that never
    // comes.
    const { vms } = directory();
    vms.listed([member("n-2", "north"), member("n-3", "north")]);
    vms.heard(member("n-2", "north"), { now: 0, ...UP });
    expect(told(vms, "north", 100)).toEqual(["n-1:80", "n-2:80"]);
  });

  test("stops naming a VM that has fallen silent or leaves", () => {
    const { vms, changes } = directory();
    vms.heard(member("n-2", "north"), { now: 0, ...UP });
    vms.heard(member("n-3", "north"), { now: 0, ...UP });
    vms.heard(member("n-3", "north"), { now: 2_000, isLeaving: true });
    vms.sweep(4_000);
    expect(told(vms, "north", 4_000)).toEqual(["n-1:80"]);
    expect(changes).toEqual(["n-2 up", "n-3 up", "n-3 leaving", "n-2 down"]);
  });

  test("names other regions where the caller's own has too few", () => {
    const { vms } = directory();
    vms.heard(member("s-1", "south"), { now: 0, ...UP });
    vms.heard(member("s-2", "south"), { now: 0, ...UP });
    expect(told(vms, "south", 0)).toEqual(["s-1:80", "s-2:80"]);
    expect(told(vms, "north", 0)).toEqual(["n-1:80", "s-1:80", "s-2:80"]);
  });

  test("does not name this VM once it leaves", () => {
    const { vms } = directory();
    vms.leave();
    expect(told(vms, "north", 0)).toEqual([]);
  });
});

test("a VM that has started anew is greeted again", () => {
  const { vms } = directory();
  const heard = (life: string, now: number) =>
    vms.heard(member("n-2", "north", life), { now, ...UP });
  expect([heard("a", 0), heard("a", 1_000), heard("b", 1_500)])
    .toEqual([true, false, true]);
});
