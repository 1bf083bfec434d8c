import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { MemoryTable, TableError } from "@poplarthread/coordination";
import type { Plan } from "@poplarthread/decisions";
import type { InstanceId, VmId } from "@poplarthread/ids";
import type { Log } from "./log.ts";
import type { PlannerReport } from "./peers/messages.ts";
import { PlanTask } from "./plan_task.ts";
import { TEST_PRESET } from "./testing.ts";

const REGION = TEST_PRESET.regions[0]!.id;
const ZONE = TEST_PRESET.regions[0]!.zones[0]!;
const NAMES = ["a", "b", "c", "d", "e"] as VmId[];
const VMS = NAMES.map((vm) => ({ vm, region: REGION, zone: ZONE, live: true }));
const TARGETS = NAMES.map((vm) => ({
  target: `t-${vm}` as never,
  service: TEST_PRESET.services[0]!.id,
  region: REGION,
  zone: ZONE,
  leaving: false,
}));

class FailingTable extends MemoryTable {
  isAway = false;

  override read(keys: readonly string[]) {
    return this.isAway
      ? Promise.reject(new TableError("away", "none"))
      : super.read(keys);
  }
}

/** Five VMs of one zone that reach each other but for those that are cut off. */
function fleet() {
  const table = new FailingTable();
  const cut = new Set<VmId>();
  const plans = new Map<VmId, { plan: Plan; at: number }>();
  const tasks = new Map<VmId, PlanTask>();
  const warnings: string[] = [];
  const log: Log = {
    error: () => undefined,
    warn: (event) => void warnings.push(event),
    info: () => undefined,
    debug: () => undefined,
    debugs: false,
  };
  const reaches = (from: VmId, to: VmId) => cut.has(from) === cut.has(to);
  for (const vm of NAMES) {
    const instance = `${vm}.1` as InstanceId;
    const task: PlanTask = new PlanTask({
      self: { vm, instance, zone: ZONE, region: REGION },
      table,
      inputs: () => ({
        policy: TEST_PRESET,
        revision: 1,
        vms: VMS,
        targets: TARGETS,
      }),
      ownReport: () => ({ sequence: task.plan?.sequence ?? 0, demand: [] }),
      report: (to, report: PlannerReport) => {
        if (reaches(vm, to)) {
          tasks.get(to)!.send({ kind: "report", from: vm, report });
        }
      },
      listed: () => NAMES,
      askNewest: (to) =>
        Promise.resolve(
          reaches(vm, to) ? tasks.get(to)!.plan?.sequence : undefined,
        ),
      fetchFrom: (from) => {
        const { plan: stored, planAgeMs: ageMs = 0 } = tasks.get(from)!.known;
        task.send({ kind: "known", stored: stored!, ageMs });
      },
      send: () => undefined,
      onPlan: (plan) => plans.set(vm, { plan, at: performance.now() }),
      log,
    });
    tasks.set(vm, task);
  }
  const members = NAMES.map((vm) => ({
    vm,
    zone: ZONE,
    state: "joined" as const,
  }));
  return {
    table,
    cut,
    warnings,
    async start(): Promise<void> {
      for (const task of tasks.values()) {
        await task.start({ failed: (_, err) => Promise.reject(err) });
        task.send({ kind: "members", members });
      }
    },
    sequenceAt: (vm: VmId) => tasks.get(vm)!.plan?.sequence,
    planningVm: () => NAMES.find((vm) => tasks.get(vm)!.planning)!,
    /** Whether the plan of a VM still holds. */
    holds: (vm: VmId) => {
      const { plan, at } = plans.get(vm)!;
      return performance.now() < at + plan.ttlMs;
    },
  };
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("a plan holds through an outage for whoever reaches most VMs", async () => {
  // The table is away for a minute, and two VMs are cut off from the others.
  // Stopped all at once, nobody is served; renewed by each other's word, the
  // two go on using slots that a planner elsewhere may have handed out.
  const { start, table, cut, holds } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  expect(NAMES.filter(holds)).toEqual(NAMES);
  table.isAway = true;
  cut.add("d" as VmId).add("e" as VmId);
  await vi.advanceTimersByTimeAsync(60_000);
  expect(NAMES.filter(holds)).toEqual(["a", "b", "c"]);
});

test("a planner that hears from few VMs makes no new plan", async () => {
  // The planner still reaches the table, but hardly any VM. It would take the
  // slots of all the others for free while they are using them.
  const { start, cut, sequenceAt, holds, planningVm, warnings } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  const planner = planningVm();
  cut.add(planner);
  await vi.advanceTimersByTimeAsync(6_000);
  const before = sequenceAt(planner);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(sequenceAt(planner)).toBe(before);
  expect(warnings).toContain("no new plan: too few VMs report");
  expect(NAMES.filter(holds)).toEqual(NAMES);
});
