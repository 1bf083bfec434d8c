/**
 * Moves slots from one plan to the next without ever assigning a slot twice.
 *
 * VMs may be late, paused or dead while slots move between them. If one plan
 * both raised one VM and lowered another, both would use the slot until the
 * second VM has received the plan; the target would get one request too many
 * and shed it. So a VM's share is lowered first, and the slot is reassigned
 * only after that VM has confirmed, or has certainly stopped.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** One VM's share of one shared resource: a target or a link. */
export interface Holding {
  readonly vm: VmId;
  /** Slots that it may use under this plan. */
  readonly slots: number;
  /** Most slots that it may still use under an earlier plan. */
  readonly mayHold: number;
  /** Sequence of the last plan that lowered its slots. */
  readonly loweredIn: number;
}

/** Input of one transition. */
export interface Step {
  /** Sequence of the plan being computed. */
  readonly sequence: number;
  /** Highest sequence that each VM confirmed. */
  readonly confirmed: ReadonlyMap<VmId, number>;
  /** VMs that hold no slots any more, whatever they have confirmed: see
   * `silence.ts`. */
  readonly stopped: ReadonlySet<VmId>;
}

/** Next holdings of one shared resource of `total` slots. The sum of `mayHold`
 * does not exceed `total` unless it already did. */
export function nextHoldings(
  previous: readonly Holding[],
  wanted: ReadonlyMap<VmId, number>,
  ctx: { total: number; step: Step },
): Holding[] {
  const lowered = previous.map((old) =>
    lower(applyConfirmation(old, ctx.step), wanted.get(old.vm) ?? 0, ctx.step)
  );
  let spare = ctx.total;
  for (const { mayHold } of lowered) spare -= mayHold;
  const next: Holding[] = [];
  for (const holding of lowered) {
    const raised = raise(holding, wanted.get(holding.vm) ?? 0, spare);
    spare -= raised.mayHold - holding.mayHold;
    if (raised.mayHold > 0) next.push(raised);
  }
  for (const [vm, slots] of wanted) {
    if (lowered.some((holding) => holding.vm === vm)) continue;
    const none = { vm, slots: 0, mayHold: 0, loweredIn: 0 };
    const raised = raise(none, slots, spare);
    spare -= raised.mayHold;
    if (raised.mayHold > 0) next.push(raised);
  }
  return next;
}

/** A lowering is complete once its VM has confirmed it or has stopped. */
function applyConfirmation(old: Holding, step: Step): Holding {
  const confirmed = (step.confirmed.get(old.vm) ?? 0) >= old.loweredIn;
  return confirmed || step.stopped.has(old.vm)
    ? { ...old, mayHold: old.slots }
    : old;
}

function lower(old: Holding, wanted: number, step: Step): Holding {
  if (wanted >= old.slots) return old;
  return {
    ...old,
    slots: wanted,
    loweredIn: step.sequence,
  };
}

/** Raises a VM's slots. What it may still hold from an earlier plan needs no
 * spare slots. */
function raise(old: Holding, wanted: number, spare: number): Holding {
  if (wanted <= old.slots) return old;
  const slots = Math.min(wanted, old.mayHold + Math.max(0, spare));
  return { ...old, slots, mayHold: Math.max(old.mayHold, slots) };
}
