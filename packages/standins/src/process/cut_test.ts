import { expect, test } from "vitest";
import { id, type PresetId } from "@poplarthread/ids";
import { makeChange } from "../cluster/operate.ts";
import { waitFor } from "../cluster/wait.ts";
import type { Cut } from "../relay/relay.ts";
import {
  BOOKING,
  expectSafe,
  onCluster,
  outcomes,
  slow,
  TEST_TIMEOUT_MS,
} from "./fixture.ts";

const KINDS: readonly Cut["kind"][] = ["refuse", "silent"];

// The links between one VM and the others break while each still reaches the
// platform. A booking is under way on one side when its caller, impatient, sends
// it again on the other. The two VMs cannot ask each other, yet it must not run
// a second time, and a switch must still reach both sides.
test.each(KINDS)(
  "with links between VMs cut (%s) a booking runs once and a switch comes into force on both sides",
  async (kind) => {
    await onCluster(async (fixture) => {
      const { cluster, vms } = fixture;
      const [alone, ...others] = vms as [string, string, string];
      const hostOf = (vm: string) => cluster.vm(vm).host;
      await cluster.cut([
        { kind, between: [hostOf(alone)], and: others.map(hostOf) },
      ]);
      const caller = fixture.callers(others[0]!);
      const [via, other] = [alone, others[0]!].map((vm) =>
        cluster.callerAddress(vm)
      ) as [string, string];
      const keys = Array.from({ length: 6 }, (_, n) => `cut-${kind}-${n}`);
      const kindOf = slow(BOOKING, 800);
      const results = await Promise.all(
        keys.flatMap((key) => [
          caller.send(kindOf, { key, via }),
          caller.send(kindOf, { key, via: other }),
        ]),
      );
      expect(outcomes(results).served).toBeGreaterThan(0);
      const revision = await makeChange(cluster.operator(others[1]!), {
        change: { kind: "switch", preset: id<PresetId>("peak") },
        why: "the peak begins",
      });
      await waitFor("the switch on both sides", async () => {
        const all = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status()),
        );
        return all.every((status) => status.revision >= revision);
      });
      await cluster.cut([]);
      const repeats = await Promise.all(
        keys.map((key) => caller.send(kindOf, { key })),
      );
      expect(repeats.filter(({ outcome }) => outcome === "unreachable"))
        .toEqual([]);
      await expectSafe(fixture);
    });
  },
  TEST_TIMEOUT_MS,
);
