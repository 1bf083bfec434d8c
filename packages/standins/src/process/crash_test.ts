import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { Cluster } from "../cluster/cluster.ts";
import { sum } from "../cluster/violations.ts";
import { waitFor } from "../cluster/wait.ts";
import {
  expectNoViolations,
  PLAYLIST,
  TEST_TIMEOUT_MS,
  withCluster,
} from "./fixture.ts";

async function countCrashes(cluster: Cluster): Promise<number> {
  const counts = Object.values(await cluster.readTargetCounts());
  return sum(counts.map((target) => target.crashes));
}

// One playlist crashes each target that builds it, and the cinema keeps fetching it
// through any VM that responds. Unless it is held back, it crashes one target after
// another, and everyone's requests fail.
test(
  "a request that crashes targets is held back on all VMs after two crashes, other requests are not",
  async () => {
    await withCluster(async (fixture) => {
      const { cluster, vms } = fixture;
      const caller = fixture.createCaller(vms[0]!);
      const options = {
        pathSuffix: "crashing",
        crashesTarget: true,
        maxAttempts: 1,
      };
      while (await countCrashes(cluster) < 2) {
        await caller.send(PLAYLIST, options);
        await sleep(300);
      }
      await waitFor("each VM to hold it back", async () => {
        const all = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status()),
        );
        return all.every(({ heldBack }) => heldBack.length === 1);
      });
      const refused = await Promise.all(
        vms.map((vm) =>
          caller.send(PLAYLIST, { ...options, via: cluster.callerAddress(vm) })
        ),
      );
      const others = await Promise.all(
        vms.map((vm) =>
          caller.send(PLAYLIST, { via: cluster.callerAddress(vm) })
        ),
      );
      const heldBack = others.flatMap(({ attempts }) => attempts)
        .filter((attempt) =>
          attempt.kind === "refused" && attempt.reason === "held-back"
        );
      expect(heldBack).toEqual([]);
      // Two targets are restarting, and a VM may have slots only on these.
      for (const vm of vms) {
        await waitFor(`another request through ${vm}`, async () => {
          const via = cluster.callerAddress(vm);
          const { outcome } = await caller.send(PLAYLIST, { via });
          return outcome === "served";
        });
      }
      expect(await countCrashes(cluster)).toBe(2);
      expect(refused.map(({ outcome }) => outcome))
        .toEqual(vms.map(() => "refused-not-run"));
      await expectNoViolations(fixture);
    });
  },
  TEST_TIMEOUT_MS,
);
