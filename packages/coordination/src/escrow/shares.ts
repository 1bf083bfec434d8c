/**
 * Divides the slots of a pool among its owners by rendezvous hashing of each
 * slot, so that an owner that is added or removed moves only its own slots.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import { hash32 } from "../hash.ts";
import type { Pool } from "./messages.ts";

/** Number of slots of `pool` by owner. They add up to the total if there is any owner. */
export function sharesOf(
  pool: Pool,
  owners: readonly Sender[],
): ReadonlyMap<InstanceId, number> {
  const shares = new Map<InstanceId, number>();
  for (let slot = 0; slot < pool.total; slot++) {
    const owner = ownerOf(`${pool.pool}#${slot}`, owners);
    if (owner !== undefined) {
      shares.set(owner.instance, (shares.get(owner.instance) ?? 0) + 1);
    }
  }
  return shares;
}

function ownerOf(slot: string, owners: readonly Sender[]): Sender | undefined {
  let best: Sender | undefined;
  let bestScore = -1;
  for (const owner of owners) {
    const score = hash32(`${slot}@${owner.vm}`);
    const wins = score > bestScore ||
      (score === bestScore && owner.vm < best!.vm);
    if (wins) {
      best = owner;
      bestScore = score;
    }
  }
  return best;
}
