import { expect, test } from "vitest";
import { id, type PresetId } from "@poplarthread/ids";
import { makeChange } from "../cluster/operator_changes.ts";
import { waitFor } from "../cluster/wait.ts";
import type { Partition } from "../relay/relay.ts";
import {
  BOOKING,
  countOutcomes,
  expectNoViolations,
  TEST_TIMEOUT_MS,
  withCluster,
  withWorkMs,
} from "./fixture.ts";

const PARTITION_KINDS: readonly Partition["kind"][] = ["refuse", "silent"];

// A partition separates one VM from the others while all still reach the platform.
// A booking is in progress on one side when its caller repeats it on the other. The
// two VMs cannot communicate, yet the booking must not run a second time, and a switch
// of presets must still reach both sides.
test.each(PARTITION_KINDS)(
  "during a partition between VMs (%s) a booking runs at most once and a switch takes effect on both sides",
  async (kind) => {
    await withCluster(async (fixture) => {
      const { cluster, vms } = fixture;
      const [isolated, ...others] = vms as [string, string, string];
      const hostOf = (vm: string) => cluster.vm(vm).host;
      await cluster.setPartitions([
        { kind, between: [hostOf(isolated)], and: others.map(hostOf) },
      ]);
      const caller = fixture.createCaller(others[0]!);
      const [via, otherVia] = [isolated, others[0]!].map((vm) =>
        cluster.callerAddress(vm)
      ) as [string, string];
      const keys = Array.from({ length: 6 }, (_, n) => `cut-${kind}-${n}`);
      const slowBooking = withWorkMs(BOOKING, 800);
      const results = await Promise.all(
        keys.flatMap((key) => [
          caller.send(slowBooking, { key, via }),
          caller.send(slowBooking, { key, via: otherVia }),
        ]),
      );
      expect(countOutcomes(results).served).toBeGreaterThan(0);
      const revision = await makeChange(cluster.operator(others[1]!), {
        change: { kind: "switch", preset: id<PresetId>("peak") },
        why: "the peak begins",
      });
      await waitFor("the switch on both sides", async () => {
        const statuses = await Promise.all(
          vms.map((vm) => cluster.operator(vm).status()),
        );
        return statuses.every((status) => status.revision >= revision);
      });
      await cluster.setPartitions([]);
      const repeats = await Promise.all(
        keys.map((key) => caller.send(slowBooking, { key })),
      );
      expect(repeats.filter(({ outcome }) => outcome === "unreachable"))
        .toEqual([]);
      await expectNoViolations(fixture);
    });
  },
  TEST_TIMEOUT_MS,
);
