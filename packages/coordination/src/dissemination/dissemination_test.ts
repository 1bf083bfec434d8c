import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, test } from "vitest";
import { id, type InstanceId, type VmId, type ZoneId } from "@poplarthread/ids";
import type { MemberState } from "../membership/messages.ts";
import { VirtualNet } from "../virtual/mod.ts";
import { Dissemination } from "./dissemination.ts";
import type { DisseminatedChange, DisseminationMessage } from "./messages.ts";
import { readersOf } from "./ranks.ts";

const MEMBERS = Array.from({ length: 60 }, (_, n) => ({
  vm: id<VmId>(`e${n}`),
  zone: id<ZoneId>(`z${n % 6}`),
  state: "joined" as MemberState,
}));

class Fleet {
  readonly cores = new Map<string, Dissemination>();
  readonly applied = new Map<string, number[]>();
  sent = 0;
  readonly net = new VirtualNet<DisseminationMessage>({
    random: xoroshiro128plus(11),
    tickMs: 100,
    delay: () => 20,
    onSend: () => this.sent += 1,
    onEffect: (vm, effect) => {
      if (effect.kind === "apply") {
        const { change } = effect as unknown as { change: DisseminatedChange };
        this.applied.set(vm, [...this.applied.get(vm) ?? [], change.revision]);
      }
    },
  });

  constructor() {
    for (const { vm, zone } of MEMBERS) {
      const instance = id<InstanceId>(`${vm}-1`);
      const core = new Dissemination({ self: { vm, instance, zone } });
      core.setMembers(MEMBERS);
      this.cores.set(vm, core);
      this.net.add(vm, core);
    }
  }

  originate(vm: string, revision: number): void {
    const core = this.cores.get(vm)!;
    this.net.apply(vm, core.originate(changeTo(revision), this.net.now));
  }

  /** Number of members that have at least `revision`. */
  memberCountAt(revision: number): number {
    return [...this.cores.values()]
      .filter((core) => core.revision >= revision).length;
  }
}

function changeTo(revision: number, body = "body"): DisseminatedChange {
  return { from: revision - 1, revision, digest: "d", body };
}

test("a change from any origin is applied once by each member, with few messages", () => {
  const fleet = new Fleet();
  for (const [at, origin] of ["e0", "e17", "e59"].entries()) {
    const before = fleet.sent;
    fleet.originate(origin, at + 1);
    fleet.net.run(1_000);
    expect(fleet.memberCountAt(at + 1)).toBe(60);
    // One push and one acknowledgement each, and two of each upstream.
    expect(fleet.sent - before).toBeLessThanOrEqual(2 * 60 + 4);
  }
  for (const revisions of fleet.applied.values()) {
    expect(revisions).toEqual([1, 2, 3]);
  }
});

test("the readers of a zone are its three highest-ranked joined members", () => {
  const zone = id<ZoneId>("z2");
  const [first, ...rest] = readersOf(zone, MEMBERS);
  const withoutFirst = MEMBERS.map((member) =>
    member.vm === first ? { ...member, state: "leaving" as const } : member
  );
  expect(rest).toHaveLength(2);
  expect(readersOf(zone, withoutFirst).slice(0, 2)).toEqual(rest);
});

// VMs that should forward a change have just failed, which is not yet detected.
// The VMs below them would use the old configuration until it is.
test("a change reaches all members below ones that have just failed", () => {
  const fleet = new Fleet();
  const dead = ["e1", "e2", "e3", "e6", "e12"];
  dead.forEach((vm) => fleet.net.kill(vm));
  fleet.originate("e0", 1);
  fleet.net.run(3_000);
  expect(fleet.memberCountAt(1)).toBe(60 - dead.length);
});

// A VM was unreachable during three changes. It must not apply the third to the
// state before the first.
test("a member that missed changes pulls them and applies all in order", () => {
  const fleet = new Fleet();
  fleet.net.pause("e40");
  [1, 2, 3].forEach((revision) => {
    fleet.originate("e0", revision);
    fleet.net.run(1_000);
  });
  fleet.net.kill("e40");
  const late = new Dissemination({
    self: {
      vm: id<VmId>("e40"),
      instance: id<InstanceId>("e40-2"),
      zone: id<ZoneId>("z4"),
    },
  });
  fleet.net.add("e40", late);
  fleet.net.apply("e40", late.ahead(id<VmId>("e7"), 3, fleet.net.now));
  fleet.net.run(1_000);
  expect(fleet.applied.get("e40")).toEqual([1, 2, 3]);
});

// Another reader still sees the previous row. Returning to it would undo an
// accepted change on part of the fleet.
test("no member returns to an earlier revision", () => {
  const fleet = new Fleet();
  fleet.originate("e0", 1);
  fleet.originate("e0", 2);
  fleet.net.run(1_000);
  fleet.originate("e30", 1);
  fleet.net.run(1_000);
  expect(fleet.memberCountAt(2)).toBe(60);
});
