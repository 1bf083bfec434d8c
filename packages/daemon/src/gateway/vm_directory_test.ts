/**
 * Which VMs are up, and which addresses look-ups return.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";
import { memberNamed } from "./testing.ts";
import { VmDirectory } from "./vm_directory.ts";

function member(vm: string, region: string, run = "a"): Member {
  return memberNamed(vm, {
    instance: `${vm}.${run}` as InstanceId,
    zone: `${region}-1` as ZoneId,
    region: region as RegionId,
  });
}

function directory(): { vms: VmDirectory; changes: string[] } {
  const changes: string[] = [];
  const vms = new VmDirectory({
    self: member("n-1", "north"),
    onChange: ({ vm }, change) => changes.push(`${vm} ${change}`),
  });
  return { vms, changes };
}

function addresses(vms: VmDirectory, region: string, now: number) {
  return vms.addressesFor(
    { region: region as RegionId, zone: `${region}-1` as ZoneId },
    now,
  );
}

const UP = { isLeaving: false };
/** Regions may lose each other for so long. */
const HOUR_MS = 3_600_000;

describe("a look-up", () => {
  test("returns only VMs with heartbeats, not those that are merely listed", () => {
    // The store lists every VM that ever ran, also one that lost power for good. A caller
    // that gets its address waits for a connection that is never accepted.
    const { vms } = directory();
    vms.addRegistered([member("n-2", "north"), member("n-3", "north")], 0);
    vms.recordHeartbeat(member("n-2", "north"), { now: 0, ...UP });
    expect(addresses(vms, "north", 100)).toEqual(["n-1:80", "n-2:80"]);
  });

  test("leaves out a VM that reaches no target while enough others are up", () => {
    const { vms } = directory();
    const cutOff = { ...UP, isCutOff: true };
    vms.recordHeartbeat(member("n-2", "north"), { now: 0, ...cutOff });
    vms.recordHeartbeat(member("n-3", "north"), { now: 0, ...UP });
    expect(addresses(vms, "north", 100)).toEqual(["n-1:80", "n-3:80"]);
    expect(vms.peersWithTargets(100).map(({ vm }) => vm)).toEqual(["n-3"]);
    vms.recordHeartbeat(member("n-3", "north"), { now: 200, ...cutOff });
    expect(addresses(vms, "north", 300)).toEqual([
      "n-1:80",
      "n-2:80",
      "n-3:80",
    ]);
    vms.recordHeartbeat(member("n-2", "north"), { now: 400, ...UP });
    expect(addresses(vms, "north", 500)).toEqual(["n-1:80", "n-2:80"]);
  });

  test("leaves out a VM that lacks processor time while most of the region have enough", () => {
    // Guards against callers that wait for a VM that reads their requests too late.
    const { vms } = directory();
    const overloaded = { ...UP, isOverloaded: true };
    vms.recordHeartbeat(member("n-2", "north"), { now: 0, ...overloaded });
    vms.recordHeartbeat(member("n-3", "north"), { now: 0, ...UP });
    expect(addresses(vms, "north", 100)).toEqual(["n-1:80", "n-3:80"]);
    vms.recordHeartbeat(member("n-3", "north"), { now: 200, ...overloaded });
    expect(addresses(vms, "north", 300)).toEqual([
      "n-1:80",
      "n-2:80",
      "n-3:80",
    ]);
    vms.recordHeartbeat(member("n-2", "north"), { now: 400, ...UP });
    vms.setOverloaded(true);
    vms.recordHeartbeat(member("n-3", "north"), { now: 400, ...UP });
    expect(addresses(vms, "north", 500)).toEqual(["n-2:80", "n-3:80"]);
  });

  test("no longer returns a VM that is unresponsive or leaving", () => {
    const { vms, changes } = directory();
    vms.recordHeartbeat(member("n-2", "north"), { now: 0, ...UP });
    vms.recordHeartbeat(member("n-3", "north"), { now: 0, ...UP });
    vms.recordHeartbeat(member("n-3", "north"), {
      now: 2_000,
      isLeaving: true,
    });
    vms.sweep(4_000);
    expect(addresses(vms, "north", 4_000)).toEqual(["n-1:80"]);
    expect(changes).toEqual(["n-2 up", "n-3 up", "n-3 leaving", "n-2 down"]);
  });

  test("returns VMs of other regions if the caller's region has too few", () => {
    const { vms } = directory();
    vms.recordHeartbeat(member("s-1", "south"), { now: 0, ...UP });
    vms.recordHeartbeat(member("s-2", "south"), { now: 0, ...UP });
    expect(addresses(vms, "south", 0)).toEqual(["s-1:80", "s-2:80"]);
    expect(addresses(vms, "north", 0)).toEqual(["n-1:80", "s-1:80", "s-2:80"]);
  });

  test("does not return this VM once it is leaving", () => {
    const { vms } = directory();
    vms.leave();
    expect(addresses(vms, "north", 0)).toEqual([]);
  });
});

test("a VM that has restarted is greeted again", () => {
  const { vms } = directory();
  const isNew = (run: string, now: number) =>
    vms.recordHeartbeat(member("n-2", "north", run), { now, ...UP });
  expect([isNew("a", 0), isNew("a", 1_000), isNew("b", 1_500)])
    .toEqual([true, false, true]);
});

describe("VMs of other zones", () => {
  const report = (vm: string, ageMs: number) => ({
    vm: vm as VmId,
    ageMs,
    isLeaving: false,
  });

  test("are up while reports show recent heartbeats", () => {
    const { vms, changes } = directory();
    vms.addRegistered([member("s-1", "south"), member("s-2", "south")], 0);
    vms.recordStatus(report("s-1", 200), 1_000);
    vms.recordStatus(report("s-2", 3_000), 1_000);
    vms.recordStatus(report("unknown", 0), 1_000);
    expect(vms.up(2_000).map(({ vm }) => vm)).toEqual(["n-1", "s-1", "s-2"]);
    vms.sweep(3_500);
    expect(vms.up(3_500).map(({ vm }) => vm)).toEqual(["n-1", "s-1"]);
    expect(changes).toEqual(["s-1 up", "s-2 up", "s-2 down"]);
  });

  test("go down also after a report of a heartbeat in the future", () => {
    const { vms } = directory();
    vms.addRegistered([member("s-1", "south")], 0);
    vms.recordStatus(report("s-1", -3_600_000), 1_000);
    vms.sweep(10_000);
    expect(vms.up(10_000).map(({ vm }) => vm)).toEqual(["n-1"]);
  });

  test("stay up until their zone notices the loss of its delegates", () => {
    // A zone loses all its delegates at once. Its other VMs notice after 3.2 s and then
    // report. If the last reports were not valid that long, the whole zone would seem
    // down, and its targets' requests would move to other zones.
    const { vms } = directory();
    vms.addRegistered([member("s-1", "south")], 0);
    vms.recordStatus(report("s-1", 0), 1_000);
    expect(vms.up(1_000 + 3_200 + 1_000).map(({ vm }) => vm))
      .toEqual(["n-1", "s-1"]);
  });

  test("get reports from only two VMs of each zone", () => {
    const names = ["n-1", "n-2", "n-3", "n-4"];
    const delegates = names.filter((name) => {
      const vms = new VmDirectory({
        self: member(name, "north"),
        onChange: () => undefined,
      });
      vms.addRegistered([member("s-1", "south")], 0);
      names.forEach((other) =>
        vms.recordHeartbeat(member(other, "north"), { now: 0, ...UP })
      );
      return vms.reportRecipients(100).length > 0;
    });
    expect(delegates).toHaveLength(2);
  });

  test("share the fleet's limits even while their heartbeats are missing", () => {
    // A region is partitioned, and both sides keep running. A limit on all VMs together
    // holds only if each VM keeps to its share of the full fleet. With shares of the VMs
    // that each side sees, both sides together would send twice the retries that targets
    // can handle.
    const { vms } = directory();
    vms.addRegistered([member("s-1", "south"), member("n-2", "north")], 0);
    vms.recordStatus(report("s-1", 0), 1_000);
    vms.sweep(9_000);
    expect(vms.up(9_000)).toHaveLength(1);
    expect(vms.fleetSize(9_000)).toBe(3);
    for (let now = 10_000; now < HOUR_MS; now += 1_000) {
      vms.sweep(now);
    }
    expect(vms.fleetSize(HOUR_MS)).toBe(3);
  });
});

describe("VMs of a region share its limits", () => {
  const zones = ["north-1", "north-2"];
  const members = zones.flatMap((zone) =>
    [1, 2].map((index) => ({
      ...member(`${zone}-${index}`, "north"),
      zone: zone as ZoneId,
    }))
  );

  /** The share of the region's limits that a VM uses after a minute in which it hears only of `heard`. */
  function shareOf(self: Member, heard: readonly Member[]): number {
    const vms = new VmDirectory({ self, onChange: () => undefined });
    vms.addRegistered(members, 0);
    for (let now = 0; now <= 60_000; now += 1_000) {
      for (const one of now < 5_000 ? members : heard) {
        if (one.zone === self.zone) {
          vms.recordHeartbeat(one, { now, ...UP });
        } else {
          vms.recordStatus({ vm: one.vm, ageMs: 0, ...UP }, now);
        }
      }
      vms.sweep(now);
    }
    return vms.upInRegion(60_000).length / vms.knownInRegion(60_000);
  }

  test("while its zones do not hear of each other for a minute", () => {
    // Guards against quotas that each zone grants as if it were the whole region.
    const shares = zones.map((zone) => {
      const ofZone = members.filter((one) => one.zone === zone);
      return shareOf(ofZone[0]!, ofZone);
    });
    expect(shares).toEqual([1 / 2, 1 / 2]);
  });

  test("without one that its zone has not heard of for a minute", () => {
    // Guards against quotas that are cut for hours when one VM ends.
    expect(shareOf(members[0]!, members.slice(0, 3))).toBe(1);
  });
});

test("one VM of each zone sends warm-target updates to the other zones of its region, and to no other region", () => {
  const inZone = (vm: string, zone: string, region: string) => ({
    ...member(vm, region),
    zone: zone as ZoneId,
  });
  const all = [
    inZone("n-1", "north-1", "north"),
    inZone("n-2", "north-1", "north"),
    inZone("n-3", "north-2", "north"),
    inZone("s-1", "south-1", "south"),
  ];
  const recipients = all.slice(0, 2).map((self) => {
    const vms = new VmDirectory({ self, onChange: () => undefined });
    vms.addRegistered(all, 0);
    all.forEach((one) => vms.recordHeartbeat(one, { now: 0, ...UP }));
    return vms.warmRecipients(100).map(({ vm }) => vm);
  });
  expect(recipients.toSorted((a, b) => a.length - b.length)).toEqual([
    [],
    ["n-3"],
  ]);
});

test("an IP address names the VM that was known there last", () => {
  // A message from the replacement of a VM would otherwise count as one of its
  // predecessor.
  const { vms } = directory();
  const at = (vm: string, host: string) =>
    memberNamed(vm, { peerAddress: `${host}:77` });
  vms.addRegistered([at("n-3", "10.0.0.2"), at("n-2", "10.0.0.2")], 0);
  vms.recordHeartbeat(at("n-3", "10.0.0.2"), { now: 100, ...UP });
  expect(vms.vmAt("10.0.0.2")).toBe("n-3");
  vms.recordHeartbeat(at("n-3", "10.0.0.3"), { now: 200, ...UP });
  expect(vms.vmAt("10.0.0.2")).toBe("n-2");
  expect(vms.hostOf("n-3" as VmId)).toBe("10.0.0.3");
  expect(vms.vmAt("10.0.0.9")).toBeUndefined();
});
