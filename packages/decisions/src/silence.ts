/**
 * Determines which VMs have certainly stopped using slots that a plan took from
 * them.
 *
 * VMs may die, be paused or be cut off while the planner moves their slots. An
 * unresponsive VM may still be running and using them. If a slot is reassigned
 * too early, it is used twice and its target gets one request too many; if it
 * is never reassigned, a dead VM's slots are lost for good.
 *
 * A VM may use a plan only while other VMs that follow the same plan confirm to
 * it that the plan is valid. Once every other holder has confirmed a newer
 * plan, nobody confirms the old plan to the unresponsive VM, so that VM stops
 * after its term plus the longest request that it may have started. With two
 * unresponsive VMs no time is long enough, since they may be cut off together
 * and confirm the plan to each other; then only the platform's report that a VM
 * is gone helps.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Holding } from "./plan_transition.ts";

/** Longest term for which other VMs confirm a plan; the daemon's terms are no
 * longer. */
export const MAX_PLAN_TERM_MS = 15_000;
/** Longest deadline of a request, and so of its use of a lent slot. */
const MAX_REQUEST_MS = 30_000;
/** Allowance for clock drift of 1 %, and for a pause between reading the clock
 * and sending. */
const MARGIN_MS = 1_000;
/** Time from the moment when no VM confirms the old plan until the unresponsive
 * VM has certainly stopped. */
export const STOPPED_AFTER_MS = MAX_PLAN_TERM_MS + MAX_REQUEST_MS + MARGIN_MS;

/** An unresponsive VM, and since when no other VM can have confirmed its plan. */
export interface UnresponsiveVm {
  readonly vm: VmId;
  /** Sequence of the lowering that it has not confirmed. */
  readonly loweredIn: number;
  /** Time on the planner's clock. */
  readonly since: number;
}

/** State that the planner knows at the time of the check. */
export interface StoppedVmsInput {
  /** Holdings of the plan in force, for targets and links. */
  readonly holdings: readonly Holding[];
  /** Highest sequence that each VM's current instance has confirmed. */
  readonly confirmed: ReadonlyMap<VmId, number>;
  /** VMs whose instance named in the plan ended longer ago than any request
   * lasts. */
  readonly gone: ReadonlySet<VmId>;
  readonly now: number;
}

/** Unresponsive VMs, and VMs that have certainly stopped. */
export interface StoppedVmsResult {
  readonly unresponsive: readonly UnresponsiveVm[];
  readonly stopped: ReadonlySet<VmId>;
}

/** Updates the unresponsive VMs. A newly started planner passes an empty list. */
export function findStoppedVms(
  before: readonly UnresponsiveVm[],
  input: StoppedVmsInput,
): StoppedVmsResult {
  const holders = new Set(input.holdings.map(({ vm }) => vm));
  const entries = [...holders].flatMap((vm) =>
    unresponsiveEntry(vm, { before, holders, input }) ?? []
  );
  const stopped = entries
    .filter(({ since }) => input.now >= since + STOPPED_AFTER_MS)
    .map(({ vm }) => vm);
  return {
    unresponsive: entries,
    stopped: new Set([...input.gone, ...stopped]),
  };
}

function unresponsiveEntry(
  vm: VmId,
  ctx: {
    before: readonly UnresponsiveVm[];
    holders: ReadonlySet<VmId>;
    input: StoppedVmsInput;
  },
): UnresponsiveVm | undefined {
  const { before, holders, input } = ctx;
  const loweredIn = lastLowering(vm, input.holdings);
  if (loweredIn === undefined || hasConfirmed(vm, loweredIn, input)) {
    return undefined;
  }
  const unheard = [...holders].some((other) =>
    other !== vm && !input.gone.has(other) &&
    !hasConfirmed(other, loweredIn, input)
  );
  if (unheard) {
    return undefined;
  }
  const earlier = before.find((entry) =>
    entry.vm === vm && entry.loweredIn === loweredIn
  );
  return earlier ?? { vm, loweredIn, since: input.now };
}

/** Sequence of the last plan that lowered a VM's slots while it may still use
 * more. */
function lastLowering(
  vm: VmId,
  holdings: readonly Holding[],
): number | undefined {
  let lastSequence: number | undefined;
  for (const row of holdings) {
    if (row.vm === vm && row.mayHold > row.slots) {
      lastSequence = Math.max(lastSequence ?? 0, row.loweredIn);
    }
  }
  return lastSequence;
}

function hasConfirmed(
  vm: VmId,
  sequence: number,
  input: StoppedVmsInput,
): boolean {
  return (input.confirmed.get(vm) ?? 0) >= sequence;
}
