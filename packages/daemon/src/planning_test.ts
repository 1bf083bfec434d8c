import { expect, test } from "vitest";
import type { VmEntry } from "@poplarthread/decisions";
import type {
  InstanceId,
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import { type PlannedHolders, Planning } from "./planning.ts";
import { TEST_PRESET } from "./testing.ts";

const region = "one" as RegionId;
const zone = "one-1" as ZoneId;
const NAMES = ["a", "b", "c"] as VmId[];
const targets = ["t1", "t2"].map((name) => ({
  target: name as TargetId,
  service: "shop" as ServiceId,
  region,
  zone,
  leaving: false,
}));

/** Simulates a planner that gets reports of some VMs and plans every 2 s. */
class PlanningSimulation {
  readonly planning = new Planning();
  readonly runs = new Map<VmId, number>(NAMES.map((vm) => [vm, 1]));
  readonly unresponsive = new Set<VmId>();
  readonly listed = new Set<VmId>(NAMES);
  lenders: readonly InstanceId[] = [];
  planned: PlannedHolders | undefined;
  now = 0;

  runFor(ms: number): void {
    for (const until = this.now + ms; this.now < until; this.now += 2_000) {
      this.#step();
    }
  }

  slots(vm: VmId): number {
    return (this.planned?.plan.allotments ?? [])
      .filter((row) => row.vm === vm)
      .reduce((sum, row) => sum + row.slots, 0);
  }

  #step(): void {
    const { now, listed } = this;
    const reporting = NAMES.filter((vm) => !this.unresponsive.has(vm));
    for (const vm of reporting) {
      const instance = `${vm}.${this.runs.get(vm)}` as InstanceId;
      const sequence = this.planned?.plan.sequence ?? 0;
      const lenders = vm === "c" ? this.lenders : [];
      const report = { sequence, demand: [], lenders };
      this.planning.addReport({ vm, instance }, report, now);
    }
    const vms = NAMES.map((vm): VmEntry => ({
      vm,
      region,
      zone,
      live: reporting.includes(vm),
    }));
    const inputs = { policy: TEST_PRESET, revision: 1, vms, targets };
    const ctx = { now, previousAgeMs: 2_000 };
    const instances = new Map<VmId, InstanceId>();
    this.planned = this.planning.next(
      { ...inputs, listed, instances },
      this.planned,
      ctx,
    );
  }
}

// A daemon is restarted while a peer still uses slots that it lent. The new
// instance does not know of the loan; if it got its slots at once, both VMs would
// use them and the target would exceed its capacity.
test("a new instance gets slots only when no VM uses slots lent by the earlier one", () => {
  const simulation = new PlanningSimulation();
  simulation.runFor(4_000);
  expect(NAMES.map((vm) => simulation.slots(vm))).toEqual([2, 2, 2]);
  simulation.runs.set("a" as VmId, 2);
  simulation.lenders = ["a.1" as InstanceId];
  simulation.runFor(10_000);
  expect(simulation.slots("a" as VmId)).toBe(0);
  simulation.lenders = [];
  simulation.runFor(20_000);
  expect(simulation.slots("a" as VmId)).toBeGreaterThan(0);
});

// All daemons are restarted at once. No instance is left that could use a loan, so
// the VMs must not wait for loans to expire before they serve requests.
test("a fleet in which all VMs restart gets its slots within seconds", () => {
  const simulation = new PlanningSimulation();
  simulation.runFor(4_000);
  NAMES.forEach((vm) => simulation.runs.set(vm, 2));
  simulation.runFor(8_000);
  expect(NAMES.map((vm) => simulation.slots(vm))).toEqual([2, 2, 2]);
});

// A zone with two VMs fails. While the platform still lists them they may only be
// partitioned off and renew each other's terms; once unlisted, they have stopped.
test("slots of two unresponsive VMs are reassigned once the platform does not list them", () => {
  const simulation = new PlanningSimulation();
  simulation.runFor(4_000);
  const lost = NAMES.slice(0, 2);
  lost.forEach((vm) => simulation.unresponsive.add(vm));
  simulation.runFor(120_000);
  expect(simulation.slots("c" as VmId)).toBe(2);
  lost.forEach((vm) => simulation.listed.delete(vm));
  simulation.runFor(16_000);
  expect(simulation.slots("c" as VmId)).toBe(6);
});
