import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { MemoryTable, TableError } from "@poplarthread/coordination";
import type { Plan } from "@poplarthread/decisions";
import type { InstanceId, VmId } from "@poplarthread/ids";
import { SILENT_LOG } from "./silent_log.ts";
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
  isUnavailable = false;

  override read(keys: readonly string[]) {
    return this.isUnavailable
      ? Promise.reject(new TableError("away", "none"))
      : super.read(keys);
  }
}

/** Five VMs of one zone; those in `isolated` reach each other but none of the others. */
function fleet() {
  const table = new FailingTable();
  const isolated = new Set<VmId>();
  const plans = new Map<VmId, { plan: Plan; endsAt: number }>();
  const runs = new Map<VmId, number>(NAMES.map((vm) => [vm, 1]));
  const tasks = new Map<VmId, PlanTask>();
  const reaches = (from: VmId, to: VmId) =>
    isolated.has(from) === isolated.has(to);
  function create(vm: VmId): PlanTask {
    const instance = `${vm}.${runs.get(vm)}` as InstanceId;
    const task: PlanTask = new PlanTask({
      self: { vm, instance, zone: ZONE, region: REGION },
      table,
      inputs: () => ({
        policy: TEST_PRESET,
        revision: 1,
        vms: VMS,
        targets: TARGETS,
        instances: new Map<VmId, InstanceId>(
          NAMES.map((
            name,
          ) => [name, `${name}.${runs.get(name)}` as InstanceId]),
        ),
        listed: new Set(NAMES),
      }),
      localReport: () => ({
        sequence: task.plan?.sequence ?? 0,
        demand: [],
        lenders: [],
      }),
      report: (to, report: PlannerReport) => {
        if (reaches(vm, to)) {
          const from = { vm, instance };
          tasks.get(to)!.send({ kind: "report", from, report });
        }
      },
      sendTerm: (to, message) => {
        if (reaches(vm, to)) {
          tasks.get(to)!.send({ kind: "term", message });
        }
      },
      fetchPlanFrom: (from) => {
        const { plan: stored } = tasks.get(from)!.known;
        task.send({ kind: "known", stored: stored! });
      },
      queryAll: () =>
        Promise.resolve(
          NAMES.filter((name) => name !== vm).map((name) =>
            reaches(vm, name)
              ? { ...tasks.get(name)!.known, ageMs: 0, lenders: [] }
              : undefined
          ),
        ),
      send: () => undefined,
      onPlan: (plan, validMs) =>
        plans.set(vm, { plan, endsAt: performance.now() + validMs }),
      log: SILENT_LOG,
    });
    return task;
  }

  async function start(vm: VmId): Promise<void> {
    const task = create(vm);
    tasks.set(vm, task);
    await task.start({ failed: (_, err) => Promise.reject(err) });
    task.send({ kind: "members", members });
  }

  const members = NAMES.map((vm) => ({
    vm,
    zone: ZONE,
    state: "joined" as const,
  }));
  return {
    table,
    isolated,
    async start(): Promise<void> {
      for (const vm of NAMES) {
        await start(vm);
      }
    },
    /** Restarts the daemon on a VM and gives it the plan that a peer follows. */
    async restart(vm: VmId, peer: VmId): Promise<void> {
      await tasks.get(vm)!.stop();
      runs.set(vm, 2);
      plans.delete(vm);
      await start(vm);
      const { plan: stored } = tasks.get(peer)!.known;
      tasks.get(vm)!.send({ kind: "known", stored: stored! });
    },
    /** Slots of a VM in the plan that the VM `by` follows. */
    slotsOf: (vm: VmId, by: VmId) =>
      tasks.get(by)!.plan!.allotments.filter((row) => row.vm === vm)
        .reduce((sum, { slots }) => sum + slots, 0),
    sequenceAt: (vm: VmId) => tasks.get(vm)!.plan?.sequence,
    planningVm: () => NAMES.find((vm) => tasks.get(vm)!.planning)!,
    /** Whether a VM may still use its plan. */
    isPlanValid: (vm: VmId) => {
      const { endsAt } = plans.get(vm) ?? { endsAt: 0 };
      return performance.now() < endsAt;
    },
  };
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

// The table is unavailable for minutes, and two VMs are partitioned from the others.
// If plans expired because of that, no request would be served, although no planner
// can reassign slots meanwhile.
test("a plan stays valid during a table outage, also for VMs that are partitioned together", async () => {
  const { start, table, isolated, isPlanValid } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  expect(NAMES.filter(isPlanValid)).toEqual(NAMES);
  table.isUnavailable = true;
  isolated.add("d" as VmId).add("e" as VmId);
  await vi.advanceTimersByTimeAsync(120_000);
  expect(NAMES.filter(isPlanValid)).toEqual(NAMES);
});

// A VM is isolated from all others and from the table. It cannot be notified that its
// slots were reassigned, so it must stop using them by itself.
test("a plan expires on a VM that reaches neither the table nor another VM", async () => {
  const { start, table, isolated, isPlanValid } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  table.isUnavailable = true;
  isolated.add("e" as VmId);
  await vi.advanceTimersByTimeAsync(16_000);
  expect(NAMES.filter(isPlanValid)).toEqual(NAMES.slice(0, 4));
});

// The planner still reaches the table, but no other VM. It continues to plan without
// knowing which slots they use, and must not treat their slots as free.
test("a planner that receives no reports reassigns no slots", async () => {
  const { start, isolated, slotsOf, sequenceAt, planningVm } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  const planner = planningVm();
  const before = slotsOf(planner, planner);
  const sequence = sequenceAt(planner)!;
  isolated.add(planner);
  await vi.advanceTimersByTimeAsync(180_000);
  expect(sequenceAt(planner)).toBeGreaterThan(sequence + 10);
  expect(slotsOf(planner, planner)).toBe(before);
});

// A daemon is restarted while the table is unavailable, so that no plan can name its
// new instance. Its slots would stay idle for as long as the outage lasts.
test("a restarted daemon takes the place of its earlier instance if all VMs agree", async () => {
  const { start, restart, table, isolated, isPlanValid } = fleet();
  const [vm, peer, other] = ["b", "c", "e"] as VmId[];
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  table.isUnavailable = true;
  isolated.add(other!);
  await restart(vm!, peer!);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(isPlanValid(vm!)).toBe(false);
  isolated.delete(other!);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(isPlanValid(vm!)).toBe(true);
});
