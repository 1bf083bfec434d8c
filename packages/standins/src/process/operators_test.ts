import { expect, test } from "vitest";
import { id, type PresetId } from "@poplarthread/ids";
import { submitChange } from "../cluster/operator_changes.ts";
import { waitFor } from "../cluster/wait.ts";
import { TEST_TIMEOUT_MS, withCluster } from "./fixture.ts";

const ROUNDS = 5;

// Two operators see the same state, and both switch presets at the same time through
// different VMs. If both were accepted, the first operator would believe that a preset
// is in force which was replaced immediately, unnoticed.
test(
  "of two simultaneous switches one is accepted and the other response names the winner",
  async () => {
    await withCluster(async ({ cluster, vms }) => {
      const anna = cluster.operator(vms[0]!, "anna");
      const boris = cluster.operator(vms[1]!, "boris");
      const presets = ["peak", "maintenance", "ordinary"];
      for (let round = 0; round < ROUNDS; round++) {
        const seenRevision = (await anna.status()).revision;
        const inForce = (await anna.configuration()).preset.id;
        const [one, two] = presets.filter((name) => name !== inForce) as [
          string,
          string,
        ];
        const responses = await Promise.all([
          submitChange(anna, switchTo(one, seenRevision)),
          submitChange(boris, switchTo(two, seenRevision)),
        ]);
        expect(responses.map(({ kind }) => kind).toSorted())
          .toEqual(["accepted", "conflict"]);
        const winner = responses[0].kind === "accepted" ? "anna" : "boris";
        const conflict = responses.find((response) =>
          response.kind === "conflict"
        );
        expect(conflict?.kind === "conflict" && conflict.won?.who).toBe(winner);
        const expected = winner === "anna" ? one : two;
        await waitFor("the winner's preset on every VM", async () => {
          const statuses = await Promise.all(
            vms.map((vm) => cluster.operator(vm).status()),
          );
          return statuses.every(({ preset, revision }) =>
            preset?.id === expected && revision === seenRevision + 1
          );
        });
      }
    });
  },
  TEST_TIMEOUT_MS,
);

function switchTo(preset: string, seenRevision: number) {
  return {
    change: { kind: "switch" as const, preset: id<PresetId>(preset) },
    why: "a race",
    seenRevision,
  };
}
