/**
 * Ranks of members, the same on every VM that sees the same members: who reads
 * the table, and who pushes to whom. Nobody is elected.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "../membership/messages.ts";
import { hash32 } from "../escrow/shares.ts";

/** Readers of the table in each zone: two may die at once and one still reads. */
export const READERS_PER_ZONE = 3;

/** What ranking needs to know of a member. */
export type Ranked = Pick<Member, "vm" | "zone" | "state">;

/** The live members of a zone in the order of their rank. */
export function rankedIn(
  zone: ZoneId,
  members: readonly Ranked[],
): readonly VmId[] {
  return members
    .filter((member) => member.zone === zone && member.state === "joined")
    .map(({ vm }) => ({ vm, rank: hash32(`${zone}/${vm}`) }))
    .sort((a, b) => a.rank - b.rank || (a.vm < b.vm ? -1 : 1))
    .map(({ vm }) => vm);
}

/** The VMs that read the table for a zone. */
export function readersOf(
  zone: ZoneId,
  members: readonly Ranked[],
): readonly VmId[] {
  return rankedIn(zone, members).slice(0, READERS_PER_ZONE);
}
