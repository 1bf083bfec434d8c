/**
 * Ranks of members, the same on every VM that sees the same members: who reads
 * the table, and who pushes to whom. Nobody is elected.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "../membership/messages.ts";
import { hash32 } from "../hash.ts";

/** Readers of the table in each zone: two may die at once and one still reads. */
export const READERS_PER_ZONE = 3;

/** What ranking needs to know of a member. */
export type Ranked = Pick<Member, "vm" | "zone" | "state">;

/**
 * The members of a zone that are not dead, in the order of their rank. Those
 * that leave or are in doubt come last, where nobody depends on them.
 */
export function rankedIn(
  zone: ZoneId,
  members: readonly Ranked[],
): readonly VmId[] {
  return members
    .filter((member) => member.zone === zone && member.state !== "dead")
    .map(({ vm, state }) => ({
      vm,
      doubt: state === "joined" ? 0 : 1,
      rank: hash32(`${zone}/${vm}`),
    }))
    .sort((a, b) =>
      a.doubt - b.doubt || a.rank - b.rank || (a.vm < b.vm ? -1 : 1)
    )
    .map(({ vm }) => vm);
}

/** The VMs that read the table for a zone. */
export function readersOf(
  zone: ZoneId,
  members: readonly Ranked[],
): readonly VmId[] {
  const joined = members.filter(({ state }) => state === "joined");
  return rankedIn(zone, joined).slice(0, READERS_PER_ZONE);
}
