import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { id, type PresetId } from "@poplarthread/ids";
import type { Cluster } from "../cluster/cluster.ts";
import { makeChange } from "../cluster/operate.ts";
import { waitFor } from "../cluster/wait.ts";
import {
  BOOKING,
  expectSafe,
  onCluster,
  slow,
  TEST_TIMEOUT_MS,
} from "./fixture.ts";

async function plannerOf(cluster: Cluster, vms: readonly string[]) {
  let planner: string | undefined;
  await waitFor("a planner", async () => {
    const all = await Promise.all(
      vms.map((vm) => cluster.operator(vm).status()),
    );
    planner = vms[all.findIndex(({ plan }) => plan.planning)];
    return planner !== undefined;
  });
  return planner!;
}

async function planNumbers(cluster: Cluster, vms: readonly string[]) {
  const all = await Promise.all(vms.map((vm) => cluster.operator(vm).status()));
  return all.map(({ plan }) => plan.number);
}

// The VM that plans is paused, as when its host is moved, for longer than its
// lease. It wakes and still believes that it plans. Were its old plan to win
// over its successor's, regions would get more than they can carry; were its
// preset to win, operators would see an accepted switch undone.
test(
  "a planner that wakes after its lease has lapsed neither plans nor reverts anything",
  async () => {
    await onCluster(async (fixture) => {
      const { cluster, vms } = fixture;
      const frozen = await plannerOf(cluster, vms);
      const awake = vms.filter((vm) => vm !== frozen);
      const caller = fixture.callers(awake[0]!);
      const viaFrozen = Array.from(
        { length: 6 },
        () =>
          caller.send(slow(BOOKING, 1_000), {
            via: cluster.callerAddress(frozen),
          }),
      );
      await sleep(500);
      cluster.process(frozen).signal("SIGSTOP");
      const successor = await plannerOf(cluster, awake);
      const revision = await makeChange(cluster.operator(awake[0]!), {
        change: { kind: "switch", preset: id<PresetId>("peak") },
        why: "the peak begins",
      });
      const before = await planNumbers(cluster, awake);
      cluster.process(frozen).signal("SIGCONT");
      await waitFor("the switch on all VMs", async () => {
        const all = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status().catch(() => undefined)),
        );
        return all.every((status) => status?.revision === revision);
      });
      await waitFor("one planner", async () => {
        const all = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status()),
        );
        return all.filter(({ plan }) => plan.planning).length === 1;
      });
      const after = await planNumbers(cluster, awake);
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
      await expectSafe(fixture);
    });
  },
  TEST_TIMEOUT_MS,
);
