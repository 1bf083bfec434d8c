/**
 * Creates the next plan, on the VM that holds the planner's lease.
 *
 * @module
 */

import type { Sender } from "../membership/messages.ts";
import type { EscrowPlan, Pool } from "./messages.ts";

/** Input of the next plan. */
export interface NextPlan {
  readonly owners: readonly Sender[];
  readonly pools: readonly Pool[];
  /**
   * Whether the planner's own core has settled the previous plan, in the same
   * epoch. Then only that plan's owners can still hold slots.
   */
  readonly settled: boolean;
}

/** The plan after `previous`. It names every instance that might still hold slots; otherwise those slots would be assigned twice. */
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
