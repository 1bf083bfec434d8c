/**
 * VMs for tests of the gateway.
 *
 * @module
 */

import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";

/** A VM of zone `north-1`, but for what `over` says. */
export function memberNamed(vm: string, over: Partial<Member> = {}): Member {
  return {
    vm: vm as VmId,
    instance: `${vm}.1` as InstanceId,
    zone: "north-1" as ZoneId,
    region: "north" as RegionId,
    callerAddress: `${vm}:80`,
    peerAddress: `${vm}:77`,
    cores: 1,
    ...over,
  };
}
