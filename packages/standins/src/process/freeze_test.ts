import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { id, type PresetId } from "@poplarthread/ids";
import type { Cluster } from "../cluster/cluster.ts";
import { makeChange } from "../cluster/operator_changes.ts";
import { waitFor } from "../cluster/wait.ts";
import {
  BOOKING,
  expectNoViolations,
  TEST_TIMEOUT_MS,
  withCluster,
  withWorkMs,
} from "./fixture.ts";

async function waitForPlanner(cluster: Cluster, vms: readonly string[]) {
  let planner: string | undefined;
  await waitFor("a planner", async () => {
    const statuses = await Promise.all(
      vms.map((vm) => cluster.operator(vm).status()),
    );
    planner = vms[statuses.findIndex(({ plan }) => plan.planning)];
    return planner !== undefined;
  });
  return planner!;
}

async function readPlanNumbers(cluster: Cluster, vms: readonly string[]) {
  const statuses = await Promise.all(
    vms.map((vm) => cluster.operator(vm).status()),
  );
  return statuses.map(({ plan }) => plan.number);
}

// The planner VM is paused for longer than its lease, as during a migration of its
// host, and resumes as if it were still the planner. If its old plan replaced its
// successor's, regions would get more load than they can serve; if its old preset
// did, an accepted switch would be reverted.
test(
  "a planner that resumes after its lease has expired neither plans nor reverts anything",
  async () => {
    await withCluster(async (fixture) => {
      const { cluster, vms } = fixture;
      const frozen = await waitForPlanner(cluster, vms);
      const others = vms.filter((vm) => vm !== frozen);
      const caller = fixture.createCaller(others[0]!);
      const viaFrozen = Array.from(
        { length: 6 },
        () =>
          caller.send(withWorkMs(BOOKING, 1_000), {
            via: cluster.callerAddress(frozen),
          }),
      );
      await sleep(500);
      cluster.daemon(frozen).signal("SIGSTOP");
      const successor = await waitForPlanner(cluster, others);
      const revision = await makeChange(cluster.operator(others[0]!), {
        change: { kind: "switch", preset: id<PresetId>("peak") },
        why: "the peak begins",
      });
      const before = await readPlanNumbers(cluster, others);
      cluster.daemon(frozen).signal("SIGCONT");
      await waitFor("the switch on all VMs", async () => {
        const statuses = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status().catch(() => undefined)),
        );
        return statuses.every((status) => status?.revision === revision);
      });
      await waitFor("one planner", async () => {
        const statuses = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status()),
        );
        return statuses.filter(({ plan }) => plan.planning).length === 1;
      });
      const after = await readPlanNumbers(cluster, others);
      expect(after.every((number, index) => number >= before[index]!)).toBe(
        true,
      );
      expect(vms).toContain(successor);
      const results = await Promise.all(viaFrozen);
      expect(results.filter(({ outcome }) => outcome === "refused")).toEqual(
        [],
      );
      const configurations = await Promise.all(
        vms.map((vm) => cluster.operator(vm).configuration()),
      );
      expect(configurations.map(({ preset }) => preset.id))
        .toEqual(vms.map(() => "peak"));
      await expectNoViolations(fixture);
    });
  },
  TEST_TIMEOUT_MS,
);
