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

/** Returns a replacement for `Math.random` that gives the same numbers for a seed: mulberry32. */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
