/**
 * From one plan to the next without ever handing out a slot twice.
 *
 * Answers VMs that are late, paused or dead while slots move between them. If a
 * plan raised one VM in the same step that lowers another, both would use the
 * slot until the second has heard of it: the target has one request too many,
 * and one notices it shedding. So a slot is lowered first, and given on only
 * after the VM that lost it confirmed, or after it has surely stopped.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** What one VM holds of one thing that is shared: a target, a link. */
export interface Holding {
  readonly vm: VmId;
  /** What it may use from this plan on. */
  readonly slots: number;
  /** The most that it may still use under an earlier plan. */
  readonly mayHold: number;
  /** Sequence of the plan that lowered it last. */
  readonly loweredIn: number;
}

/** What the step needs to know. */
export interface Step {
  /** Sequence of the plan being made. */
  readonly sequence: number;
  /** Highest sequence that each VM confirmed. */
  readonly confirmed: ReadonlyMap<VmId, number>;
  /** VMs that hold nothing any more, whatever they confirmed: see `silence.ts`. */
  readonly stopped: ReadonlySet<VmId>;
}

/** Next holdings of one shared thing of `total` slots. The sum of `mayHold`
 * never exceeds `total` if it did not before. */
export function nextHoldings(
  previous: readonly Holding[],
  wanted: ReadonlyMap<VmId, number>,
  ctx: { total: number; step: Step },
): Holding[] {
  const lowered = previous.map((old) =>
    lower(settle(old, ctx.step), wanted.get(old.vm) ?? 0, ctx.step)
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

/** A lowering is complete once it was confirmed, or its VM has stopped. */
function settle(old: Holding, step: Step): Holding {
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

/** Raising within what the VM may still hold takes nothing from the rest. */
function raise(old: Holding, wanted: number, spare: number): Holding {
  if (wanted <= old.slots) return old;
  const slots = Math.min(wanted, old.mayHold + Math.max(0, spare));
  return { ...old, slots, mayHold: Math.max(old.mayHold, slots) };
}
