/**
 * Which VMs have surely stopped using what a plan took from them.
 *
 * Answers VMs that die, are paused or are cut off while the planner moves their
 * slots. A silent VM may still use them: it may be alive and unheard. Given on
 * too early, a slot is used twice and its target has one request too many;
 * never given on, a dead VM's slots are lost for good.
 *
 * A VM may use a plan only while others who follow the same plan vouch for it.
 * So once every other holder has confirmed a newer plan, nobody vouches for the
 * silent one, and it stops after its term and after the longest request that it
 * may have started. With two silent VMs nothing is certain, since they may be
 * cut off together and vouch for each other; then only the platform's word that
 * a VM is gone helps.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Holding } from "./plan_transition.ts";

/** Longest term of a plan that was vouched for; the daemon's terms are no longer. */
export const TERM_MS = 15_000;
/** Longest deadline of a request, and so of its loan of a slot. */
const LONGEST_REQUEST_MS = 30_000;
/** Clocks that drift by 1 %, and a pause between reading the clock and sending. */
const MARGIN_MS = 1_000;
/** From when nobody vouches for a VM until it has stopped. */
export const STOPPED_AFTER_MS = TERM_MS + LONGEST_REQUEST_MS + MARGIN_MS;

/** Since when nobody can have vouched for a silent VM. */
export interface Silence {
  readonly vm: VmId;
  /** The lowering that it has not confirmed. */
  readonly loweredIn: number;
  /** On the planner's clock. */
  readonly since: number;
}

/** What the planner knows when it looks. */
export interface SilenceInput {
  /** Rows of the plan in force, of targets and links. */
  readonly holdings: readonly Holding[];
  /** Highest sequence that each VM's present instance confirmed. */
  readonly confirmed: ReadonlyMap<VmId, number>;
  /** VMs whose instance that the plan names has ended, for longer than any request. */
  readonly gone: ReadonlySet<VmId>;
  readonly now: number;
}

/** Silent VMs, and those that have stopped. */
export interface SilenceResult {
  readonly silences: readonly Silence[];
  readonly stopped: ReadonlySet<VmId>;
}

/** Looks at the VMs once more. A planner that starts begins with no silences. */
export function watchSilence(
  before: readonly Silence[],
  input: SilenceInput,
): SilenceResult {
  const holders = new Set(input.holdings.map(({ vm }) => vm));
  const silences = [...holders].flatMap((vm) =>
    silenceOf(vm, { before, holders, input }) ?? []
  );
  const stopped = silences
    .filter(({ since }) => input.now >= since + STOPPED_AFTER_MS)
    .map(({ vm }) => vm);
  return { silences, stopped: new Set([...input.gone, ...stopped]) };
}

function silenceOf(
  vm: VmId,
  ctx: {
    before: readonly Silence[];
    holders: ReadonlySet<VmId>;
    input: SilenceInput;
  },
): Silence | undefined {
  const { before, holders, input } = ctx;
  const loweredIn = lastLowering(vm, input.holdings);
  if (loweredIn === undefined || confirms(vm, loweredIn, input)) {
    return undefined;
  }
  const unheard = [...holders].some((other) =>
    other !== vm && !input.gone.has(other) &&
    !confirms(other, loweredIn, input)
  );
  if (unheard) {
    return undefined;
  }
  const earlier = before.find((silence) =>
    silence.vm === vm && silence.loweredIn === loweredIn
  );
  return earlier ?? { vm, loweredIn, since: input.now };
}

/** The last plan that took something from a VM which it may still hold. */
function lastLowering(
  vm: VmId,
  holdings: readonly Holding[],
): number | undefined {
  let last: number | undefined;
  for (const row of holdings) {
    if (row.vm === vm && row.mayHold > row.slots) {
      last = Math.max(last ?? 0, row.loweredIn);
    }
  }
  return last;
}

function confirms(vm: VmId, sequence: number, input: SilenceInput): boolean {
  return (input.confirmed.get(vm) ?? 0) >= sequence;
}
