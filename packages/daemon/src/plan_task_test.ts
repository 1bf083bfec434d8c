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
  const plans = new Map<VmId, { plan: Plan; endsAt: number }>();
  const lives = new Map<VmId, number>(NAMES.map((vm) => [vm, 1]));
  const tasks = new Map<VmId, PlanTask>();
  const reaches = (from: VmId, to: VmId) => cut.has(from) === cut.has(to);
  function create(vm: VmId): PlanTask {
    const instance = `${vm}.${lives.get(vm)}` as InstanceId;
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
          ) => [name, `${name}.${lives.get(name)}` as InstanceId]),
        ),
        listed: new Set(NAMES),
      }),
      ownReport: () => ({
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
      fetchFrom: (from) => {
        const { plan: stored } = tasks.get(from)!.known;
        task.send({ kind: "known", stored: stored! });
      },
      askAll: () =>
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
    cut,
    async start(): Promise<void> {
      for (const vm of NAMES) {
        await start(vm);
      }
    },
    /** The daemon on a VM starts anew and knows what a peer knows. */
    async restart(vm: VmId, peer: VmId): Promise<void> {
      await tasks.get(vm)!.stop();
      lives.set(vm, 2);
      plans.delete(vm);
      await start(vm);
      const { plan: stored } = tasks.get(peer)!.known;
      tasks.get(vm)!.send({ kind: "known", stored: stored! });
    },
    /** Slots that a VM has by the plan that another one follows. */
    slotsOf: (vm: VmId, by: VmId) =>
      tasks.get(by)!.plan!.allotments.filter((row) => row.vm === vm)
        .reduce((sum, { slots }) => sum + slots, 0),
    sequenceAt: (vm: VmId) => tasks.get(vm)!.plan?.sequence,
    planningVm: () => NAMES.find((vm) => tasks.get(vm)!.planning)!,
    /** Whether the plan of a VM still holds. */
    holds: (vm: VmId) => {
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

// The table is away for minutes, and two VMs are cut off from the others. If
// plans ended for want of the table, nobody would be served, though no planner
// can hand anybody's slots out meanwhile.
test("a plan holds through an outage, also for those who are cut off together", async () => {
  const { start, table, cut, holds } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  expect(NAMES.filter(holds)).toEqual(NAMES);
  table.isAway = true;
  cut.add("d" as VmId).add("e" as VmId);
  await vi.advanceTimersByTimeAsync(120_000);
  expect(NAMES.filter(holds)).toEqual(NAMES);
});

// A VM is cut off from all others and from the table. Nobody can tell it that
// its slots were given on, so it has to stop by itself.
test("a plan ends for a VM that reaches nobody", async () => {
  const { start, table, cut, holds } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  table.isAway = true;
  cut.add("e" as VmId);
  await vi.advanceTimersByTimeAsync(16_000);
  expect(NAMES.filter(holds)).toEqual(NAMES.slice(0, 4));
});

// The planner still reaches the table, but no other VM. It plans on without
// knowing what they use, and must not take their slots for free.
test("a planner that hears from nobody gives nobody's slots on", async () => {
  const { start, cut, slotsOf, sequenceAt, planningVm } = fleet();
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  const planner = planningVm();
  const before = slotsOf(planner, planner);
  const sequence = sequenceAt(planner)!;
  cut.add(planner);
  await vi.advanceTimersByTimeAsync(180_000);
  expect(sequenceAt(planner)).toBeGreaterThan(sequence + 10);
  expect(slotsOf(planner, planner)).toBe(before);
});

// A daemon is restarted while the table is away, so that no plan can name its
// new instance. Its slots would idle for as long as the outage lasts.
test("a restarted daemon takes its earlier instance's place if all agree", async () => {
  const { start, restart, table, cut, holds } = fleet();
  const [vm, peer, other] = ["b", "c", "e"] as VmId[];
  await start();
  await vi.advanceTimersByTimeAsync(20_000);
  table.isAway = true;
  cut.add(other!);
  await restart(vm!, peer!);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(holds(vm!)).toBe(false);
  cut.delete(other!);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(holds(vm!)).toBe(true);
});
