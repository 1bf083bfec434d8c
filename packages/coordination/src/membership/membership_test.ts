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

/** A fleet on a virtual clock: 3 regions, 55 ms apart, as the larger deployment has. */
class Fleet {
  readonly cores = new Map<string, Membership>();
  readonly random = xoroshiro128plus(SEED);
  readonly net: VirtualNet<MembershipMessage>;
  changes: Change[] = [];
  superseded: string[] = [];
  sent = 0;
  lossShare = 0;
  cut: (from: string, to: string) => boolean = () => false;
  #lives = 0;

  constructor(size: number) {
    this.net = new VirtualNet<MembershipMessage>({
      random: this.random,
      tickMs: 100,
      delay: (from, to) => this.#delay(from, to),
      onSend: () => this.sent += 1,
      onEffect: (at, effect) => this.#note(at, effect as MembershipEffect),
    });
    this.vms(size).forEach((vm) => this.start(vm));
    this.cores.forEach((core) => core.listed(this.list(), 0));
  }

  vms(size: number): readonly string[] {
    return Array.from({ length: size }, (_, n) => `e${n}`);
  }

  list(): readonly ListedMember[] {
    return [...this.cores.keys()]
      .map((vm) => ({ ...placeOf(vm), state: "live" as const }));
  }

  start(vm: string): void {
    this.#lives += 1;
    const core = new Membership({
      self: {
        ...placeOf(vm),
        instance: id<InstanceId>(`i${String(this.#lives).padStart(4, "0")}`),
      },
      random: xoroshiro128plus(SEED + this.#lives),
      now: this.net.now,
    });
    this.cores.set(vm, core);
    this.net.add(vm, core);
  }

  /** What `at` holds of `vm`. */
  state(at: string, vm: string): MemberState | undefined {
    return this.cores.get(at)!.member(id<VmId>(vm))?.state;
  }

  /** States of `vm` as all others hold them. */
  statesOf(vm: string): ReadonlySet<MemberState | undefined> {
    const others = [...this.cores.keys()].filter((at) => at !== vm);
    return new Set(others.map((at) => this.state(at, vm)));
  }

  kill(vm: string): void {
    this.net.kill(vm);
    this.cores.delete(vm);
  }

  #delay(from: string, to: string): number | undefined {
    const isLost = this.cut(from, to) ||
      uniformInt(this.random, 0, 999) < this.lossShare * 1_000;
    return isLost ? undefined : regionOf(from) === regionOf(to) ? 2 : 55;
  }

  #note(at: string, effect: MembershipEffect): void {
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

function placeOf(vm: string): Omit<ListedMember, "state"> {
  const region = id<RegionId>(regionOf(vm));
  const zone = id<ZoneId>(
    `${region}-${Math.floor(Number(vm.slice(1)) / 3) % 2}`,
  );
  return { vm: id<VmId>(vm), region, zone, address: `10.0.0.${vm.slice(1)}:1` };
}

function died(fleet: Fleet): readonly Change[] {
  return fleet.changes.filter(({ state }) => state === "dead");
}

test("members of a fleet come to know each other's instances", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  for (const core of fleet.cores.values()) {
    expect(core.members().every(({ instance }) => instance !== "")).toBe(true);
  }
});

// A VM is told to stop. As long as one other VM does not know, it goes on
// naming the stopping VM to callers, whose cached answers then outlive it.
test("a leave is known to all within two seconds", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.net.apply("e5", fleet.cores.get("e5")!.leave(fleet.net.now));
  fleet.net.run(2_000);
  expect(fleet.statesOf("e5")).toEqual(new Set(["leaving"]));
});

// One VM sees a target answer that it is draining. Its peers would go on
// sending new work there until they had asked it themselves.
test("a target's sign of leaving is known to all within two seconds, also under loss", () => {
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

// A process is killed without a word, and the platform's list still names it.
test("a VM that was killed is dead to all within ten seconds", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.kill("e7");
  fleet.net.run(10_000);
  expect(fleet.statesOf("e7")).toEqual(new Set(["dead"]));
});

// Whoever gets no answer asks others to try. Were those to ask others in turn,
// one dead VM would keep all the rest busy with nothing but asking.
test("a VM that was killed costs the others few messages", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  const before = fleet.sent;
  fleet.net.run(10_000);
  const usual = fleet.sent - before;
  fleet.kill("e5");
  fleet.net.run(10_000);
  // Each of 11 asks in six periods, and has three others ask; then all tell all.
  const most = 11 * 6 * (1 + 3 + 3) + 11 * 11;
  expect(fleet.sent - before - usual).toBeLessThan(usual + most);
});

// A link is gone for three seconds, less than the periods that a verdict takes.
// Had each failed indirect probe counted as a period, the verdict would come
// after one and a VM that lives would lose its callers.
test("a short cut makes nobody dead", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.cut = (from, to) => (from === "e7") !== (to === "e7");
  fleet.net.run(3_000);
  fleet.cut = () => false;
  fleet.net.run(10_000);
  expect(died(fleet)).toEqual([]);
});

// The network drops one message in ten for two minutes. A member that is
// declared dead and alive again moves its callers and its slots each time.
test("loss alone makes nobody dead", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.lossShare = 0.1;
  fleet.net.run(120_000);
  expect(died(fleet)).toEqual([]);
});

// One VM's process is frozen for a while. When it goes on, all answers it waits
// for are late: judged by its own clock, everyone else has died.
test("a VM that was paused accuses nobody and is taken back", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.net.pause("e4");
  fleet.net.run(30_000);
  expect(fleet.statesOf("e4")).toEqual(new Set(["dead"]));
  fleet.changes = [];
  fleet.net.resume("e4");
  fleet.net.run(30_000);
  expect(fleet.statesOf("e4")).toEqual(new Set(["joined"]));
  expect(died(fleet)).toEqual([]);
});

// A region loses its links to the two others for ten minutes. Were the dead
// never asked again, the halves would stay apart after the links are back.
test("two halves of a cut find each other again when it heals", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.cut = (from, to) =>
    (regionOf(from) === "r0") !== (regionOf(to) === "r0");
  fleet.net.run(600_000);
  expect(fleet.state("e1", "e0")).toBe("dead");
  fleet.cut = () => false;
  fleet.net.run(60_000);
  for (const vm of fleet.cores.keys()) {
    expect(fleet.statesOf(vm)).toEqual(new Set(["joined"]));
  }
});

// A VM is restarted under the same name. Peers that hold on to the instance
// before it would wait for answers of requests that nobody remembers.
test("a restarted VM is known by its new instance, whatever was said of the old", () => {
  const fleet = new Fleet(12);
  fleet.net.run(10_000);
  fleet.start("e3");
  const core = fleet.cores.get("e3")!;
  core.listed(fleet.list(), fleet.net.now);
  fleet.net.run(10_000);
  const self = core.member(id<VmId>("e3"))!;
  for (const other of fleet.cores.values()) {
    expect(other.member(self.vm)?.instance).toBe(self.instance);
  }
  expect(fleet.superseded).toEqual([]);
});

// The platform's list lags: it still names a VM as leaving after its next
// instance has started. The sign must not stick to the new one.
test("a listed sign of leaving belongs to the instance it was seen for", () => {
  const fleet = new Fleet(6);
  fleet.net.run(10_000);
  const stale = fleet.list().map((line) =>
    line.vm === "e3" ? { ...line, state: "leaving" as const } : line
  );
  const reader = fleet.cores.get("e0")!;
  fleet.net.apply("e0", reader.listed(stale, fleet.net.now));
  fleet.net.run(2_000);
  expect(fleet.statesOf("e3")).toEqual(new Set(["leaving"]));
  fleet.start("e3");
  fleet.cores.get("e3")!.listed(fleet.list(), fleet.net.now);
  fleet.net.run(10_000);
  fleet.net.apply("e0", reader.listed(stale, fleet.net.now));
  fleet.net.run(2_000);
  expect(fleet.statesOf("e3")).toEqual(new Set(["joined"]));
});

/** What may happen to a fleet at random. */
const disturbance = fc.record({
  kind: fc.constantFrom("kill", "restart", "pause", "cut", "lose"),
  vm: fc.nat(8).map((n) => `e${n}`),
  forMs: fc.integer({ min: 100, max: 20_000 }),
});

// VMs die, restart and freeze, links are cut and lossy, one after the other.
// Whatever is said meanwhile, in the end all must hold the same.
test("after any disturbance all members come to agree on who lives", () => {
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
            fleet.cores.get(vm)!.listed(fleet.list(), fleet.net.now);
            break;
          case "pause":
            fleet.net.pause(vm);
            paused.add(vm);
            break;
          case "cut":
            fleet.cut = (from, to) => (from === vm) !== (to === vm);
            break;
          case "lose":
            fleet.lossShare = 0.3;
        }
        fleet.net.run(forMs);
      }
      paused.forEach((vm) => fleet.net.resume(vm));
      fleet.cut = () => false;
      fleet.lossShare = 0;
      const alive = [...fleet.cores.keys()];
      fleet.cores.forEach((core) => core.listed(fleet.list(), fleet.net.now));
      fleet.net.run(90_000);
      for (const vm of alive) {
        expect(fleet.superseded.includes(vm) || !fleet.statesOf(vm).has("dead"))
          .toBe(true);
      }
    }),
    { seed: SEED, numRuns: 15, endOnFailure: true },
  );
});
