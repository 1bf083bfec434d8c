import {
  id,
  type RegionId,
  type ServiceId,
  type TargetId,
  type VmId,
  type ZoneId,
} from "@poplarthread/ids";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { Plan } from "./plan.ts";
import { planFaults } from "./plan_check.ts";
import { nextPlan, type PlannerInput } from "./planner.ts";
import type { Policy } from "./policy.ts";
import { findStoppedVms, STOPPED_AFTER_MS } from "./silence.ts";
import { checkSwitch } from "./switch_check.ts";

const regions = ["north", "south", "west"].map((name) => id<RegionId>(name));
const service = id<ServiceId>("sales");
const policy: Policy = {
  regions: regions.map((region) => ({
    id: region,
    zones: [id<ZoneId>(`${region}-1`)],
  })),
  services: [{
    id: service,
    slotsPerTarget: 3,
    targets: Object.fromEntries(regions.map((region) => [region, 4])),
    utilisation: 1,
  }],
  classes: [],
  links: regions.flatMap((from) =>
    regions.filter((to) => to !== from).map((to) => ({
      from,
      to,
      oneWayMs: 20,
      maxInFlight: 10,
    }))
  ),
  demand: regions.map((region) => ({ region, service, slots: 6 })),
  shift: { stepMs: 1_000, maxStepShare: 0.1, coldStepShare: 0.05 },
  callerShare: 0.5,
  retryShare: 0.1,
};
const vms = regions.flatMap((region) =>
  [1, 2, 3].map((i) => ({
    vm: id<VmId>(`${region}-vm-${i}`),
    region,
    zone: id<ZoneId>(`${region}-1`),
    live: true,
  }))
);
const targets = regions.flatMap((region) =>
  [1, 2, 3, 4].map((i) => ({
    target: id<TargetId>(`${region}-t${i}`),
    service,
    region,
    zone: id<ZoneId>(`${region}-1`),
    leaving: false,
  }))
);

function inputOf(changes: Partial<PlannerInput> = {}): PlannerInput {
  return {
    policy,
    revision: 1,
    vms,
    targets,
    demand: [],
    confirmations: [],
    stopped: new Set(),
    previousAgeMs: 1_000,
    ...changes,
  };
}

function slotsOf(plan: Plan, vm: string): number {
  return plan.allotments.filter((row) => row.vm === vm)
    .reduce((sum, { slots }) => sum + slots, 0);
}

test("slots are distributed evenly over the VMs of their region", () => {
  const plan = nextPlan(inputOf());
  expect(planFaults(plan, policy)).toEqual([]);
  expect(vms.map(({ vm }) => slotsOf(plan, vm))).toEqual(Array(9).fill(4));
});

// A VM dies, or only its heartbeats are lost. If its slots were reassigned at
// once while it still runs, targets would get more requests than they have
// slots.
test("an unresponsive VM's slots are reassigned only after it has certainly stopped", () => {
  const first = nextPlan(inputOf());
  const vmsNow = vms.map((vm) =>
    vm.vm === "north-vm-1" ? { ...vm, live: false } : vm
  );
  const others = ["north-vm-2", "north-vm-3"];
  let plan = nextPlan(inputOf({ vms: vmsNow, previous: first }));
  const confirmed = new Map(
    vms.slice(1).map(({ vm }) => [vm, plan.sequence]),
  );
  const gone = new Set<VmId>();
  let silences: ReturnType<typeof findStoppedVms>["unresponsive"] = [];
  for (
    const [now, slots] of [
      [0, [4, 4]],
      [STOPPED_AFTER_MS - 1, [4, 4]],
      [STOPPED_AFTER_MS, [6, 6]],
    ] as const
  ) {
    const holdings = plan.allotments;
    const watched = findStoppedVms(silences, {
      holdings,
      confirmed,
      gone,
      now,
    });
    silences = watched.unresponsive;
    const { stopped } = watched;
    plan = nextPlan(inputOf({ vms: vmsNow, previous: plan, stopped }));
    expect(others.map((vm) => slotsOf(plan, vm))).toEqual(slots);
  }
});

// Two VMs are cut off together. They may confirm each other's plan
// indefinitely, so no time is long enough to consider their slots free.
test("two unresponsive VMs are never considered stopped unless they are gone", () => {
  const first = nextPlan(inputOf());
  const cutOff = vms.slice(0, 2).map(({ vm }) => vm);
  const vmsNow = vms.map((vm) => ({ ...vm, live: !cutOff.includes(vm.vm) }));
  const plan = nextPlan(inputOf({ vms: vmsNow, previous: first }));
  const confirmed = new Map(
    vms.slice(2).map(({ vm }) => [vm, plan.sequence]),
  );
  const holdings = plan.allotments;
  const gone = new Set<VmId>();
  const early = findStoppedVms([], { holdings, confirmed, gone, now: 0 });
  const late = findStoppedVms(early.unresponsive, {
    ...{ holdings, confirmed, gone },
    now: 100 * STOPPED_AFTER_MS,
  });
  expect([...late.stopped]).toEqual([]);
  const listed = { holdings, confirmed, gone: new Set(cutOff), now: 0 };
  expect([...findStoppedVms([], listed).stopped]).toEqual(cutOff);
});

// Plans are computed while VMs confirm late or never, join and leave, and
// measured demand jumps. Each VM applies some plan that it has received;
// whichever that is, no slot may be assigned twice.
test("no sequence of plans assigns a slot twice, whichever plan each VM applies", () => {
  const round = fc.record({
    live: fc.array(fc.boolean(), { minLength: 9, maxLength: 9 }),
    leaving: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
    demand: fc.array(fc.nat(20), { minLength: 9, maxLength: 9 }),
    receives: fc.array(fc.boolean(), { minLength: 9, maxLength: 9 }),
  });
  const rounds = fc.array(round, { maxLength: 15 });
  fc.assert(
    fc.property(rounds, (history) => {
      const first = nextPlan(inputOf());
      const plans = [first];
      const applied = vms.map(() => first);
      for (const { live, leaving, demand, receives } of history) {
        const previous = plans.at(-1)!;
        const plan = nextPlan(inputOf({
          vms: vms.map((vm, i) => ({ ...vm, live: live[i]! })),
          targets: targets.map((row, i) => ({ ...row, leaving: leaving[i]! })),
          demand: vms.map(({ vm }, i) => ({
            vm,
            service,
            slots: demand[i]!,
            ageMs: 0,
          })),
          confirmations: vms.map(({ vm }, i) => ({
            vm,
            sequence: applied[i]!.sequence,
            ageMs: 0,
          })),
          previous,
        }));
        expect(planFaults(plan, policy)).toEqual([]);
        plans.push(plan);
        receives.forEach((isReceived, i) => {
          if (isReceived) applied[i] = plan;
        });
        for (const { target } of targets) {
          const used = vms.reduce((sum, { vm }, i) => {
            const row = applied[i]!.allotments.find((other) =>
              other.vm === vm && other.target === target
            );
            return sum + (row?.slots ?? 0);
          }, 0);
          expect(used).toBeLessThanOrEqual(3);
        }
      }
    }),
    { seed: 5, numRuns: 100 },
  );
});

// A region is drained for maintenance. If its callers all moved at once to
// regions whose caches are cold for them, all callers there would wait.
test("callers and links into a region grow by at most the cap per step", () => {
  const cap = 0.1 * 12;
  const drained = targets.map((row) =>
    row.region === "west" ? { ...row, leaving: true } : row
  );
  let plan = nextPlan(inputOf());
  const shares: string[] = [];
  for (let step = 0; step < 4; step++) {
    const next = nextPlan(inputOf({ targets: drained, previous: plan }));
    for (const to of regions) {
      const links = (of: Plan): number =>
        of.links.filter((row) => row.to === to)
          .reduce((sum, { slots }) => sum + slots, 0);
      const callers = (of: Plan): number =>
        of.shares.filter((row) => row.to === to && row.from !== to)
          .reduce((sum, { share }) => sum + share * 6, 0);
      const moved = links(next) - links(plan) + callers(next) - callers(plan);
      expect(moved).toBeLessThanOrEqual(cap + 1e-9);
    }
    shares.push(
      next.shares.filter(({ from }) => from === "west")
        .map(({ to, share }) => `${to} ${share.toFixed(2)}`).join(", "),
    );
    plan = next;
  }
  expect(shares).toMatchInlineSnapshot(`
    [
      "west 0.60, north 0.20, south 0.20",
      "west 0.20, north 0.40, south 0.40",
      "west 0.00, north 0.50, south 0.50",
      "west 0.00, north 0.50, south 0.50",
    ]
  `);
});

describe("a switch", () => {
  test("is refused when the current traffic exceeds the capacity", () => {
    const next: Policy = {
      ...policy,
      services: policy.services.map((entry) => ({
        ...entry,
        targets: { ...entry.targets, [regions[0]!]: 1 },
      })),
    };
    const demand = vms.map(({ vm }) => ({ vm, service, slots: 3.2, ageMs: 0 }));
    expect(
      checkSwitch(next, { demand, vms }).map(({ kind, severity, message }) =>
        `${severity} ${kind}: ${message}`
      ),
    ).toMatchInlineSnapshot(`
      [
        "error service-short: sales would have 27 slots, but 28.8 are in use or waited for now",
        "warning region-short: sales in north would lack 6.6 slots, and its links carry at most 20",
        "warning fallback-short: without north, sales would have 24 slots for a demand of 28.8",
        "warning fallback-short: without south, sales would have 15 slots for a demand of 28.8",
        "warning fallback-short: without west, sales would have 15 slots for a demand of 28.8",
      ]
    `);
  });
});
