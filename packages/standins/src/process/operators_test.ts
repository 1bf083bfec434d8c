import { expect, test } from "vitest";
import { id, type PresetId } from "@poplarthread/ids";
import { submit } from "../cluster/operate.ts";
import { waitFor } from "../cluster/wait.ts";
import { onCluster, TEST_TIMEOUT_MS } from "./fixture.ts";

const ROUNDS = 5;

// Two operators look at the same state and each switches, at the same moment and
// through different VMs. Were both accepted, the one who came first would believe
// that a preset runs which was replaced at once, without anybody having seen it.
test(
  "of two operators who switch at once one wins and the other is told who",
  async () => {
    await onCluster(async ({ cluster, vms }) => {
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
        const answers = await Promise.all([
          submit(anna, switchTo(one, seenRevision)),
          submit(boris, switchTo(two, seenRevision)),
        ]);
        expect(answers.map(({ kind }) => kind).toSorted())
          .toEqual(["accepted", "conflict"]);
        const winner = answers[0].kind === "accepted" ? "anna" : "boris";
        const lost = answers.find((answer) => answer.kind === "conflict");
        expect(lost?.kind === "conflict" && lost.won?.who).toBe(winner);
        const expected = winner === "anna" ? one : two;
        await waitFor("the winner's preset on every VM", async () => {
          const all = await Promise.all(
            vms.map((vm) => cluster.operator(vm).status()),
          );
          return all.every(({ preset, revision }) =>
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
