/**
 * Test data for the gateway's tests.
 *
 * @module
 */

import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";

/** Returns a VM of zone `north-1`, with the given overrides. */
export function memberNamed(
  vm: string,
  overrides: Partial<Member> = {},
): Member {
  return {
    vm: vm as VmId,
    instance: `${vm}.1` as InstanceId,
    zone: "north-1" as ZoneId,
    region: "north" as RegionId,
    callerAddress: `${vm}:80`,
    peerAddress: `${vm}:77`,
    cores: 1,
    ...overrides,
  };
}
