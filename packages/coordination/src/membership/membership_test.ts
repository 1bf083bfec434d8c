import fc from "fast-check";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { expect, test } from "vitest";
import {
  id,
  type InstanceId,
  type RegionId,
  type VmId,
  type ZoneId,
} from "@poplarthread/ids";
import { VirtualNet } from "../virtual/mod.ts";
import type {
  ListedMember,
  MembershipEffect,
  MembershipMessage,
  MemberState,
} from "./messages.ts";
import { Membership } from "./membership.ts";

const SEED = 4_097;

interface Change {
  readonly at: string;
  readonly vm: string;
  readonly state: MemberState;
}

/** A fleet on a virtual clock: 3 regions with 55 ms one-way delay, as in the larger deployment. */
class Fleet {
  readonly cores = new Map<string, Membership>();
  readonly random = xoroshiro128plus(SEED);
  readonly net: VirtualNet<MembershipMessage>;
  changes: Change[] = [];
  superseded: string[] = [];
  sent = 0;
  lossShare = 0;
  isCut: (from: string, to: string) => boolean = () => false;
  #instances = 0;

  constructor(size: number) {
    this.net = new VirtualNet<MembershipMessage>({
      random: this.random,
      tickMs: 100,
      delay: (from, to) => this.#delay(from, to),
      onSend: () => this.sent += 1,
      onEffect: (at, effect) => this.#record(at, effect as MembershipEffect),
    });
    this.vms(size).forEach((vm) => this.start(vm));
    this.cores.forEach((core) => core.mergeVmList(this.list(), 0));
  }

  vms(size: number): readonly string[] {
    return Array.from({ length: size }, (_, n) => `e${n}`);
  }

  list(): readonly ListedMember[] {
    return [...this.cores.keys()]
      .map((vm) => ({ ...locationOf(vm), state: "live" as const }));
  }

  start(vm: string): void {
    this.#instances += 1;
    const core = new Membership({
      self: {
        ...locationOf(vm),
        instance: id<InstanceId>(
          `i${String(this.#instances).padStart(4, "0")}`,
        ),
      },
      random: xoroshiro128plus(SEED + this.#instances),
      now: this.net.now,
    });
    this.cores.set(vm, core);
    this.net.add(vm, core);
  }

  /** State of `vm` as seen by `at`. */
  state(at: string, vm: string): MemberState | undefined {
    return this.cores.get(at)!.member(id<VmId>(vm))?.state;
  }

  /** States of `vm` as seen by all others. */
  statesOf(vm: string): ReadonlySet<MemberState | undefined> {
    const others = [...this.cores.keys()].filter((at) => at !== vm);
    return new Set(others.map((at) => this.state(at, vm)));
  }

  kill(vm: string): void {
    this.net.kill(vm);
    this.cores.delete(vm);
  }

  #delay(from: string, to: string): number | undefined {
    const isLost = this.isCut(from, to) ||
      uniformInt(this.random, 0, 999) < this.lossShare * 1_000;
    return isLost ? undefined : regionOf(from) === regionOf(to) ? 2 : 55;
  }

  #record(at: string, effect: MembershipEffect): void {
    if (effect.kind === "changed") {
      const { vm, state } = effect.member;
      this.changes.push({ at, vm, state });
    } else if (effect.kind === "superseded") {
      this.superseded.push(at);
    }
  }
}

function regionOf(vm: string): string {
  return `r${Number(vm.slice(1)) % 3}`;
}

function locationOf(vm: string): Omit<ListedMember, "state"> {
  const region = id<RegionId>(regionOf(vm));
  const zone = id<ZoneId>(
    `${region}-${Math.floor(Number(vm.slice(1)) / 3) % 2}`,
  );
  return { vm: id<VmId>(vm), region, zone, address: `10.0.0.${vm.slice(1)}:1` };
}

function deadChanges(fleet: Fleet): readonly Change[] {
  return fleet.changes.filter(({ state }) => state === "dead");
}

test("members of a fleet learn each other's instances", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  for (const core of fleet.cores.values()) {
    expect(core.members().every(({ instance }) => instance !== "")).toBe(true);
  }
});

// A VM is about to stop. Any VM that does not know this still returns it in
// look-ups to callers, whose cached results then outlive it.
test("a leave reaches all members within two seconds", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.net.apply("e5", fleet.cores.get("e5")!.leave(fleet.net.now));
  fleet.net.run(2_000);
  expect(fleet.statesOf("e5")).toEqual(new Set(["leaving"]));
});

// One VM gets a response from a target that shows it is draining. Without the
// fact, its peers would send new work there until they get such a response.
test("a target's leaving reaches all members within two seconds, also under message loss", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.lossShare = 0.1;
  const fact = {
    key: "leaving/target/t1",
    version: 1,
    value: null,
    lifetimeMs: 60_000,
    urgent: true,
  };
  fleet.net.apply("e0", fleet.cores.get("e0")!.publish(fact, fleet.net.now));
  fleet.net.run(2_000);
  for (const core of fleet.cores.values()) {
    expect(core.facts(fleet.net.now).map(({ key }) => key)).toEqual([fact.key]);
  }
  fleet.net.run(120_000);
  for (const core of fleet.cores.values()) {
    expect(core.facts(fleet.net.now)).toEqual([]);
  }
});

// A process crashes without notice, and the platform's list still contains it.
test("a killed VM is considered dead by all within ten seconds", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.kill("e7");
  fleet.net.run(10_000);
  expect(fleet.statesOf("e7")).toEqual(new Set(["dead"]));
});

// A member without a response asks others to ping indirectly. If those asked
// further members in turn, one dead VM would cause a storm of messages.
test("a killed VM costs the others few messages", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  const before = fleet.sent;
  fleet.net.run(10_000);
  const usual = fleet.sent - before;
  fleet.kill("e5");
  fleet.net.run(10_000);
  // Each of 11 members pings in six periods, three others ping for it with a
  // request and a ping each, and finally all notify all.
  const maxExtra = 11 * 6 * (1 + 3 + 3) + 11 * 11;
  expect(fleet.sent - before - usual).toBeLessThan(usual + maxExtra);
});

// A VM is disconnected for three seconds, less than the time until a member is
// declared dead. If each failed indirect ping counted as a missed period, that
// would happen after one period, and a live VM would lose its callers.
test("a short partition makes no member dead", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.isCut = (from, to) => (from === "e7") !== (to === "e7");
  fleet.net.run(3_000);
  fleet.isCut = () => false;
  fleet.net.run(10_000);
  expect(deadChanges(fleet)).toEqual([]);
});

// The network drops one message in ten for two minutes. Each time a member
// changes between dead and alive, its callers and its slots move.
test("message loss alone makes no member dead", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.lossShare = 0.1;
  fleet.net.run(120_000);
  expect(deadChanges(fleet)).toEqual([]);
});

// A VM's process is paused. When it resumes, all responses it waits for are
// overdue on its own clock, as if every other member had deadChanges.
test("a VM that was paused declares nobody dead and rejoins", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.net.pause("e4");
  fleet.net.run(30_000);
  expect(fleet.statesOf("e4")).toEqual(new Set(["dead"]));
  fleet.changes = [];
  fleet.net.resume("e4");
  fleet.net.run(30_000);
  expect(fleet.statesOf("e4")).toEqual(new Set(["joined"]));
  expect(deadChanges(fleet)).toEqual([]);
});

// A region loses its links to the two others for ten minutes. If dead members
// were never pinged again, the two sides would stay separate afterwards.
test("two sides of a partition rejoin when it heals", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.isCut = (from, to) =>
    (regionOf(from) === "r0") !== (regionOf(to) === "r0");
  fleet.net.run(600_000);
  expect(fleet.state("e1", "e0")).toBe("dead");
  fleet.isCut = () => false;
  fleet.net.run(60_000);
  for (const vm of fleet.cores.keys()) {
    expect(fleet.statesOf(vm)).toEqual(new Set(["joined"]));
  }
});

// A VM is restarted under the same name. Peers that still use the previous
// instance would wait for responses to requests that no longer exist.
test("a restarted VM is known by its new instance, whatever was reported of the old", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.start("e3");
  const core = fleet.cores.get("e3")!;
  core.mergeVmList(fleet.list(), fleet.net.now);
  fleet.net.run(10_000);
  const self = core.member(id<VmId>("e3"))!;
  for (const other of fleet.cores.values()) {
    expect(other.member(self.vm)?.instance).toBe(self.instance);
  }
  expect(fleet.superseded).toEqual([]);
});

// The platform's list is stale: it still shows a VM as leaving after its next
// instance has started. The state must not apply to the new instance.
test("a listed leaving applies only to the instance it was seen for", () => {
  const fleet = new Fleet(6);
  fleet.net.run(10_000);
  const stale = fleet.list().map((entry) =>
    entry.vm === "e3" ? { ...entry, state: "leaving" as const } : entry
  );
  const reader = fleet.cores.get("e0")!;
  fleet.net.apply("e0", reader.mergeVmList(stale, fleet.net.now));
  fleet.net.run(2_000);
  expect(fleet.statesOf("e3")).toEqual(new Set(["leaving"]));
  fleet.start("e3");
  fleet.cores.get("e3")!.mergeVmList(fleet.list(), fleet.net.now);
  fleet.net.run(10_000);
  fleet.net.apply("e0", reader.mergeVmList(stale, fleet.net.now));
  fleet.net.run(2_000);
  expect(fleet.statesOf("e3")).toEqual(new Set(["joined"]));
});

/** A random fault of the fleet. */
const disturbance = fc.record({
  kind: fc.constantFrom("kill", "restart", "pause", "cut", "lose"),
  vm: fc.nat(8).map((n) => `e${n}`),
  forMs: fc.integer({ min: 100, max: 20_000 }),
});

// VMs crash, restart and pause, links fail and lose messages, one after the
// other. Whatever was reported meanwhile, all members must agree in the end.
test("after any disturbance no member considers a live member dead", () => {
  fc.assert(
    fc.property(fc.array(disturbance, { maxLength: 8 }), (disturbances) => {
      const fleet = new Fleet(9);
      const paused = new Set<string>();
      for (const { kind, vm, forMs } of disturbances) {
        if (!fleet.cores.has(vm)) {
          continue;
        }
        switch (kind) {
          case "kill":
            fleet.kill(vm);
            break;
          case "restart":
            fleet.start(vm);
            fleet.cores.get(vm)!.mergeVmList(fleet.list(), fleet.net.now);
            break;
          case "pause":
            fleet.net.pause(vm);
            paused.add(vm);
            break;
          case "cut":
            fleet.isCut = (from, to) => (from === vm) !== (to === vm);
            break;
          case "lose":
            fleet.lossShare = 0.3;
        }
        fleet.net.run(forMs);
      }
      paused.forEach((vm) => fleet.net.resume(vm));
      fleet.isCut = () => false;
      fleet.lossShare = 0;
      const alive = [...fleet.cores.keys()];
      fleet.cores.forEach((core) =>
        core.mergeVmList(fleet.list(), fleet.net.now)
      );
      fleet.net.run(90_000);
      for (const vm of alive) {
        expect(fleet.superseded.includes(vm) || !fleet.statesOf(vm).has("dead"))
          .toBe(true);
      }
    }),
    { seed: SEED, numRuns: 15, endOnFailure: true },
  );
});
