/**
 * Ranks of members, which decide who reads the table and who pushes to whom. They
 * are the same on every VM with the same view of the members, so no election is
 * needed.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import type { Member } from "../membership/messages.ts";
import { hash32 } from "../hash.ts";

/** VMs that read the table in each zone: if two fail at the same time, one still reads. */
export const READERS_PER_ZONE = 3;

/** The fields of a member that ranking uses. */
export type RankedMember = Pick<Member, "vm" | "zone" | "state">;

/**
 * The members of a zone that are not dead, by rank. Those that are leaving or
 * suspect come last, where no other member depends on them.
 */
export function rankedIn(
  zone: ZoneId,
  members: readonly RankedMember[],
): readonly VmId[] {
  return members
    .filter((member) => member.zone === zone && member.state !== "dead")
    .map(({ vm, state }) => ({
      vm,
      penalty: state === "joined" ? 0 : 1,
      rank: hash32(`${zone}/${vm}`),
    }))
    .sort((a, b) =>
      a.penalty - b.penalty || a.rank - b.rank || (a.vm < b.vm ? -1 : 1)
    )
    .map(({ vm }) => vm);
}

/** The VMs that read the table for a zone: the highest-ranked ones in state `joined`. */
export function readersOf(
  zone: ZoneId,
  members: readonly RankedMember[],
): readonly VmId[] {
  const joined = members.filter(({ state }) => state === "joined");
  return rankedIn(zone, joined).slice(0, READERS_PER_ZONE);
}
