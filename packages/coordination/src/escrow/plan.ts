/**
 * Makes the plan that follows another, for whoever holds the planner's lease.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { EscrowPlan, Pool } from "./messages.ts";

/** What the next plan says. */
export interface NextPlan {
  readonly owners: readonly Sender[];
  readonly pools: readonly Pool[];
  /**
   * Whether the planner's own core has settled the previous plan, by that very
   * epoch: then only its owners can still hold slots.
   */
  readonly settled: boolean;
}

/** The plan after `previous`. Whoever might still hold slots is named in it, or its slots would be handed out twice. */
export function nextPlan(
  previous: EscrowPlan | undefined,
  { owners, pools, settled }: NextPlan,
): EscrowPlan {
  if (previous === undefined) {
    return { epoch: 1, owners, earlierOwners: [], pools };
  }
  const earlier = settled ? [] : previous.earlierOwners;
  const byInstance = new Map(
    [...previous.owners, ...earlier].map((owner) => [owner.instance, owner]),
  );
  return {
    epoch: previous.epoch + 1,
    owners,
    earlierOwners: [...byInstance.values()],
    pools,
  };
}
